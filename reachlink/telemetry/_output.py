"""Non-blocking output of log lines with a bounded buffer."""

import os
import stat
from collections import deque

# Lines buffered while the reader does not read: half a megabyte at about 250 bytes a line.
MAX_BUFFERED_LINES = 2000


class BoundedOutput:
    """Text stream that drops lines instead of blocking the process.

    Lines that cannot be written at once are buffered, up to a bound, and
    written before the next line. Lines beyond the bound are dropped and
    counted; a ``log_lines_lost`` event reports their number once the buffer
    has been written.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; a pipe is set to non-blocking mode.
    max_buffered_lines : int, optional
        Largest number of buffered lines.
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
        """Number of lines dropped since the last ``log_lines_lost`` event."""
        return self._lost_lines

    def write(self, text: str) -> None:
        """Write one complete line, including its newline.

        The line is buffered if it cannot be written at once, and dropped if the
        buffer is full.
        """
        self.flush()
        if len(self._buffered_lines) >= self._max_buffered_lines:
            self._lost_lines += 1
            return
        self._buffered_lines.append(text.encode())
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts without blocking."""
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
            # Treated as written: without a reader, the loss of the line cannot be reported.
            return True
        if written == len(line):
            return True
        self._buffered_lines[0] = line[written:]
        return False
