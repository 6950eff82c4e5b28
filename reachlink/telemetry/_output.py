"""Where log lines go: standard output, never waiting for whoever reads it."""

import os
import stat
from collections import deque

# Lines that wait while the reader does not read; at some 250 bytes a line,
# half a megabyte.
MAX_BUFFERED_LINES = 2000


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

    def __init__(self, descriptor: int, max_buffered_lines: int = MAX_BUFFERED_LINES) -> None:
        self._descriptor = descriptor
        self._buffered_lines: deque[bytes] = deque()
        self._max_buffered_lines = max_buffered_lines
        self._lost_lines = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    @property
    def lost_lines(self) -> int:
        """Lines lost since the last time that this was told."""
        return self._lost_lines

    def write(self, text: str) -> None:
        """Take one whole line, with its newline."""
        self.flush()
        if len(self._buffered_lines) >= self._max_buffered_lines:
            self._lost_lines += 1
            return
        self._buffered_lines.append(text.encode())
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._buffered_lines:
            if not self._write_line(self._buffered_lines[0]):
                return
            self._buffered_lines.popleft()
            if self._lost_lines and not self._buffered_lines:
                lost, self._lost_lines = self._lost_lines, 0
                self._buffered_lines.append(b"level=warning event=log_lines_lost count=%d\n" % lost)

    def _write_line(self, line: bytes) -> bool:
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more: there is no one to tell.
            return True
        if written == len(line):
            return True
        self._buffered_lines[0] = line[written:]
        return False
