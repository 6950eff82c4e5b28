"""Detects whether a replica crashed when a connection to it ended."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from reachlink.kernel import steady_time
from reachlink.quarantine._fingerprint import fingerprint_list, fingerprint_text
from reachlink.quarantine._judging import EARLY_CRASH_S
from reachlink.telemetry import get_logger
from reachlink.upstreams import Liveness, Replica, RequestFeatures, probe_repeatedly

# Time in seconds after the end of a connection during which a restart of its replica
# counts as a crash. It is longer than a replica takes to come back after a crash: an
# instance that was suspended in the meantime finds the replica up again.
RESTART_WINDOW_S = 5.0

Probe = Callable[[Replica], Awaitable[object]]
"""Sends a small request to a replica; raises an `UpstreamError` if there is no answer."""


@dataclass(slots=True, frozen=True)
class BrokenRun:
    """A request whose connection to a replica ended before its answer was complete.

    Attributes
    ----------
    request_id : str
        Id of the request.
    features : RequestFeatures
        Digests of the request and of what it shares with others.
    replica : Replica
        Replica to which the request was sent.
    sent_at, broken_at : float
        Times at which the request was sent and at which the connection ended; monotonic,
        in seconds.
    begun_at : float, optional
        Time at which the first part of the answer arrived; None if none did.
    """

    request_id: str
    features: RequestFeatures
    replica: Replica
    sent_at: float
    broken_at: float
    begun_at: float | None = None

    @property
    def late(self) -> bool:
        """Whether the answer had been arriving for longer than `EARLY_CRASH_S`."""
        return self.begun_at is not None and self.broken_at - self.begun_at > EARLY_CRASH_S


class CrashWatch:
    """Probes replicas after connections to them have ended.

    A connection ends for many reasons: a reset in the network, a replica that fails some
    of its requests or that closes excess connections. A replica whose port is closed
    immediately afterwards has crashed.

    Parameters
    ----------
    probe : callable
        Sends a small request to a replica; raises an `UpstreamError` if there is no answer.
    on_crash : callable
        Called with each run whose replica has crashed.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        probe: Probe,
        on_crash: Callable[[BrokenRun], None],
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._probe = probe
        self._on_crash = on_crash
        self._clock = clock
        # Running checks, with the runs that they are about, by digest.
        self._running_checks: dict[int, dict[asyncio.Task[None], BrokenRun]] = {}
        # Broken runs whose replica answered or was unreachable, by name of the replica.
        self._undecided: dict[str, list[BrokenRun]] = {}
        # Running probes by replica: all runs that ended with one replica share a probe.
        self._probes: dict[str, asyncio.Task[Liveness]] = {}
        self._log: Any = get_logger()

    def on_broken(self, run: BrokenRun) -> None:
        """Check in the background whether the replica of a broken run has crashed."""
        task = asyncio.create_task(self._check(run))
        for digest in run.features.digests():
            self._running_checks.setdefault(digest, {})[task] = run
        task.add_done_callback(lambda done: self._end(run, done))

    def replicas_checked(self, digest: int) -> set[str]:
        """Return the replicas of the running checks about a digest."""
        return {run.replica.name for run in self._running_checks.get(digest, {}).values()}

    async def settle(self, digests: Iterable[int], timeout_s: float) -> None:
        """Wait until the running checks about digests end, up to a timeout.

        Parameters
        ----------
        digests : iterable of int
            Digests of requests or of what they share.
        timeout_s : float
            Maximum wait in seconds.
        """
        tasks = {task for digest in digests for task in self._running_checks.get(digest, ())}
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def _end(self, run: BrokenRun, done: asyncio.Task[None]) -> None:
        for digest in run.features.digests():
            tasks = self._running_checks[digest]
            del tasks[done]
            if not tasks:
                del self._running_checks[digest]

    async def _check(self, run: BrokenRun) -> None:
        found = await self._probe_shared(run.replica)
        self._log.info(
            "run_broken",
            request_id=run.request_id,
            fingerprint=fingerprint_text(run.features.fingerprint),
            parts=fingerprint_list(run.features.shared_digests()),
            replica=run.replica.name,
            replica_is=found.value,
            begun=run.begun_at is not None,
            late=run.late,
            ran_ms=round((run.broken_at - run.sent_at) * 1000.0),
            looked_ms=round((self._clock() - run.broken_at) * 1000.0),
        )
        if found is Liveness.DOWN:
            self._on_crash(run)
        else:
            self._keep_undecided(run)

    def on_replica_restarted(self, replica: str) -> None:
        """Count recent broken runs of a replica as crashes, since the replica has restarted."""
        since = self._clock() - RESTART_WINDOW_S
        for run in self._undecided.pop(replica, ()):
            if run.broken_at >= since:
                self._on_crash(run)

    def _keep_undecided(self, run: BrokenRun) -> None:
        since = self._clock() - RESTART_WINDOW_S
        kept = {
            name: [one for one in runs if one.broken_at >= since]
            for name, runs in self._undecided.items()
        }
        self._undecided = {name: runs for name, runs in kept.items() if runs}
        self._undecided.setdefault(run.replica.name, []).append(run)

    async def _probe_shared(self, replica: Replica) -> Liveness:
        probe = self._probes.get(replica.name)
        if probe is None:
            probe = asyncio.create_task(probe_repeatedly(lambda: self._probe(replica)))
            self._probes[replica.name] = probe
            probe.add_done_callback(lambda _: self._probes.pop(replica.name, None))
        return await asyncio.shield(probe)
