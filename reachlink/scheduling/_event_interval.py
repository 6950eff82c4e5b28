"""Intervals between the events of a running stream; free of I/O and clocks."""

from reachlink.scheduling._forecast import ENGINE_SPEED, EngineSpeed
from reachlink.scheduling._observation_windows import WINDOW_S


def nominal_event_interval_s(
    running: int, tokens_per_event: int = 1, speed: EngineSpeed = ENGINE_SPEED
) -> float:
    """Return the time between two events at an engine of nominal pace, in seconds.

    Parameters
    ----------
    running : int
        Number of generations that run there; no prompt is processed beside them.
    tokens_per_event : int
        Number of tokens in one event of a stream.
    speed : EngineSpeed
        Durations of work at such an engine.
    """
    return max(1, tokens_per_event) * (speed.step_base_s + speed.step_sequence_s * running)


class EventIntervalMeter:
    """Mean interval between the events of one stream, once per observation window.

    Examples
    --------
    >>> meter = EventIntervalMeter()
    >>> [meter.record(number, now=0.05 * number) for number in range(6)]
    [None, None, None, None, None, 0.05]
    """

    __slots__ = ("_first_event", "_started_at")

    def __init__(self) -> None:
        # First event of the window, and its monotonic time in seconds.
        self._first_event = -1
        self._started_at = float("inf")

    def reset(self) -> None:
        """Discard the window: the stream continues at another replica."""
        self._started_at = float("inf")

    def record(self, number: int, now: float) -> float | None:
        """Record that the events up to a number arrived.

        Parameters
        ----------
        number : int
            Number of the last event.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float or None
            Mean interval between events when the window ends, in seconds; None before.
        """
        passed = now - self._started_at
        if 0.0 <= passed < WINDOW_S:
            return None
        events = number - self._first_event
        self._first_event, self._started_at = number, now
        return passed / events if passed > 0.0 and events > 0 else None
