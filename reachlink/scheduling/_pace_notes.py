"""Messages by which instances exchange their estimates of replicas' paces.

The struct is sent as an array: the order of its fields is the wire format, and new fields are
added at the end with a default.
"""

import math

import msgspec

from reachlink.scheduling._pace import Pace
from reachlink.scheduling._paces import LEAST, MOST, HeardPace


class PaceNote(msgspec.Struct, array_like=True, frozen=True):
    """Estimate of one replica's pace, in integers, which take half of the bytes.

    Attributes
    ----------
    replica : str
        Name of the replica.
    steady, worst, moment, bad_share : int
        As in `Pace`, in percent; `moment` without decay.
    age_ms : int
        Age of the newest observation at any instance when the message was sent, in
        milliseconds. It is not a time, since the clocks of instances are not compared.
    born : int
        Time at which the replica started, in Unix milliseconds by its own clock; 0 if unknown.
    """

    replica: str
    steady: int
    worst: int = 100
    moment: int = 100
    bad_share: int = 0
    age_ms: int = 0
    born: int = 0

    def heard(self, now: float) -> HeardPace:
        """Return the estimate as received at a monotonic time in seconds."""
        pace = Pace(
            steady=_between(LEAST, self.steady / 100.0, MOST),
            moment=_between(LEAST, self.moment / 100.0, MOST),
            worst=_between(1.0, self.worst / 100.0, MOST),
            bad_share=_between(0.0, self.bad_share / 100.0, 1.0),
            age_s=max(0.0, self.age_ms / 1000.0),
        )
        return HeardPace(pace, now)


def pace_note(replica: str, pace: Pace, born: int) -> PaceNote:
    """Return the message for a replica that started at `born`, in Unix milliseconds."""
    return PaceNote(
        replica=replica,
        steady=round(100.0 * pace.steady),
        worst=round(100.0 * pace.worst),
        moment=round(100.0 * pace.moment),
        bad_share=round(100.0 * pace.bad_share),
        # Rounded up, so that no observation becomes newer in transfer.
        age_ms=math.ceil(1000.0 * pace.age_s),
        born=born,
    )


def _between(least: float, value: float, most: float) -> float:
    return min(most, max(least, value))
