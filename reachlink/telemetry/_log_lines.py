"""Log lines of one kind, a few a second at the most."""

from collections.abc import Callable


class LogLines:
    """Says which lines of one kind are written, and counts the others.

    Parameters
    ----------
    per_s : int
        Lines a second at the most.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, per_s: int, clock: Callable[[], float]) -> None:
        self._per_s = per_s
        self._clock = clock
        self._second = 0
        self._count = 0
        self._skipped = 0

    def admit(self) -> bool:
        """Return whether another line may be written now; count it where not."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        if self._count > self._per_s:
            self._skipped += 1
            return False
        return True

    def skipped(self) -> int:
        """Return how many were not written since the last one."""
        skipped, self._skipped = self._skipped, 0
        return skipped
