"""Grants places to the requests of a line, in its order, and notes what they take."""

from collections.abc import Callable
from random import Random

from msgspec import structs

from reachlink.coordination._kept_line import HeldQuestion, KeptLine
from reachlink.coordination._line_outcomes import LineOutcomes
from reachlink.coordination._recent_grants import RecentGrants
from reachlink.coordination._unfit_cache import constraints_of
from reachlink.membership import ReplicaDirectory
from reachlink.requests import (
    ListedReplica,
    PlaceAnswer,
    PlaceQuestion,
    Placing,
    ReplicaBook,
    SharedLoad,
)
from reachlink.routing import Service
from reachlink.scheduling import NO_LINE, Begin, LineState, Need, Waiting

# Waiting requests that replicas are compared for in order; as many more where these may fit and
# none of the first does.
COMPARED = 8
# Places that are granted in one look.
GRANTED = 16

_Asked = tuple[Waiting, HeldQuestion]


class LineGrants:
    """Grants what room there is.

    Parameters
    ----------
    name : str
        This instance.
    placing : Placing
        Decides where a request would begin.
    book : ReplicaBook
        Tells the others of what is granted to their requests.
    shared : SharedLoad
        Where it is noted what was granted.
    directory : ReplicaDirectory
        The replicas.
    outcomes : LineOutcomes
        Where it is noted who was granted a place.
    clock : callable
        Monotonic time in seconds.
    random : random.Random
        Draws whom replicas are compared for.
    """

    def __init__(
        self,
        name: str,
        placing: Placing,
        book: ReplicaBook,
        shared: SharedLoad,
        directory: ReplicaDirectory,
        outcomes: LineOutcomes,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._name = name
        self._random = random
        self._placing = placing
        self._book = book
        self._shared = shared
        self._recent_grants = RecentGrants(shared, clock)
        self._directory = directory
        self._outcomes = outcomes
        self._clock = clock

    def begin_at_once(
        self, kept: KeptLine, service: Service, question: PlaceQuestion, need: Need
    ) -> PlaceAnswer | None:
        """Return the answer to a request that finds nobody in line, and room."""
        if len(kept.line):
            return None
        replica = self._room(service, question)
        if replica is None:
            return None
        now = self._clock()
        kept.line.note_begun(need, now)
        self._outcomes.settle(kept, question.request_id, need, Begin(replica.name), NO_LINE)
        return PlaceAnswer(settled=True, replica=replica)

    def grant_in_order(self, kept: KeptLine, service: Service, now: float) -> None:
        """Grant what room there is to those who wait."""
        kept.unfit.clear(now)
        for _ in range(GRANTED):
            if not self._grant_next(kept, service, now):
                return

    def has_room(
        self, kept: KeptLine, service: Service, question: PlaceQuestion, now: float
    ) -> bool:
        """Return whether a place is free for a request, though others go first."""
        kept.unfit.drop_expired(now)
        if not kept.unfit.may_fit(question):
            return False
        if self._placing.has_room(service, question):
            return True
        kept.unfit.add(question)
        return False

    def _grant_next(self, kept: KeptLine, service: Service, now: float) -> bool:
        """Grant a place to the first for whom there is one; return whether there was."""
        asked = [
            (waiting, held)
            for waiting in kept.line.order(now)
            if (held := kept.held.get(waiting.request_id)) is not None and now < held.until
        ]
        smallest = _smallest(asked)
        # Where the smallest does not fit, none of those who may go there does.
        for _, held in smallest[:COMPARED]:
            self.has_room(kept, service, held.question, now)
        # The first that does not fit of those who may go to the same zones.
        passed: dict[tuple[str, ...] | None, Waiting] = {}
        kept_back: frozenset[str] = frozenset()
        compared = 0
        for waiting, held in asked:
            if kept.unfit.may_fit(held.question) and compared < COMPARED:
                compared += 1
                if self._grant(kept, service, waiting, held, now, kept_back):
                    _note_passed(passed, now)
                    return True
            if held.question.zones not in passed:
                passed[held.question.zones] = waiting
                if waiting.holds_back(now):
                    kept_back |= self._kept_back(service, held.question)
        # Those who were not compared, by chance: each has its turn.
        left = [(waiting, held) for waiting, held in smallest if kept.unfit.may_fit(held.question)]
        for waiting, held in self._random.sample(left, min(COMPARED, len(left))):
            if self._grant(kept, service, waiting, held, now, kept_back):
                _note_passed(passed, now)
                return True
        return False

    def _kept_back(self, service: Service, question: PlaceQuestion) -> frozenset[str]:
        """Return the replicas where room is held back for one that may go there."""
        live = self._directory.live(service.name)
        zones = question.zones
        return frozenset(
            replica.name
            for replica in live
            if replica.name not in question.excluded
            and (zones is None or replica.availability_zone in zones)
        )

    def _grant(
        self,
        kept: KeptLine,
        service: Service,
        waiting: Waiting,
        held: HeldQuestion,
        now: float,
        kept_back: frozenset[str],
    ) -> bool:
        excluded = (*held.question.excluded, *kept_back)
        start = self._placing.start(service, structs.replace(held.question, excluded=excluded))
        if not isinstance(start, Begin):
            kept.unfit.add(held.question)
            return False
        replica = self.take(kept, waiting, held.question, start.replica, now)
        if replica is None:
            kept.unfit.add(held.question)
            return False
        kept.answer(waiting.request_id, PlaceAnswer(settled=True, replica=replica))
        return True

    def take(
        self, kept: KeptLine, waiting: Waiting, question: PlaceQuestion, name: str, now: float
    ) -> ListedReplica | None:
        """Note a place that a waiting request gets, and return it."""
        replica = self._occupy(question, name)
        if replica is None:
            return None
        state = LineState(len(kept.line) - 1, 0, kept.line.drain_tokens_per_s(now))
        kept.line.granted(waiting.request_id, now)
        self._outcomes.granted(kept, waiting, replica.name, state, now)
        return replica

    def _room(self, service: Service, question: PlaceQuestion) -> ListedReplica | None:
        """Return the replica where a request begins now, noting that it does."""
        start = self._placing.start(service, question)
        return self._occupy(question, start.replica) if isinstance(start, Begin) else None

    def _occupy(self, question: PlaceQuestion, name: str) -> ListedReplica | None:
        replica = self._directory.find(name)
        if replica is None:
            return None
        if question.instance != self._name:
            self._recent_grants.add(question.instance, question.occupies(name))
            self._book.touch()
        else:
            self._shared.add(self._name, question.occupies(name), self._clock())
        return ListedReplica(
            replica.name, replica.upstream, replica.availability_zone, replica.address, False
        )


def _smallest(asked: list[_Asked]) -> list[_Asked]:
    """Return the one that needs least memory of those who may go to the same replicas."""
    found: dict[object, _Asked] = {}
    for waiting, held in asked:
        constraints = constraints_of(held.question)
        before = found.get(constraints)
        if before is None or held.question.tokens < before[1].question.tokens:
            found[constraints] = waiting, held
    return list(found.values())


def _note_passed(passed: dict[tuple[str, ...] | None, Waiting], now: float) -> None:
    for waiting in passed.values():
        waiting.note_passed(now)
