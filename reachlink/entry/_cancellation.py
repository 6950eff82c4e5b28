"""Cancelling a generation at its engine until the engine has answered.

A closed connection does not end a generation: its engine keeps it for a caller who resumes. One
that was replaced by another one must not run on beside it.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from reachlink.kernel import steady_time
from reachlink.membership import ReplicaDirectory
from reachlink.pacing import PacingTracker
from reachlink.upstreams import EngineAdapter, Replica, UpstreamError, UpstreamHeldBackError

# Intervals in seconds between two attempts: the first, and the longest.
FIRST_INTERVAL_S = 0.1
MAX_INTERVAL_S = 1.0
# Longest time in seconds for one attempt, and for all of them: engines drop what nobody reads.
ATTEMPT_TIMEOUT_S = 1.0
GIVE_UP_AFTER_S = 60.0


class Cancellation:
    """Cancels generations at the engines.

    Parameters
    ----------
    directory : ReplicaDirectory
        Known replicas.
    pacing : PacingTracker
        What replicas have asked for.
    log : object
        Logger.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        pacing: PacingTracker,
        log: Any,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._directory = directory
        self._pacing = pacing
        self._log = log
        self._clock = clock

    async def run(self, adapter: EngineAdapter, replica: Replica, generation: str) -> bool:
        """Cancel a generation that nobody reads; return whether its engine has answered.

        Parameters
        ----------
        adapter : EngineAdapter
            Client of the engine.
        replica : Replica
            The engine.
        generation : str
            Id of the generation.
        """
        begun_at, born = self._clock(), self._directory.born(replica.name)
        interval_s, reason = FIRST_INTERVAL_S, ""
        while self._clock() - begun_at < GIVE_UP_AFTER_S and self._has_it(replica, born):
            # Not while the replica is to get nothing: what is not ended runs on for nobody.
            await asyncio.sleep(self._pacing.remaining_s(replica.address, self._clock()))
            try:
                async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                    await adapter.cancel(replica, generation, if_detached=True)
            except UpstreamHeldBackError:
                continue
            except (UpstreamError, TimeoutError) as error:
                failed = str(error) or type(error).__name__
                if failed != reason:
                    self._note("generation_not_cancelled", replica, generation, begun_at, failed)
                reason = failed
            else:
                self._note("generation_cancelled", replica, generation, begun_at)
                return True
            await asyncio.sleep(interval_s)
            interval_s = min(2.0 * interval_s, MAX_INTERVAL_S)
        self._note("generation_given_up", replica, generation, begun_at, reason or "replica gone")
        return False

    def _has_it(self, replica: Replica, born: int) -> bool:
        """Return whether a replica may have a generation of its lifetime that began at `born`."""
        if self._directory.find(replica.name) is None:
            return False
        return not 0 < born < self._directory.born(replica.name)

    def _note(
        self, event: str, replica: Replica, generation: str, begun_at: float, reason: str = ""
    ) -> None:
        self._log.info(
            event,
            replica=replica.name,
            generation=generation,
            age_s=round(self._clock() - begun_at, 3),
            reason=reason,
        )
