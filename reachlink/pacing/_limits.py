"""The requests a second that replicas take from all instances together; pure.

A replica in need names that number in its answers, for as long as it is so.
"""

import math
from dataclasses import dataclass

# Lowest limit that is kept to, in requests a second: a replica that names less, or none at
# all, is asked once in so long whether it still does; else its limit would never end.
LOWEST_PER_S = 0.1
# Highest that is told apart from none, in requests a second: more than the whole fleet gets.
HIGHEST_PER_S = 1e6
# Replicas that are remembered at the most: well above the 710 of the largest fleet.
MAX_REMEMBERED = 2000


def read_limit(text: str) -> float:
    """Return the requests a second that a replica names, within what can be kept to.

    Raises
    ------
    ValueError
        If that is no number, not finite, or below zero.
    """
    per_s = float(text)
    if not math.isfinite(per_s) or per_s < 0.0:
        raise ValueError(f"not a rate: {text}")
    return min(HIGHEST_PER_S, max(LOWEST_PER_S, per_s))


@dataclass(slots=True)
class NamedLimit:
    """What one replica has named.

    Attributes
    ----------
    per_s : float
        Requests a second that it takes from all instances together.
    named_at : float
        When it was named last, in monotonic seconds.
    """

    per_s: float
    named_at: float


class LimitBook:
    """The replicas that have named a limit, by their addresses."""

    def __init__(self) -> None:
        self._limits: dict[str, NamedLimit] = {}

    def name(self, address: str, per_s: float, now: float) -> bool:
        """Take that a replica names a limit; return whether that is news."""
        before = self._limits.get(address)
        self._limits[address] = NamedLimit(per_s, now)
        return before is None or before.per_s != per_s

    def end(self, address: str, sent_at: float) -> bool:
        """Take an answer without a limit; return whether that ends one.

        Answers overtake each other: only one to a request that was sent after the limit
        was named last says that it is over.

        Parameters
        ----------
        address : str
            The replica.
        sent_at : float
            When the request was sent that was answered, in monotonic seconds.
        """
        limit = self._limits.get(address)
        if limit is None or sent_at <= limit.named_at:
            return False
        del self._limits[address]
        return True

    def per_s(self, address: str) -> float | None:
        """Return the limit of a replica, in requests a second; None where it has none."""
        limit = self._limits.get(address)
        return limit.per_s if limit is not None else None

    def count(self) -> int:
        """Return how many replicas have a limit."""
        return len(self._limits)
