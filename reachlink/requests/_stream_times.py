"""Timing of the events of one stream. No I/O."""


class StreamTimes:
    """Records the time to the first event and the longest pause of a stream.

    Parameters
    ----------
    arrived_at : float
        Monotonic time in seconds at which the request was read.

    Examples
    --------
    >>> times = StreamTimes(10.0)
    >>> times.note(1, 10.5), times.note(2, 10.6), times.note(3, 10.9)
    (0.0, 0.1, 0.3)
    >>> times.first_s, times.longest_pause_s, times.longest_pause_at
    (0.5, 0.3, 3)
    """

    def __init__(self, arrived_at: float) -> None:
        self._arrived_at = arrived_at
        self._given_at: float | None = None
        self._first_s: float | None = None
        self._longest_pause_s = 0.0
        self._longest_pause_at = -1

    @property
    def first_s(self) -> float | None:
        """Time from the arrival of the request to the first event, in seconds; None before it."""
        return self._first_s

    @property
    def longest_pause_s(self) -> float:
        """Longest pause between two events, in seconds."""
        return self._longest_pause_s

    @property
    def longest_pause_at(self) -> int:
        """Number of the event that ended the longest pause; -1 before the second event."""
        return self._longest_pause_at

    def note(self, event_number: int, now: float) -> float:
        """Record that events up to a number were passed on; return the pause before, in seconds."""
        if self._given_at is None:
            self._given_at = now
            self._first_s = round(now - self._arrived_at, 6)
            return 0.0
        pause = round(now - self._given_at, 6)
        self._given_at = now
        if pause > self._longest_pause_s:
            self._longest_pause_s, self._longest_pause_at = pause, event_number
        return pause
