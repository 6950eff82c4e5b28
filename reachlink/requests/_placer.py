"""Choice of a replica for a request or copy, by this instance or its coordinator."""

from collections.abc import Set

from msgspec import structs

from reachlink.pacing import Hold
from reachlink.requests._cold_replicas import ColdReplicaLimiter
from reachlink.requests._model import CallerRequest
from reachlink.requests._needs import need_of, need_tokens
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placement_query import PlacementPurpose, PlacementQuery, PlacementReply
from reachlink.requests._reachable_replicas import ReachableReplicas
from reachlink.requests._replica_options import ReplicaOptions
from reachlink.routing import Service
from reachlink.scheduling import (
    EMPTY_QUEUE,
    Begin,
    Need,
    QueueState,
    Refuse,
    ReplicaOption,
    Start,
    Wait,
    best_start,
    choose_replica,
    prefill_ends_before_resume,
)
from reachlink.upstreams import Replica

# How long processing prompts delays a generation that resumes at the same replica, in
# seconds: the time for 5,000 tokens, two usual prompts, at 14 tokens per millisecond.
PROMPT_DELAY_S = 0.35
# How long queries exclude a replica that this instance found to be leaving, in seconds:
# longer than a coordinator takes to learn it from the list or from reports.
LEAVING_EXCLUSION_S = 5.0


