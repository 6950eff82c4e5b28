"""Repeated copying of the memory of a running generation to another replica."""

import asyncio
import contextlib
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
    """

    def __init__(
        self,
        adapter: RelayAdapter,
        request_id: str,
        source: Replica,
        target: Replica,
        log: Any,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._adapter = adapter
        self._request_id = request_id
        self._source = source
        self._target = target
        self._log = log
        self._memory: MovedMemory | None = None
        self._refresh_fast = asyncio.Event()
        self._discarded = False
        self._move_in_progress = False
        self._move_failure: MoveFailure | None = None
        self._task = asyncio.create_task(self._run())

    @property
    def failed(self) -> bool:
        """Whether copying has ended without a copy."""
        return self._task.done() and self._memory is None

    @property
    def move_failure(self) -> MoveFailure | None:
        """Why a transfer was refused; None if none was."""
        return self._move_failure

    @property
    def move_in_progress(self) -> bool:
        """Whether a transfer is in progress; the source accepts no second one meanwhile."""
        return self._move_in_progress

    @property
    def has_memory(self) -> bool:
        """Whether the target has a copy, even an outdated one."""
        return self._memory is not None

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
        return self._memory

    def discard(self) -> None:
        """Stop refreshing and free the memory at the target."""
        self._discarded = True
        self._refresh_fast.set()
        self._release_task = asyncio.create_task(self._release())

    async def _run(self) -> None:
        try:
            # A transfer in progress is always awaited. The target allocates memory at its start,
            # and only the answer names the handle with which to free it.
            while not self._discarded and await self._copy():
                await self._pause()
        except UpstreamError as error:
            self._log.info(
                "shadow_failed",
                request_id=self._request_id,
                source=self._source.name,
                target=self._target.name,
                reason=str(error),
            )

    async def _pause(self) -> None:
        if self._discarded:
            return
        if self._refresh_fast.is_set():
            await asyncio.sleep(FAST_REFRESH_INTERVAL_S)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFRESH_INTERVAL_S):
                await self._refresh_fast.wait()

    async def _copy(self) -> bool:
        began_at = self._clock()
        result = await self._request_move()
        if result is None:
            return True
        if not result.arrived:
            self._move_failure = result.failure
            self._log.info(
                "shadow_refused",
                request_id=self._request_id,
                source=self._source.name,
                target=self._target.name,
                reason=result.failure.value,
            )
            return False
        if self._memory is None:
            self._log.info(
                "shadow_arrived",
                request_id=self._request_id,
                source=self._source.name,
                target=self._target.name,
                took_ms=round((self._clock() - began_at) * 1000.0),
            )
        self._memory = result.memory
        return True

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
