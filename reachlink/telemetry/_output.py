"""Where log lines go: standard output, never waiting for whoever reads it."""

import os
import stat
from collections import deque

# Lines that wait while the reader does not read; at some 250 bytes a line,
# half a megabyte.
MAX_WAITING = 2000


class BoundedOutput:
    """A text stream that drops lines rather than wait.

    What could not be written is kept, up to a bound, and goes out before the
    next line. Lines beyond the bound are counted and told of once there is
    room again.

    Parameters
    ----------
    descriptor : int
        Where to write; a pipe is made non-blocking.
    max_waiting : int
        Lines that are kept.
    """

    def __init__(self, descriptor: int, max_waiting: int = MAX_WAITING) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._max_waiting = max_waiting
        self._lost = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    @property
    def lost(self) -> int:
        """Lines lost since the last time that this was told."""
        return self._lost

    def write(self, text: str) -> None:
        """Take one whole line, with its newline."""
        self.flush()
        if len(self._waiting) >= self._max_waiting:
            self._lost += 1
            return
        self._waiting.append(text.encode())
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._waiting:
            if not self._put(self._waiting[0]):
                return
            self._waiting.popleft()
            if self._lost and not self._waiting:
                lost, self._lost = self._lost, 0
                self._waiting.append(b"level=warning event=log_lines_lost count=%d\n" % lost)

    def _put(self, line: bytes) -> bool:
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more: there is no one to tell.
            return True
        if written == len(line):
            return True
        self._waiting[0] = line[written:]
        return False