class Placer:
    """Chooses replicas for requests and for copies of their memory.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._reachable = ReachableReplicas(parts)
        self._options = ReplicaOptions(parts, self._reachable)
        self._cold = ColdReplicaLimiter(parts)

    @property
    def reachable(self) -> ReachableReplicas:
        """Determines which replicas are reachable."""
        return self._reachable

    @property
    def options(self) -> ReplicaOptions:
        """Collects the load and health of replicas."""
        return self._options

    def stays(self, replica: Replica) -> bool:
        """Return whether a replica exists and is not known to be leaving."""
        return self._parts.directory.stays(replica.name)

    def is_in_service(self, replica: Replica) -> bool:
        """Return whether no operator has taken the replica's zone out of service."""
        return replica.availability_zone not in self._parts.directory.out_of_service

    def born(self, replica: Replica) -> int:
        """Return the last start time of a replica, in Unix milliseconds; 0 if unknown."""
        return self._parts.directory.born(replica.name)

    def is_gone(self, replica: Replica, born: int) -> bool:
        """Return whether a replica that started at `born` has ended or started anew."""
        known = self._parts.directory.find(replica.name) is not None
        return not known or 0 < born < self.born(replica)

    def takes_work(self, replica: Replica) -> bool:
        """Return whether a replica is not leaving and its zone is in service."""
        return self._parts.directory.may_get_work(replica.name)

    async def place(
        self,
        request: CallerRequest,
        tried: set[str],
        avoid_resuming: bool = False,
        within_s: float = 0.0,
    ) -> Replica | None:
        """Return the replica that a request should be sent to, or None if there is none.

        Parameters
        ----------
        request : CallerRequest
            Request to place.
        tried : set of str
            Names of replicas that must not be chosen.
        avoid_resuming : bool
            Whether to exclude replicas at which another generation is about to resume:
            processing the prompt would delay it, and its caller would see a pause.
        within_s : float
            Maximum time in seconds that the request may wait for a permit of a replica
            with a rate limit.
        """
        excluded = tried | self._held_replicas(request.service, within_s)
        query = self.query(request, excluded, avoid_resuming)
        answer = await self._ask(request.service, query)
        return self.decide(request.service, query) if answer is None else self._replica_of(answer)

    async def place_queued(
        self, request: CallerRequest, tried: set[str], avoid_resuming: bool, hold_s: float
    ) -> Replica | Wait | Refuse | None:
        """Return the decision of the queue's owner: a replica, to wait, or to refuse.

        Parameters
        ----------
        request : CallerRequest
            Request to place.
        tried : set of str
            Names of replicas that must not be chosen.
        avoid_resuming : bool
            Whether to exclude replicas at which another generation is about to resume.
        hold_s : float
            Maximum time in seconds for which the answer may be delayed until there is room.

        Returns
        -------
        Replica or Wait or Refuse or None
            None if the queue has no owner and there is no room.
        """
        excluded = tried | self._held_replicas(request.service)
        asked = self.query(request, excluded, avoid_resuming)
        query = structs.replace(asked, hold_s=hold_s)
        answer = await self._ask(request.service, query)
        if answer is None:
            return self.decide(request.service, query)
        if answer.replica is None:
            return answer.wait_or_refuse
        # A replica that is known here to be leaving gives no room, and the request has lost
        # its position in the queue: it asks again at once.
        return self._replica_of(answer) or Wait(0.0)

    def query(
        self, request: CallerRequest, tried: set[str], avoid_resuming: bool = False
    ) -> PlacementQuery:
        """Return the placement query for a request; see `place` for the parameters."""
        return PlacementQuery(
            instance="",
            request_id=request.request_id,
            service=request.service.name,
            purpose=PlacementPurpose.REQUEST,
            tokens=need_tokens(request),
            prompt_tokens=request.prompt_tokens,
            excluded=tuple(tried),
            zone=self._parts.zone,
            avoid_resuming=avoid_resuming,
            zones=_sorted_zones(request.zones),
            need=need_of(request, self._parts.clock()),
            fingerprint=request.relay.features.fingerprint,
        )

    async def place_copy(
        self,
        request: CallerRequest,
        excluded: set[str],
        tokens: int,
        purpose: PlacementPurpose,
        zone: str,
    ) -> Replica | None:
        """Return the replica that a copy of a generation should be sent to, if any.

        Parameters
        ----------
        request : CallerRequest
            Request of the generation.
        excluded : set of str
            Names of replicas that must not be chosen.
        tokens : int
            Memory that the generation takes now, in tokens.
        purpose : PlacementPurpose
            Kind of copy.
        zone : str
            Availability zone whose replicas are preferred; if empty, this instance's zone.
        """
        query = PlacementQuery(
            instance="",
            request_id=request.request_id,
            service=request.service.name,
            purpose=purpose,
            tokens=tokens,
            excluded=tuple(excluded | self._held_replicas(request.service)),
            zone=zone or self._parts.zone,
            zones=_sorted_zones(request.zones),
            need=Need(tokens=tokens, max_pause_s=request.route.event_gap_s),
        )
        found = self.decide(request.service, query)
        # The local information is at most a second old. It is good enough to avoid sending
        # many futile queries per second for copies that are wanted but not urgent.
        if found is None and purpose is not PlacementPurpose.DEPARTURE_COPY:
            return None
        answer = await self._ask(request.service, query)
        return found if answer is None else self._replica_of(answer)

    def _replica_of(self, answer: PlacementReply) -> Replica | None:
        """Return the replica of a coordinator's answer, unless it may not get new work."""
        listed = answer.replica
        if listed is None:
            return None
        replica = self._parts.directory.get_or_add(
            listed.name, listed.service, listed.availability_zone, listed.address
        )
        return replica if self.takes_work(replica) else None

    async def _ask(self, service: Service, query: PlacementQuery) -> PlacementReply | None:
        if service.engine is None:
            return None
        parts = self._parts
        # The coordinator may not know yet that these replicas are leaving.
        leaving = parts.directory.leaving(service.name, parts.clock() - LEAVING_EXCLUSION_S)
        excluded = tuple({*query.excluded, *leaving})
        return await parts.ask_coordinator(structs.replace(query, excluded=excluded))

    def start(
        self, service: Service, query: PlacementQuery, line: QueueState = EMPTY_QUEUE
    ) -> Start:
        """Return where and when a request or copy could start, by this instance's information.

        Parameters
        ----------
        service : Service
            Service of the request.
        query : PlacementQuery
            Placement query.
        line : QueueState
            Requests ahead in the queue.
        """
        need = query.need or Need(query.tokens, query.prompt_tokens)
        if line.ahead:
            # The replicas are irrelevant while other requests are ahead in the queue.
            return best_start((), need, self._parts.random, line, query.terms)
        options = self._options_for(service, query)
        start = best_start(options, need, self._parts.random, line, query.terms)
        if isinstance(start, Begin) and query.purpose is PlacementPurpose.REQUEST:
            self._cold.note_sent(start.replica)
        return start

    def has_room(self, service: Service, query: PlacementQuery) -> bool:
        """Return whether a replica has room for a request or copy now."""
        options = self._options_for(service, query)
        random, terms = self._parts.random, query.terms
        return choose_replica(options, query.tokens, random, terms) is not None

    def _options_for(self, service: Service, query: PlacementQuery) -> list[ReplicaOption]:
        """Return the replicas that are allowed for a request or copy."""
        excluded = set(query.excluded)
        if query.purpose is PlacementPurpose.REQUEST:
            excluded.update(self._cold.at_limit(service))
        options = self._options.for_service(service, excluded, query.zone)
        if query.zones is not None:
            options = [o for o in options if self._zone_of(o.name) in query.zones]
        if query.avoid_resuming:
            options = [o for o in options if prefill_ends_before_resume(o, PROMPT_DELAY_S)]
        return options

    def decide(self, service: Service, query: PlacementQuery) -> Replica | None:
        """Return the replica at which a request or copy can start now, if any.

        Uses only this instance's information and asks no coordinator.
        """
        start = self.start(service, query)
        return self._parts.directory.find(start.replica) if isinstance(start, Begin) else None

    def _zone_of(self, name: str) -> str:
        replica = self._parts.directory.find(name)
        return replica.availability_zone if replica is not None else ""

    def hold(self, request: CallerRequest, tried: Set[str]) -> Hold | None:
        """Return why, and until when, a request cannot be sent to any allowed replica.

        Parameters
        ----------
        request : CallerRequest
            Request to place.
        tried : set of str
            Names of replicas that must not be chosen.

        Returns
        -------
        Hold or None
            None if at least one allowed replica has no backoff, exhausted rate limit or
            recent refusal, or if there is no replica at all.
        """
        parts = self._parts
        if parts.pacing.is_empty:
            return None
        now = parts.clock()
        usable = [replica.address for replica in self._usable(request, tried, now)]
        return parts.pacing.hold(usable, now)

    def refusing_replicas(self, request: CallerRequest, tried: Set[str]) -> set[str]:
        """Return the replicas that refuse requests; the empty set if all allowed ones do."""
        now = self._parts.clock()
        is_refusing = self._parts.pacing.refusals.is_refusing
        usable = self._usable(request, tried, now)
        found = {replica.name for replica in usable if is_refusing(replica.address, now)}
        return found if len(found) < len(usable) else set()

    def _usable(self, request: CallerRequest, tried: Set[str], now: float) -> list[Replica]:
        """Return the reachable replicas that are allowed for a request."""
        zones = request.zones
        return [
            replica
            for replica in self._reachable.live(request.service.name, now)
            if replica.name not in tried and (zones is None or replica.availability_zone in zones)
        ]

    def _held_replicas(self, service: Service, within_s: float = 0.0) -> set[str]:
        """Return the replicas of a service that have a backoff, rate limit or recent refusal.

        Queries to a coordinator exclude them, because it does not know what a replica
        answered to this instance.
        """
        parts = self._parts
        if parts.pacing.is_empty:
            return set()
        now = parts.clock()
        replicas = parts.directory.live(service.name)
        return {r.name for r in replicas if not parts.pacing.admits(r.address, now, within_s)}


def _sorted_zones(zones: Set[str] | None) -> tuple[str, ...] | None:
    return None if zones is None else tuple(sorted(zones))
