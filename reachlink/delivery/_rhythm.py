"""Detection of a stalled stream from its own rhythm; pure.

The gap between batches is tracked as a smoothed mean and mean deviation, as
TCP does for round-trip times [1]_. A stream is stalled when it has been quiet
for longer than its own history makes plausible.

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
    """Rhythm of one stream; all times in seconds.

    Parameters
    ----------
    first_token_s : float
        Patience before the first event.
    floor_s, ceiling_s : float
        Bounds of the patience between events. The floor covers a preemption
        and its recomputation, which an engine cannot announce.
    deviations : float
        How many mean deviations above the mean are still plausible.
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
        """Begin to wait at `now`."""
        self.last_at = now

    def on_batch(self, now: float) -> None:
        """Events arrived at `now`."""
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

    def patience_s(self) -> float:
        """Return how long a quiet stream is to be believed."""
        if self.seen == 0:
            return self.first_token_s
        plausible = self.mean_s + self.deviations * self.deviation_s
        return min(self.ceiling_s, max(self.floor_s, plausible))
