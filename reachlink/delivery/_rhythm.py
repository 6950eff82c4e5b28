"""Detection of stalled streams from the intervals between their batches; does no I/O.

The interval between batches of events is tracked as a smoothed mean and mean deviation, as
TCP does for round-trip times [1]_. A stream counts as stalled if no batch arrives within a
timeout that its own history of intervals determines.

References
----------
.. [1] V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988;
   RFC 6298, "Computing TCP's Retransmission Timer".
"""

from dataclasses import dataclass

_GAIN_MEAN = 0.125
_GAIN_DEVIATION = 0.25


@dataclass(slots=True)
class StallDetector:
    """Interval statistics of one stream; all times are in seconds.

    Parameters
    ----------
    first_token_s : float
        Timeout before the first event.
    floor_s, ceiling_s : float
        Bounds of the timeout between events. The lower bound covers a preemption and the
        recomputation after it, which an engine cannot announce.
    deviations : float
        Number of mean deviations that the timeout is above the mean interval.
    """

    first_token_s: float = 15.0
    floor_s: float = 0.75
    ceiling_s: float = 5.0
    deviations: float = 12.0
    mean_s: float = 0.0
    deviation_s: float = 0.0
    last_at: float = 0.0
    seen: int = 0

    def start(self, now: float) -> None:
        """Start waiting for the first batch at `now`."""
        self.last_at = now

    def on_batch(self, now: float) -> None:
        """Record a batch of events that arrived at `now`."""
        gap = now - self.last_at
        self.last_at = now
        self.seen += 1
        if self.seen == 1:
            return
        if self.seen == 2:
            self.mean_s = gap
            self.deviation_s = gap / 2
            return
        error = gap - self.mean_s
        self.mean_s += _GAIN_MEAN * error
        self.deviation_s += _GAIN_DEVIATION * (abs(error) - self.deviation_s)

    def stall_timeout_s(self) -> float:
        """Return the time without a batch after which the stream counts as stalled."""
        if self.seen == 0:
            return self.first_token_s
        plausible = self.mean_s + self.deviations * self.deviation_s
        return min(self.ceiling_s, max(self.floor_s, plausible))
