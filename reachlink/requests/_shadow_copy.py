"""Copying a running generation's memory to another replica, again and again."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from reachlink.upstreams import (
    MovedMemory,
    MoveResult,
    MoveSetback,
    RelayAdapter,
    Replica,
    UpstreamError,
    UpstreamHeldBackError,
)

# Pause between two copies, in seconds: each brings only what is new, and what
# is missing at the end is read anew.
REFRESH_INTERVAL_S = 1.0
# The same where the generation's replica is about to be taken away: some
# thirty tokens are missing then, which are read within the pause of a step.
FAST_REFRESH_INTERVAL_S = 0.3


class ShadowCopy:
    """A copy that follows a generation from some point on.

    Parameters
    ----------
    adapter : RelayAdapter
        Speaks with replicas.
    request_id : str
        Request that the generation serves.
    source, target : Replica
        Where it runs, and where the copy is.
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
        self._move_failure: MoveSetback | None = None
        self._task = asyncio.create_task(self._run())

    @property
    def failed(self) -> bool:
        """Whether there is no copy and none will come."""
        return self._task.done() and self._memory is None

    @property
    def move_failure(self) -> MoveSetback | None:
        """Why an order was turned away; None where none was."""
        return self._move_failure

    @property
    def move_in_progress(self) -> bool:
        """Whether an order is being carried out: the source takes no other one."""
        return self._move_in_progress

    @property
    def has_memory(self) -> bool:
        """Whether the target has a copy, be it an old one."""
        return self._memory is not None

    @property
    def target(self) -> Replica:
        """Where the copy is."""
        return self._target

    def refresh_faster(self) -> None:
        """Copy more often from now on: the source is about to be lost."""
        self._refresh_fast.set()

    async def stop(self) -> MovedMemory | None:
        """Stop copying and return the copy, if there is one."""
        self._task.cancel()
        await asyncio.wait({self._task})
        return self._memory

    def discard(self) -> None:
        """Stop copying and free the copy."""
        self._discarded = True
        self._refresh_fast.set()
        self._release_task = asyncio.create_task(self._release())

    async def _run(self) -> None:
        try:
            # An order on its way is waited for: the target holds memory from its
            # start, and only its answer names what to free.
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
            self._move_failure = result.setback
            self._log.info(
                "shadow_refused",
                request_id=self._request_id,
                source=self._source.name,
                target=self._target.name,
                reason=result.setback.value,
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
        """Order a move; None where the source is in backoff: it runs on."""
        self._move_in_progress = True
        try:
            return await self._adapter.move(self._source, self._request_id, self._target, False)
        except UpstreamHeldBackError as error:
            self._log.info(
                "shadow_waits",
                request_id=self._request_id,
                source=self._source.name,
                backoff_left_s=round(error.left_s, 3),
            )
            return None
        finally:
            self._move_in_progress = False

    async def _release(self) -> None:
        await asyncio.wait({self._task})
        if self._memory is None:
            return
        # What is not freed here gives way by itself: its replica keeps it only for a while.
        with contextlib.suppress(UpstreamError):
            await self._adapter.release(self._memory)
