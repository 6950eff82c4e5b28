"""Cache of request sizes that found no room, so that they are not compared again."""

from reachlink.requests import PlacementQuery

# Time for which an entry is valid, in seconds: the longest time between two scans for room.
UNFIT_KEPT_S = 0.05

_Constraints = tuple[frozenset[str], tuple[str, ...] | None, bool]


class UnfitCache:
    """Smallest memory need that found no room, by the constraints on the replicas."""

    def __init__(self) -> None:
        self._unfit: dict[_Constraints, int] = {}
        self._since = float("-inf")

    def clear(self, now: float) -> None:
        """Drop all entries at the start of a new scan for room."""
        self._unfit = {}
        self._since = now

    def drop_expired(self, now: float) -> None:
        """Drop all entries if they are too old to be valid."""
        if now - self._since > UNFIT_KEPT_S:
            self.clear(now)

    def may_fit(self, query: PlacementQuery) -> bool:
        """Return whether a request needs less memory than those that found no room."""
        unfit = self._unfit.get(constraints_of(query))
        return unfit is None or query.tokens < unfit

    def add(self, query: PlacementQuery) -> None:
        """Record that a request has found no room."""
        if self.may_fit(query):
            self._unfit[constraints_of(query)] = query.tokens


def constraints_of(query: PlacementQuery) -> _Constraints:
    """Return the constraints that determine which replicas a request may go to."""
    return frozenset(query.excluded), query.zones, query.avoid_resuming
