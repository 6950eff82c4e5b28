"""Finds out whether a replica ended when a connection to it did."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from reachlink.kernel import steady_time
from reachlink.quarantine._fingerprint import fingerprint_text
from reachlink.telemetry import get_logger
from reachlink.upstreams import Liveness, Replica, look_again

# How long after a connection ended its replica may prove to have started again, in
# seconds: longer than replicas take to come back after a crash, and an instance that stood
# still meanwhile finds them up.
UNDECIDED_S = 5.0

Touch = Callable[[Replica], Awaitable[object]]
"""Asks a replica something small; raises an `UpstreamError` where there is no answer."""


@dataclass(slots=True, frozen=True)
class BrokenRun:
    """A request whose connection to a replica ended before its answer did.

    Attributes
    ----------
    request_id : str
        The request.
    fingerprint : int
        What it has in common with those that are the same.
    replica : Replica
        Where it was.
    sent_at, broken_at : float
        When it was sent there, and when the connection ended; monotonic seconds.
    begun : bool
        Whether a part of the answer had come.
    """

    request_id: str
    fingerprint: int
    replica: Replica
    sent_at: float
    broken_at: float
    begun: bool


class CrashWatch:
    """Looks at replicas after connections to them have ended.

    A connection ends for many reasons: a reset on the way, a replica that fails some of
    its requests, one that closes what it has too many of. A replica whose port is closed
    right after has ended.

    Parameters
    ----------
    touch : callable
        Asks a replica something small; raises an `UpstreamError` where there is no answer.
    on_crash : callable
        Is told of the runs whose replica has ended.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        touch: Touch,
        on_crash: Callable[[BrokenRun], None],
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._touch = touch
        self._on_crash = on_crash
        self._clock = clock
        # What is being found out, by request.
        self._under_way: dict[int, set[asyncio.Task[None]]] = {}
        # Broken runs whose replica seemed to be there, or gave no sign, by replica.
        self._undecided: dict[str, list[BrokenRun]] = {}
        # Looks under way, by replica: all runs that one end broke share one.
        self._looks: dict[str, asyncio.Task[Liveness]] = {}
        self._log: Any = get_logger()

    def on_broken(self, run: BrokenRun) -> None:
        """Find out what a broken run means, in the background."""
        task = asyncio.create_task(self._find_out(run))
        tasks = self._under_way.setdefault(run.fingerprint, set())
        tasks.add(task)
        task.add_done_callback(lambda done: self._end(run.fingerprint, done))

    async def settle(self, fingerprint: int, timeout_s: float) -> None:
        """Wait until what is under way about a request is found out, for some time.

        Parameters
        ----------
        fingerprint : int
            The request.
        timeout_s : float
            Longest wait, in seconds.
        """
        tasks = self._under_way.get(fingerprint)
        if tasks:
            await asyncio.wait(set(tasks), timeout=timeout_s)

    def _end(self, fingerprint: int, done: asyncio.Task[None]) -> None:
        tasks = self._under_way[fingerprint]
        tasks.discard(done)
        if not tasks:
            del self._under_way[fingerprint]

    async def _find_out(self, run: BrokenRun) -> None:
        found = await self._look(run.replica)
        self._log.info(
            "run_broken",
            request_id=run.request_id,
            fingerprint=fingerprint_text(run.fingerprint),
            replica=run.replica.name,
            replica_is=found.value,
            begun=run.begun,
            ran_ms=round((run.broken_at - run.sent_at) * 1000.0),
            looked_ms=round((self._clock() - run.broken_at) * 1000.0),
        )
        if found is Liveness.DOWN:
            self._on_crash(run)
        else:
            self._keep_undecided(run)

    def on_started_again(self, replica: str) -> None:
        """Take that a replica has started again under its name: it had ended before."""
        since = self._clock() - UNDECIDED_S
        for run in self._undecided.pop(replica, ()):
            if run.broken_at >= since:
                self._on_crash(run)

    def _keep_undecided(self, run: BrokenRun) -> None:
        since = self._clock() - UNDECIDED_S
        kept = {
            name: [one for one in runs if one.broken_at >= since]
            for name, runs in self._undecided.items()
        }
        self._undecided = {name: runs for name, runs in kept.items() if runs}
        self._undecided.setdefault(run.replica.name, []).append(run)

    async def _look(self, replica: Replica) -> Liveness:
        look = self._looks.get(replica.name)
        if look is None:
            look = asyncio.create_task(look_again(lambda: self._touch(replica)))
            self._looks[replica.name] = look
            look.add_done_callback(lambda _: self._looks.pop(replica.name, None))
        return await asyncio.shield(look)
