"""Grants of room at replicas to queued requests, and the load that they add."""

from collections.abc import Callable
from random import Random

from msgspec import structs

from reachlink.coordination._queue_outcomes import QueueOutcomes
from reachlink.coordination._recent_grants import RecentGrants
from reachlink.coordination._service_queue import HeldQuery, ServiceQueue
from reachlink.coordination._unfit_cache import constraints_of
from reachlink.membership import ReplicaDirectory
from reachlink.requests import (
    ListedReplica,
    PeerLoad,
    PlacementQuery,
    PlacementReply,
    Placer,
    ReplicaTracker,
)
from reachlink.routing import Service
from reachlink.scheduling import EMPTY_QUEUE, Begin, Need, QueuedRequest, QueueState

# Queued requests for which replicas are compared in order. If none of them gets room, as many
# others that may fit are compared, drawn at random.
MAX_COMPARED = 8
# Most places that are granted in one scan.
MAX_GRANTS_PER_SCAN = 16

_Candidate = tuple[QueuedRequest, HeldQuery]


class QueueGrants:
    """Grants the room at replicas to queued requests.

    Parameters
    ----------
    name : str
        Name of this instance.
    placer : Placer
        Chooses the replica for a request.
    tracker : ReplicaTracker
        Notified of grants to requests of other instances, so that an update is sent.
    peer_load : PeerLoad
        Load of the other instances, to which grants are added.
    directory : ReplicaDirectory
        Replicas that exist.
    outcomes : QueueOutcomes
        Records the requests that were granted a place.
    clock : callable
        Returns the monotonic time in seconds.
    random : random.Random
        Draws the requests for which replicas are compared.
    """

    def __init__(
        self,
        name: str,
        placer: Placer,
        tracker: ReplicaTracker,
        peer_load: PeerLoad,
        directory: ReplicaDirectory,
        outcomes: QueueOutcomes,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._name = name
        self._random = random
        self._placer = placer
        self._tracker = tracker
        self._peer_load = peer_load
        self._recent_grants = RecentGrants(peer_load, clock)
        self._directory = directory
        self._outcomes = outcomes
        self._clock = clock

    def start_immediately(
        self, queue: ServiceQueue, service: Service, query: PlacementQuery, need: Need
    ) -> PlacementReply | None:
        """Place a request if the queue is empty and there is room; return None otherwise."""
        if len(queue.requests):
            return None
        replica = self._start_now(service, query)
        if replica is None:
            return None
        now = self._clock()
        queue.requests.record_immediate_start(need, now)
        self._outcomes.record_decision(
            queue, query.request_id, need, Begin(replica.name), EMPTY_QUEUE
        )
        return PlacementReply(ready=True, replica=replica)

    def grant_in_order(self, queue: ServiceQueue, service: Service, now: float) -> None:
        """Grant the room that there is to queued requests."""
        queue.unfit.clear(now)
        for _ in range(MAX_GRANTS_PER_SCAN):
            if not self._grant_next(queue, service, now):
                return

    def has_room(
        self, queue: ServiceQueue, service: Service, query: PlacementQuery, now: float
    ) -> bool:
        """Return whether there is room for a request, regardless of requests ahead of it."""
        queue.unfit.drop_expired(now)
        if not queue.unfit.may_fit(query):
            return False
        if self._placer.has_room(service, query):
            return True
        queue.unfit.add(query)
        return False

    def _grant_next(self, queue: ServiceQueue, service: Service, now: float) -> bool:
        """Grant a place to the first request that fits; return whether there was one."""
        candidates = [
            (waiting, held)
            for waiting in queue.requests.order(now)
            if (held := queue.held_queries.get(waiting.request_id)) is not None and now < held.until
        ]
        smallest = _smallest_by_constraints(candidates)
        # If the smallest request does not fit, none with the same constraints does.
        for _, held in smallest[:MAX_COMPARED]:
            self.has_room(queue, service, held.query, now)
        # First request that does not fit, by the zones that it may go to.
        overtaken: dict[tuple[str, ...] | None, QueuedRequest] = {}
        reserved: frozenset[str] = frozenset()
        compared = 0
        for waiting, held in candidates:
            if queue.unfit.may_fit(held.query) and compared < MAX_COMPARED:
                compared += 1
                if self._grant(queue, service, waiting, held, now, reserved):
                    _record_overtaken(overtaken, now)
                    return True
            if held.query.zones not in overtaken:
                overtaken[held.query.zones] = waiting
                if waiting.reserves_room(now):
                    reserved |= self._reserved_replicas(service, held.query)
        # The others are drawn at random, so that each of them is compared sooner or later.
        not_compared = [
            (waiting, held) for waiting, held in smallest if queue.unfit.may_fit(held.query)
        ]
        for waiting, held in self._random.sample(
            not_compared, min(MAX_COMPARED, len(not_compared))
        ):
            if self._grant(queue, service, waiting, held, now, reserved):
                _record_overtaken(overtaken, now)
                return True
        return False

    def _reserved_replicas(self, service: Service, query: PlacementQuery) -> frozenset[str]:
        """Return the replicas whose room is reserved for a request that may go there."""
        live = self._directory.live(service.name)
        zones = query.zones
        return frozenset(
            replica.name
            for replica in live
            if replica.name not in query.excluded
            and (zones is None or replica.availability_zone in zones)
        )

    def _grant(
        self,
        queue: ServiceQueue,
        service: Service,
        waiting: QueuedRequest,
        held: HeldQuery,
        now: float,
        reserved: frozenset[str],
    ) -> bool:
        excluded = (*held.query.excluded, *reserved)
        start = self._placer.start(service, structs.replace(held.query, excluded=excluded))
        if not isinstance(start, Begin):
            queue.unfit.add(held.query)
            return False
        replica = self.record_grant(queue, waiting, held.query, start.replica, now)
        if replica is None:
            queue.unfit.add(held.query)
            return False
        queue.answer(waiting.request_id, PlacementReply(ready=True, replica=replica))
        return True

    def record_grant(
        self,
        queue: ServiceQueue,
        waiting: QueuedRequest,
        query: PlacementQuery,
        name: str,
        now: float,
    ) -> ListedReplica | None:
        """Record the grant of a place to a queued request, and return the replica."""
        replica = self._reserve(query, name)
        if replica is None:
            return None
        state = QueueState(len(queue.requests) - 1, 0, queue.requests.granted_tokens_per_s(now))
        queue.requests.grant(waiting.request_id, now)
        self._outcomes.record_granted(queue, waiting, replica.name, state, now)
        return replica

    def _start_now(self, service: Service, query: PlacementQuery) -> ListedReplica | None:
        """Return the replica where a request starts now and add its load; None without room."""
        start = self._placer.start(service, query)
        return self._reserve(query, start.replica) if isinstance(start, Begin) else None

    def _reserve(self, query: PlacementQuery, name: str) -> ListedReplica | None:
        replica = self._directory.find(name)
        if replica is None:
            return None
        if query.instance != self._name:
            self._recent_grants.add(query.instance, query.usage_at(name))
            self._tracker.notify_listeners()
        else:
            self._peer_load.add(self._name, query.usage_at(name), self._clock())
        return ListedReplica(
            replica.name, replica.upstream, replica.availability_zone, replica.address, False
        )


def _smallest_by_constraints(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the request that needs least memory for each set of constraints."""
    found: dict[object, _Candidate] = {}
    for waiting, held in candidates:
        constraints = constraints_of(held.query)
        before = found.get(constraints)
        if before is None or held.query.tokens < before[1].query.tokens:
            found[constraints] = waiting, held
    return list(found.values())


def _record_overtaken(overtaken: dict[tuple[str, ...] | None, QueuedRequest], now: float) -> None:
    for waiting in overtaken.values():
        waiting.record_overtaken(now)
