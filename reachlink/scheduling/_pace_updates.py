"""Messages by which instances exchange their estimates of replicas' paces.

The struct is sent as an array: the order of its fields is the wire format, and new fields are
added at the end with a default.
"""

import math

import msgspec

from reachlink.scheduling._pace import Pace
from reachlink.scheduling._pace_estimate import MAX_PACE, MIN_PACE, PeerPace


class PaceUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Estimate of one replica's pace, in integers, which take half of the bytes.

    Attributes
    ----------
    replica : str
        Name of the replica.
    steady, slow_factor, momentary, slow_share : int
        As in `Pace`, in percent; `momentary` without decay.
    age_ms : int
        Age of the newest observation at any instance when the message was sent, in
        milliseconds. It is not a time, since the clocks of instances are not compared.
    born : int
        Time at which the replica started, in Unix milliseconds by its own clock; 0 if unknown.
    """

    replica: str
    steady: int
    slow_factor: int = 100
    momentary: int = 100
    slow_share: int = 0
    age_ms: int = 0
    born: int = 0

    def to_peer_pace(self, now: float) -> PeerPace:
        """Return the estimate as received at a monotonic time in seconds."""
        pace = Pace(
            steady=_between(MIN_PACE, self.steady / 100.0, MAX_PACE),
            momentary=_between(MIN_PACE, self.momentary / 100.0, MAX_PACE),
            slow_factor=_between(1.0, self.slow_factor / 100.0, MAX_PACE),
            slow_share=_between(0.0, self.slow_share / 100.0, 1.0),
            age_s=max(0.0, self.age_ms / 1000.0),
        )
        return PeerPace(pace, now)


def make_pace_update(replica: str, pace: Pace, born: int) -> PaceUpdate:
    """Return the message for a replica that started at `born`, in Unix milliseconds."""
    return PaceUpdate(
        replica=replica,
        steady=round(100.0 * pace.steady),
        slow_factor=round(100.0 * pace.slow_factor),
        momentary=round(100.0 * pace.momentary),
        slow_share=round(100.0 * pace.slow_share),
        # Rounded up, so that no observation becomes newer in transfer.
        age_ms=math.ceil(1000.0 * pace.age_s),
        born=born,
    )


def _between(low: float, value: float, high: float) -> float:
    return min(high, max(low, value))
