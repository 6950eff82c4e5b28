"""Observations of a replica's pace, grouped into short windows; free of I/O and clocks."""

from array import array
from collections.abc import Callable

# Length of a window, in seconds: half as long as a slow phase, so that many answers in one
# slow phase count as two windows.
WINDOW_S = 0.25
# Maximum number of windows: six seconds of steady traffic.
MAX_WINDOWS = 24


class ObservationWindows:
    """Last windows of observations of one replica's pace, from one source.

    Parameters
    ----------
    quantile : float
        Quantile of the windows, from 0 to 1, that is the steady pace.
    on_closed : callable
        Called with the lowest and highest pace of each window when it ends.

    Examples
    --------
    >>> windows = ObservationWindows(0.4, lambda low, high: None)
    >>> for number, pace in enumerate([1.0, 1.0, 2.5, 1.0]):
    ...     windows.add(pace, now=float(number))
    >>> windows.count, windows.steady, windows.newest
    (4, 1.0, 1.0)
    """

    __slots__ = (
        "_high",
        "_quantile",
        "_lows",
        "_on_closed",
        "_opened_at",
        "newest",
        "newest_at",
        "steady",
    )

    def __init__(self, quantile: float, on_closed: Callable[[float, float], None]) -> None:
        self._quantile = quantile
        self._on_closed = on_closed
        self._lows = array("d")
        self._high = 0.0
        self._opened_at = float("-inf")
        # Newest observation, and its monotonic time in seconds.
        self.newest = 1.0
        self.newest_at = float("-inf")
        # Steady pace; 1 before the first observation.
        self.steady = 1.0

    @property
    def count(self) -> int:
        """Number of windows."""
        return len(self._lows)

    def add(self, pace: float, now: float) -> None:
        """Record a pace, as a multiple of the nominal one, at a monotonic time in seconds."""
        self.newest, self.newest_at = pace, now
        if now - self._opened_at >= WINDOW_S:
            self._open(pace, now)
        elif pace < self._lows[-1]:
            self._lows[-1] = pace
        else:
            self._high = max(self._high, pace)
            return
        ordered = sorted(self._lows)
        self.steady = ordered[int(self._quantile * (len(ordered) - 1))]

    def _open(self, pace: float, now: float) -> None:
        if self._lows:
            self._on_closed(self._lows[-1], self._high)
        if len(self._lows) >= MAX_WINDOWS:
            del self._lows[0]
        self._lows.append(pace)
        self._high = pace
        self._opened_at = now
