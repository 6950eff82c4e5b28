"""Notices changes of a file, with and without a signal."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

# Interval in seconds at which the file is compared without a signal.
CHECK_INTERVAL_S = 1.0


class FileWatch:
    """Calls back with the content of a file whenever it has changed.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    content : bytes
        Content that is in use.
    on_change : callable
        Takes the new content.
    on_unreadable : callable
        Takes the reason why the file cannot be read.
    """

    def __init__(
        self,
        path: Path,
        content: bytes,
        on_change: Callable[[bytes], None],
        on_unreadable: Callable[[str], None],
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._on_unreadable = on_unreadable
        self._seen = content
        self._signal = asyncio.Event()

    def listen(self) -> None:
        """Look at the file at once after each SIGHUP from now on."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._signal.set)

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._signal.wait()
            except TimeoutError:
                pass
            self._signal.clear()
            self._check()

    def _check(self) -> None:
        try:
            content = self._path.read_bytes()
        except OSError as error:
            self._on_unreadable(error.strerror or str(error))
            return
        if content != self._seen:
            self._seen = content
            self._on_change(content)
