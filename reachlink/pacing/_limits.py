"""The requests a second that replicas take from all instances together; pure.

A replica in need names that number in its answers, for as long as it is so. What the
instances grant of it to each other is in `_sharing`; here stands what one knows.
"""

import math
from dataclasses import dataclass

# Lowest limit that is kept to, in requests a second: a replica that names less, or none at
# all, is asked once in so long whether it still does; else its limit would never end.
LOWEST_PER_S = 0.1
# Highest that is told apart from none, in requests a second: more than the whole fleet gets.
HIGHEST_PER_S = 1e6
# How soon it is asked again whether something is left, in seconds, however late the next permit
# was said to be: who grants them changes, and so does the share that it grants.
ASKED_AGAIN_S = 0.5
# Replicas that are remembered at the most: well above the 710 of the largest fleet.
MAX_REMEMBERED = 2000
# How long the end of a limit is remembered, in seconds: longer than what others tell of it
# takes to come.
ENDED_KEPT_S = 60.0
# A limit that was named less than this many seconds before a new start of its replica became
# known may have been named since; if it was not, the next answer ends it.
START_KNOWN_S = 30.0


def parse_limit(text: str) -> float:
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
    free_at : float
        When the next permit of this instance is, as was said last.
    asked_again_at : float
        When it is worth asking again.
    """

    per_s: float
    named_at: float
    free_at: float = float("-inf")
    asked_again_at: float = float("-inf")


class LimitBook:
    """The replicas that have named a limit, by their addresses."""

    def __init__(self) -> None:
        self._limits: dict[str, NamedLimit] = {}
        # When limits ended, in monotonic seconds: what others heard before is void.
        self._ended: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no replica has a limit."""
        return not self._limits

    def name(self, address: str, per_s: float, named_at: float) -> bool:
        """Take that a replica names a limit; return whether that is news.

        Parameters
        ----------
        address : str
            The replica.
        per_s : float
            Requests a second.
        named_at : float
            When it did, in monotonic seconds: others may tell of it later, and what was
            named or ended since counts.
        """
        if named_at <= self._ended.get(address, float("-inf")):
            return False
        before = self._limits.get(address)
        if before is not None and before.named_at >= named_at:
            return False
        if before is None:
            self._make_room(named_at)
            self._limits[address] = NamedLimit(per_s, named_at)
            return True
        news = before.per_s != per_s
        before.per_s, before.named_at = per_s, named_at
        return news

    def end(self, address: str, sent_at: float, now: float) -> bool:
        """Take an answer without a limit; return whether that ends one.

        Answers overtake each other: only one to a request that was sent after the limit
        was named last says that it is over.

        Parameters
        ----------
        address : str
            The replica.
        sent_at : float
            When the request was sent that was answered, in monotonic seconds.
        now : float
            Monotonic time in seconds.
        """
        limit = self._limits.get(address)
        if limit is None or sent_at <= limit.named_at:
            return False
        del self._limits[address]
        self._ended = {a: at for a, at in self._ended.items() if now - at < ENDED_KEPT_S}
        self._ended[address] = sent_at
        return True

    def ended(self) -> dict[str, float]:
        """Return when limits ended lately, in monotonic seconds, by addresses."""
        return self._ended

    def get(self, address: str) -> NamedLimit | None:
        """Return the limit of a replica; None where it has none."""
        return self._limits.get(address)

    def all(self) -> dict[str, NamedLimit]:
        """Return all limits, by addresses."""
        return self._limits

    def close(self, address: str, left_s: float, now: float) -> None:
        """Take that nothing is left for this instance for some seconds."""
        limit = self._limits.get(address)
        if limit is not None:
            limit.free_at = now + left_s
            limit.asked_again_at = now + min(left_s, ASKED_AGAIN_S)

    def left_s(self, address: str, now: float) -> float:
        """Return how long nothing is left for this instance, in seconds; 0 where something is."""
        limit = self._limits.get(address)
        return max(0.0, limit.free_at - now) if limit is not None else 0.0

    def holds(self, address: str, now: float) -> bool:
        """Return whether a replica gets less than usual now."""
        return self.left_s(address, now) > 0.0

    def admits(self, address: str, now: float) -> bool:
        """Return whether it is worth asking for another request to a replica."""
        limit = self._limits.get(address)
        return limit is None or now >= limit.asked_again_at

    def note_sent(self, address: str, now: float) -> None:
        """Do nothing: what is sent was counted where it was granted."""

    def note_answer(self, address: str, now: float) -> None:
        """Do nothing: what an answer says of a limit is taken by `name` and `end`."""

    def start_again(self, address: str, now: float) -> None:
        """Take that a replica has started again: what it named before is void."""
        limit = self._limits.get(address)
        if limit is not None and now - limit.named_at > START_KNOWN_S:
            del self._limits[address]

    def replace(self, address: str) -> None:
        """Take that another replica has an address by now."""
        self._limits.pop(address, None)
        self._ended.pop(address, None)

    def count(self) -> int:
        """Return how many replicas have a limit."""
        return len(self._limits)

    def _make_room(self, now: float) -> None:
        if len(self._limits) >= MAX_REMEMBERED:
            del self._limits[min(self._limits, key=lambda a: self._limits[a].named_at)]
