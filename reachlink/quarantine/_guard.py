"""Keeps requests that crash replicas from being sent to replicas."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from reachlink.kernel import steady_time
from reachlink.quarantine._crash_watch import BrokenRun, CrashWatch, Probe
from reachlink.quarantine._fingerprint import fingerprint_list, fingerprint_text
from reachlink.quarantine._judging import Verdict
from reachlink.quarantine._quarantine import Quarantine
from reachlink.quarantine.exceptions import HeldRequestError
from reachlink.telemetry import get_logger
from reachlink.upstreams import RequestFeatures

# Maximum number of replicas named in a log line.
MAX_LOGGED_REPLICAS = 8
# Maximum number of digests named in a log line about a verdict.
MAX_LOGGED_DIGESTS = 8
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
        # Requests in progress that are stopped if they become held.
        self._watched: set[_Watched] = set()
        # Fingerprints of the logged verdicts by their digests.
        self._logged: dict[frozenset[int], int] = {}
        # Whether the verdicts are looked at once the running callbacks of the loop have ended.
        self._scheduled = False
        quarantine.listen(self._on_change)
        self._log: Any = get_logger()

    async def admit(self, features: RequestFeatures, request_id: str) -> None:
        """Check that a request may be sent, after crash checks that may hold it have ended.

        Without the wait, a repeatable call that is sent again at once crashes a fourth replica
        before the third crash is known.

        Raises
        ------
        HeldRequestError
            If the request is held because replicas crash under it or a part of its prompt.
        """
        undecided = [digest for digest in features.digests() if self._may_become_held(digest)]
        if undecided:
            await self._watch.settle(undecided, MAX_SETTLE_WAIT_S)
        self.check(features, request_id)

    def check(self, features: RequestFeatures, request_id: str) -> None:
        """Check that a request may be sent to a replica now.

        Raises
        ------
        HeldRequestError
            If the request is held because replicas crash under it or a part of its prompt.
        """
        now = self._clock()
        verdict = self._quarantine.verdict(features, now)
        if verdict is None:
            return
        self._log.info(
            "request_held",
            request_id=request_id,
            fingerprint=fingerprint_text(features.fingerprint),
            held_by=fingerprint_text(verdict.fingerprint),
            whole=verdict.whole,
            crashes=len(verdict.crashes),
            last_crash_s_ago=round(now - verdict.last_at, 3),
            first_crash_s_ago=round(now - verdict.first_at, 3),
        )
        raise self._held_error(verdict)

    def on_broken(self, run: BrokenRun) -> None:
        """Handle a connection that ended before its answer was complete."""
        self._watch.on_broken(run)

    def on_replica_restarted(self, replica: str) -> None:
        """Handle the restart of a replica under the same name."""
        self._watch.on_replica_restarted(replica)

    def on_answer(self, features: RequestFeatures, begun_at: float) -> None:
        """Clear a request that got a complete, successful answer, begun at a monotonic time."""
        self._note_sound(features, begun_at, complete=True)

    def on_progress(self, features: RequestFeatures, begun_at: float) -> None:
        """Clear a request whose answer has been arriving for longer than `EARLY_CRASH_S`."""
        self._note_sound(features, begun_at, complete=False)

    @asynccontextmanager
    async def watched(
        self, features: RequestFeatures, may_stop: Callable[[], bool] = lambda: True
    ) -> AsyncIterator[None]:
        """Stop the enclosed block if its request becomes held in the meantime.

        A request that waits in a replica's queue crashes the replica once its processing
        starts; at full replicas this is 0.9 s after the request was sent.

        Parameters
        ----------
        features : RequestFeatures
            Digests of the request and of what it shares with others.
        may_stop : callable
            Returns whether the block may still be stopped; false once an answer has begun.

        Raises
        ------
        HeldRequestError
            If the block was stopped.
        """
        async with asyncio.timeout(None) as scope:
            watched = _Watched(features, may_stop, scope)
            self._watched.add(watched)
            try:
                yield
            except asyncio.CancelledError as error:
                if not scope.expired() or watched.verdict is None:
                    raise
                # Cancelled by this scope: reported as a held request, not as a timeout.
                raise self._held_error(watched.verdict) from error
            finally:
                self._watched.discard(watched)

    def _may_become_held(self, digest: int) -> bool:
        """Return whether the running crash checks may hold the requests with a digest."""
        checked = len(self._watch.replicas_checked(digest))
        known = self._quarantine.crash_count(digest)
        return checked > 0 and known + checked >= self._quarantine.crashes_to_hold

    def _held_error(self, verdict: Verdict) -> HeldRequestError:
        ends_in_s = self._quarantine.remaining_s(verdict, self._clock())
        return HeldRequestError(verdict.fingerprint, len(verdict.crashes), verdict.whole, ends_in_s)

    def _note_sound(self, features: RequestFeatures, begun_at: float, complete: bool) -> None:
        if self._quarantine.note_sound(features, begun_at, complete, self._clock()):
            self._log.info(
                "request_cleared",
                fingerprint=fingerprint_text(features.fingerprint),
                parts=fingerprint_list(features.shared_digests()),
                complete=complete,
            )

    def _on_crash(self, run: BrokenRun) -> None:
        self._quarantine.note_crash(
            run.features,
            run.replica.name,
            run.sent_at,
            run.broken_at,
            run.late,
            self._clock(),
        )

    def _on_change(self) -> None:
        """Apply the verdicts, once for all crashes that become known at the same time."""
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_verdicts)

    def _apply_verdicts(self) -> None:
        self._scheduled = False
        now = self._clock()
        held = {verdict.digests: verdict for verdict in self._quarantine.held(now)}
        begun = [verdict for digests, verdict in held.items() if digests not in self._logged]
        for verdict in begun:
            self._log_held(verdict, now)
        if begun:
            for watched in list(self._watched):
                watched.stop_if_held(self._quarantine.verdict(watched.features, now))
        for digests in self._logged.keys() - held.keys():
            self._log.info("quarantine_ended", fingerprint=fingerprint_text(self._logged[digests]))
        self._logged = {digests: verdict.fingerprint for digests, verdict in held.items()}

    def _log_held(self, verdict: Verdict, now: float) -> None:
        self._log.warning(
            "quarantine_begun",
            fingerprint=fingerprint_text(verdict.fingerprint),
            whole=verdict.whole,
            digests=fingerprint_list(sorted(verdict.digests)[:MAX_LOGGED_DIGESTS]),
            positions=",".join(str(position) for position in verdict.positions),
            crashes=len(verdict.crashes),
            last_crash_s_ago=round(now - verdict.last_at, 3),
            first_crash_s_ago=round(now - verdict.first_at, 3),
            replicas=",".join(crash.replica for crash in verdict.crashes[:MAX_LOGGED_REPLICAS]),
        )


@dataclass(slots=True, eq=False)
class _Watched:
    """A block that is stopped if its request becomes held.

    Attributes
    ----------
    features : RequestFeatures
        Digests of the request and of what it shares with others.
    may_stop : callable
        Returns whether the block may still be stopped.
    scope : asyncio.Timeout
        Cancels the block.
    verdict : Verdict, optional
        Verdict by which it was stopped.
    """

    features: RequestFeatures
    may_stop: Callable[[], bool]
    scope: asyncio.Timeout
    verdict: Verdict | None = None

    def stop_if_held(self, verdict: Verdict | None) -> None:
        """Cancel the block if there is a verdict on its request."""
        if verdict is None or self.scope.expired() or not self.may_stop():
            return
        self.verdict = verdict
        self.scope.reschedule(asyncio.get_running_loop().time())
