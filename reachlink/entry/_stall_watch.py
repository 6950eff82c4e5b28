"""Closes a stream that has been quiet for longer than its rhythm makes plausible."""

import asyncio
from collections.abc import Callable
from types import TracebackType

from reachlink.delivery import StallDetector
from reachlink.kernel import steady_time


class StallWatch:
    """Watches one stream with one timer.

    The timer is not moved with each batch of tokens, which would cost as
    much as the batch itself: when it fires it looks at how long the stream
    has been quiet and is set anew for the rest.

    Parameters
    ----------
    rhythm : StallDetector
        Knows when the last batch came and how long to wait.
    close : callable
        Closes the stream, which ends the read that waits for it.
    """

    __slots__ = ("_close", "_loop", "_paused", "_rhythm", "_timer", "fired")

    def __init__(self, rhythm: StallDetector, close: Callable[[], None]) -> None:
        self._rhythm = rhythm
        self._close = close
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._paused = False
        self.fired = False

    def __enter__(self) -> "StallWatch":
        self._arm(self._rhythm.stall_timeout_s())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def pause(self) -> None:
        """The stream is not being read: its caller is slow, not its engine."""
        self._paused = True

    def go_on(self) -> None:
        """The stream is being read again."""
        self._paused = False

    def _arm(self, delay_s: float) -> None:
        self._timer = self._loop.call_later(delay_s, self._look)

    def _look(self) -> None:
        quiet = steady_time() - self._rhythm.last_at
        left = self._rhythm.stall_timeout_s() - quiet
        if self._paused or left > 0:
            self._arm(max(left, self._rhythm.floor_s))
            return
        self.fired = True
        self._close()
