"""An event loop whose time passes only while nothing is left to do.

Timed code runs at once and always the same way: seconds of waiting cost nothing,
and a busy machine changes no verdict.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Starts at 0 s; only for code that does no input or output."""

    def __init__(self) -> None:
        self._virtual_now = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self._virtual_now += seconds


class _JumpingSelector(selectors.SelectSelector):
    """Lets virtual time pass in place of waiting."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        if timeout > 0.0:
            self._loop.advance(timeout)
        return super().select(0.0)


def run_virtually(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a loop of its own and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
