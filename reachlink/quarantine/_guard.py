"""Keeps requests that crash replicas from being sent to replicas."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from reachlink.kernel import steady_time
from reachlink.quarantine._crash_watch import BrokenRun, CrashWatch, Probe
from reachlink.quarantine._fingerprint import fingerprint_text
from reachlink.quarantine._judging import Verdict
from reachlink.quarantine._quarantine import Quarantine
from reachlink.quarantine.exceptions import HeldRequestError
from reachlink.telemetry import get_logger

# Maximum number of replicas named in a log line.
MAX_LOGGED_REPLICAS = 8
# Maximum time in seconds for which a suspect request waits for running crash checks. Three
# probes of a replica that is up take 0.2 s, one probe of a closed port some milliseconds.
MAX_SETTLE_WAIT_S = 0.25


class CrashGuard:
    """Checks requests before each dispatch and records how each dispatch ended.

    Both request paths use it: a request that crashes replicas crashes the next one
    regardless of the path, instance or attempt that sends it.

    Parameters
    ----------
    quarantine : Quarantine
        Known crashes and the requests that are held for them.
    probe : callable
        Sends a small request to a replica; raises an `UpstreamError` if there is no answer.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        probe: Probe,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._watch = CrashWatch(probe, self._on_crash, clock)
        # Callbacks that stop the requests in progress, by fingerprint.
        self._stops: dict[int, set[Callable[[], None]]] = {}
        # Fingerprints of the held requests that were logged.
        self._logged: set[int] = set()
        quarantine.listen(self._on_change)
        self._log: Any = get_logger()

    async def admit(self, fingerprint: int, request_id: str) -> None:
        """Check that a request may be sent, after running crash checks about it have ended.

        A request that a crash counts against waits for the probe of the replica at which
        its connection ended last. Without the wait, a repeatable call that is sent again at
        once crashes a fourth replica before the third crash is known.

        Raises
        ------
        HeldRequestError
            If the request is held because it crashes replicas.
        """
        if self._quarantine.is_suspect(fingerprint):
            await self._watch.settle(fingerprint, MAX_SETTLE_WAIT_S)
        self.check(fingerprint, request_id)

    def check(self, fingerprint: int, request_id: str) -> None:
        """Check that a request may be sent to a replica now.

        Raises
        ------
        HeldRequestError
            If the request is held because it crashes replicas.
        """
        now = self._clock()
        verdict = self._quarantine.verdict(fingerprint, now)
        if verdict is None:
            return
        self._log.info(
            "request_held",
            request_id=request_id,
            fingerprint=fingerprint_text(fingerprint),
            crashes=len(verdict.crashes),
            last_crash_s_ago=round(now - verdict.last_at, 3),
            first_crash_s_ago=round(now - verdict.first_at, 3),
        )
        raise HeldRequestError(fingerprint, len(verdict.crashes))

    def on_broken(self, run: BrokenRun) -> None:
        """Handle a connection that ended before its answer was complete."""
        self._watch.on_broken(run)

    def on_replica_restarted(self, replica: str) -> None:
        """Handle the restart of a replica under the same name."""
        self._watch.on_replica_restarted(replica)

    def on_answer(self, fingerprint: int) -> None:
        """Clear a request that got a complete answer from a replica that is still up."""
        if self._quarantine.clear(fingerprint, self._clock()):
            self._log.info("request_cleared", fingerprint=fingerprint_text(fingerprint))

    @asynccontextmanager
    async def watched(
        self, fingerprint: int, may_stop: Callable[[], bool] = lambda: True
    ) -> AsyncIterator[None]:
        """Stop the enclosed block if its request becomes held in the meantime.

        A request that waits in a replica's queue crashes the replica once its processing
        starts; at full replicas this is 0.9 s after the request was sent.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request.
        may_stop : callable
            Returns whether the block may still be stopped; false once an answer has begun.

        Raises
        ------
        HeldRequestError
            If the block was stopped.
        """
        async with asyncio.timeout(None) as scope:
            stops = self._stops.setdefault(fingerprint, set())

            def stop() -> None:
                if may_stop() and not scope.expired():
                    scope.reschedule(asyncio.get_running_loop().time())

            stops.add(stop)
            try:
                yield
            except asyncio.CancelledError as error:
                if not scope.expired():
                    raise
                # Cancelled by this scope: reported as a held request, not as a timeout.
                verdict = self._quarantine.verdict(fingerprint, self._clock())
                crashes = len(verdict.crashes) if verdict is not None else 0
                raise HeldRequestError(fingerprint, crashes) from error
            finally:
                stops.discard(stop)
                if not stops:
                    self._stops.pop(fingerprint, None)

    def _on_crash(self, run: BrokenRun) -> None:
        self._quarantine.note_crash(
            run.features.fingerprint,
            run.replica.name,
            run.sent_at,
            run.broken_at,
            run.begun,
            self._clock(),
        )

    def _on_change(self) -> None:
        now = self._clock()
        held = {verdict.fingerprint: verdict for verdict in self._quarantine.held(now)}
        for fingerprint in held.keys() - self._logged:
            self._log_held(held[fingerprint], now)
            for stop in list(self._stops.get(fingerprint, ())):
                stop()
        for fingerprint in self._logged - held.keys():
            self._log.info("quarantine_ended", fingerprint=fingerprint_text(fingerprint))
        self._logged = set(held)

    def _log_held(self, verdict: Verdict, now: float) -> None:
        self._log.warning(
            "quarantine_begun",
            fingerprint=fingerprint_text(verdict.fingerprint),
            crashes=len(verdict.crashes),
            last_crash_s_ago=round(now - verdict.last_at, 3),
            first_crash_s_ago=round(now - verdict.first_at, 3),
            replicas=",".join(crash.replica for crash in verdict.crashes[:MAX_LOGGED_REPLICAS]),
        )
