"""Repeated copying of the memory of a running generation to another replica.

The replica that gets the copy keeps it for a limited time. A copy that was not refreshed within it
counts as lapsed: no generation can resume from it.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from typing import Any

from reachlink.upstreams import (
    MovedMemory,
    MoveFailure,
    MoveResult,
    RelayAdapter,
    Replica,
    UpstreamError,
    UpstreamHeldBackError,
)

# Interval in seconds between two transfers. Each transfers only the new memory; what is missing
# when the generation resumes has to be computed again.
REFRESH_INTERVAL_S = 1.0
# Interval in seconds if the primary is leaving. About thirty tokens are missing then, which are
# recomputed within the pause of one step.
FAST_REFRESH_INTERVAL_S = 0.3
# Interval in seconds after a refused transfer, as that of a generation that was preempted.
RETRY_INTERVAL_S = 0.3
# Time in seconds before its end at which the lifetime of a copy counts as over: resuming from it
# takes some time.
LIFETIME_MARGIN_S = 0.5


class ShadowCopy:
    """Copy of a generation's memory at another replica, refreshed while the generation runs.

    Parameters
    ----------
    adapter : RelayAdapter
        Client of the replicas.
    request_id : str
        Id of the request that the generation serves.
    source, target : Replica
        Replica that runs the generation, and replica that gets the copy.
    log : object
        Logger.
    clock : callable
        Monotonic time in seconds.
    kept_s : float
        Time in seconds for which the target keeps memory that is not refreshed; 0 if unknown.
    """

    def __init__(
        self,
        adapter: RelayAdapter,
        request_id: str,
        source: Replica,
        target: Replica,
        log: Any,
        clock: Callable[[], float],
        kept_s: float = 0.0,
    ) -> None:
        self._clock = clock
        self._adapter = adapter
        self._request_id = request_id
        self._source = source
        self._target = target
        self._log = log
        self._lifetime_s = copy_lifetime_s(kept_s)
        self._memory: MovedMemory | None = None
        # Monotonic time in seconds at which the last transfer that arrived was requested.
        self._refreshed_at = clock()
        self._refresh_fast = asyncio.Event()
        self._discarded = False
        self._move_in_progress = False
        self._move_failure: MoveFailure | None = None
        self._not_running_since: float | None = None
        # Why the last transfer did not arrive, as logged; empty if it did.
        self._refusal = ""
        self._task = asyncio.create_task(self._run())

    @property
    def failed(self) -> bool:
        """Whether copying has ended without a copy, or the copy has lapsed."""
        return (self._task.done() or self._memory is not None) and not self.has_memory

    @property
    def move_failure(self) -> MoveFailure | None:
        """Why the last transfer was refused; None if it was not."""
        return self._move_failure

    @property
    def not_running_since(self) -> float | None:
        """Monotonic time in seconds since when the source does not run the generation."""
        return self._not_running_since

    @property
    def move_in_progress(self) -> bool:
        """Whether a transfer is in progress; the source accepts no second one meanwhile."""
        return self._move_in_progress

    @property
    def has_memory(self) -> bool:
        """Whether the target has a copy, even an outdated one."""
        return self._memory is not None and self.age_s < self._lifetime_s

    @property
    def age_s(self) -> float:
        """Time since the last transfer that arrived, or since the first attempt, in seconds."""
        return self._clock() - self._refreshed_at

    @property
    def source(self) -> Replica:
        """Replica that runs the generation."""
        return self._source

    @property
    def target(self) -> Replica:
        """Replica that gets the copy."""
        return self._target

    def refresh_faster(self) -> None:
        """Refresh the copy more often from now on, because the source is about to be lost."""
        self._refresh_fast.set()

    async def stop(self) -> MovedMemory | None:
        """Stop refreshing and return the copy, if there is one."""
        self._task.cancel()
        await asyncio.wait({self._task})
        return self._memory if self.has_memory else None

    def discard(self) -> None:
        """Stop refreshing and free the memory at the target."""
        self._discarded = True
        self._refresh_fast.set()
        self._release_task = asyncio.create_task(self._release())

    async def _run(self) -> None:
        # A transfer in progress is always awaited. The target allocates memory at its start,
        # and only the answer names the handle with which to free it.
        while not self._discarded and not self.failed:
            arrived = await self._copy()
            if not arrived and self._memory is None:
                return
            await self._pause(arrived)

    async def _pause(self, arrived: bool) -> None:
        if self._discarded:
            return
        if not arrived:
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        if self._refresh_fast.is_set():
            await asyncio.sleep(FAST_REFRESH_INTERVAL_S)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFRESH_INTERVAL_S):
                await self._refresh_fast.wait()

    async def _copy(self) -> bool:
        """Transfer what is new; return whether it arrived, or will be tried again."""
        began_at = self._clock()
        try:
            result = await self._request_move()
        except UpstreamError as error:
            self._move_failure = None
            self._note_failed(str(error))
            return False
        if result is None:
            return True
        if not result.arrived:
            self._move_failure = result.failure
            self._note_refused(result.failure)
            return False
        self._note_arrived(result, began_at)
        return True

    def _note_arrived(self, result: MoveResult, began_at: float) -> None:
        if self._memory is None or self._refusal:
            self._log.info(
                "shadow_arrived",
                request_id=self._request_id,
                source=self._source.name,
                target=self._target.name,
                took_ms=round((self._clock() - began_at) * 1000.0),
                age_s=round(self.age_s, 3),
            )
        self._refusal = ""
        self._not_running_since = None
        self._memory, self._refreshed_at = result.memory, began_at

    def _note_refused(self, failure: MoveFailure) -> None:
        if failure is not MoveFailure.NOT_RUNNING:
            self._not_running_since = None
        elif self._not_running_since is None:
            self._not_running_since = self._clock()
        if failure.value == self._refusal:
            return
        self._refusal = failure.value
        self._log.info(
            "shadow_refused",
            request_id=self._request_id,
            source=self._source.name,
            target=self._target.name,
            reason=failure.value,
            age_s=round(self.age_s, 3),
        )

    def _note_failed(self, reason: str) -> None:
        if reason == self._refusal:
            return
        self._refusal = reason
        self._log.info(
            "shadow_failed",
            request_id=self._request_id,
            source=self._source.name,
            target=self._target.name,
            reason=reason,
            age_s=round(self.age_s, 3),
        )

    async def _request_move(self) -> MoveResult | None:
        """Request a transfer; None while pacing holds it back: the generation runs on meanwhile."""
        self._move_in_progress = True
        try:
            return await self._adapter.move(self._source, self._request_id, self._target, False)
        except UpstreamHeldBackError as error:
            self._log.info(
                "shadow_waits",
                request_id=self._request_id,
                source=self._source.name,
                backoff_left_s=round(error.remaining_s, 3),
            )
            return None
        finally:
            self._move_in_progress = False

    async def _release(self) -> None:
        await asyncio.wait({self._task})
        if self._memory is None:
            return
        # If this fails, the target drops the memory by itself after some time.
        with contextlib.suppress(UpstreamError):
            await self._adapter.release(self._memory)


def copy_lifetime_s(kept_s: float) -> float:
    """Return for how long a copy that is not refreshed counts as present, in seconds.

    Parameters
    ----------
    kept_s : float
        Time in seconds for which a replica keeps it; 0 if unknown.
    """
    return max(0.0, kept_s - LIFETIME_MARGIN_S) if kept_s else math.inf
