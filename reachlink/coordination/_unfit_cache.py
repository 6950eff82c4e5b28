"""What was found not to fit in a moment, so that it is not compared again."""

from reachlink.requests import PlaceQuestion

# How long that is taken for true, in seconds: as often room is looked for.
UNFIT_KEPT_S = 0.05

_Constraints = tuple[frozenset[str], tuple[str, ...] | None, bool]


class UnfitCache:
    """The least memory that did not fit, by the replicas where requests may go."""

    def __init__(self) -> None:
        self._unfit: dict[_Constraints, int] = {}
        self._since = float("-inf")

    def clear(self, now: float) -> None:
        """Forget what was found: room is looked for anew."""
        self._unfit = {}
        self._since = now

    def drop_expired(self, now: float) -> None:
        """Forget what was found too long ago to be true."""
        if now - self._since > UNFIT_KEPT_S:
            self.clear(now)

    def may_fit(self, question: PlaceQuestion) -> bool:
        """Return whether a request may find a place by what was found."""
        unfit = self._unfit.get(constraints_of(question))
        return unfit is None or question.tokens < unfit

    def add(self, question: PlaceQuestion) -> None:
        """Note that a request has found no place."""
        if self.may_fit(question):
            self._unfit[constraints_of(question)] = question.tokens


def constraints_of(question: PlaceQuestion) -> _Constraints:
    """Return where a request may go; whoever has the same may go to the same replicas."""
    return frozenset(question.excluded), question.zones, question.calm_only
