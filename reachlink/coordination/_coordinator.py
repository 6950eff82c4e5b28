"""A coordinator, which knows the load of its members and places their requests."""

import asyncio
from collections.abc import Callable, Iterable, Set
from random import Random
from typing import Any, Protocol

from reachlink.coordination._limit_exchange import LimitExchange
from reachlink.coordination._messages import (
    CHANNEL_MEMBER,
    CHANNEL_PLACE,
    CHANNEL_QUEUE_LEFT,
    CoordinatorSnapshot,
    MemberUpdate,
    QueueLeft,
)
from reachlink.coordination._pace_exchange import PaceExchange
from reachlink.coordination._quarantine_exchange import QuarantineExchange
from reachlink.coordination._queue_owner import QueueOwner
from reachlink.coordination._replica_list import listed_replicas, replica_list_digest
from reachlink.kernel import steady_time
from reachlink.membership import ReplicaDirectory
from reachlink.messaging import Bus, decode, encode
from reachlink.requests import (
    ListedReplica,
    PeerLoad,
    PlacementQuery,
    PlacementReply,
    Placer,
    ReplicaReport,
    ReplicaTracker,
    ReplicaUsage,
    sum_usages,
    with_aggregated_copies,
)
from reachlink.routing import Service
from reachlink.telemetry import get_logger
from reachlink.upstreams import Replica

# Time after the start until a coordinator decides, in seconds: every member and every other
# coordinator sends its load at least once a second.
READY_AFTER_S = 1.2
# Time after its last update until a member no longer counts as one, in seconds.
MEMBER_TIMEOUT_S = 3.0
# Time after a replica was found to be leaving for which members receive its report, in seconds.
LEAVING_REPORTED_S = 5.0


class ZoneReach(Protocol):
    """Reachability of the other zones from this instance."""

    @property
    def silent_zones(self) -> Set[str]:
        """Zones that this instance seems to be cut off from."""

    @property
    def cut_off(self) -> bool:
        """Whether this instance seems to be cut off from all other zones."""


class Coordinator:
    """Receives the updates of its members and replies to their placement queries.

    Parameters
    ----------
    name : str
        Name of this instance.
    bus : Bus
        Message bus on which the members' updates and queries arrive.
    tracker : ReplicaTracker
        Load and health of the replicas as seen by this instance.
    peer_load : PeerLoad
        Load of all other instances: the other coordinators with their members, and the
        members of this one.
    directory : ReplicaDirectory
        Replicas that exist.
    placer : Placer
        Chooses the replica for a request.
    services : callable
        Returns the services that are served by model engines.
    apply_reports : callable
        Called with the replica reports that a member has read.
    quarantine : QuarantineExchange
        Exchange of crashes between the instances.
    limits : LimitExchange
        Exchange of the rate limits that replicas advertise.
    paces : PaceExchange
        Exchange of the replicas' pace.
    reach : callable
        Returns which zones can be reached.
    random : random.Random
        Source of jitter.
    clock : callable
        Returns the monotonic time in seconds.
    queue_owner : QueueOwner, optional
        Owner of the queues of requests that find no room; None if requests are not queued.
    """

    def __init__(
        self,
        name: str,
        bus: Bus,
        tracker: ReplicaTracker,
        peer_load: PeerLoad,
        directory: ReplicaDirectory,
        placer: Placer,
        services: Callable[[], list[Service]],
        apply_reports: Callable[[Iterable[ReplicaReport]], None],
        quarantine: QuarantineExchange,
        limits: LimitExchange,
        paces: PaceExchange,
        reach: Callable[[], ZoneReach],
        random: Random,
        clock: Callable[[], float] = steady_time,
        queue_owner: QueueOwner | None = None,
    ) -> None:
        self._name = name
        self._queue_owner = queue_owner
        self._tracker = tracker
        self._peer_load = peer_load
        self._directory = directory
        self._placer = placer
        self._services = services
        self._apply_reports = apply_reports
        self._quarantine = quarantine
        self._limits = limits
        self._paces = paces
        self._reach = reach
        self._random = random
        self._clock = clock
        self._members: dict[str, float] = {}
        # Monotonic time in seconds at which this instance became a coordinator.
        self._coordinating_since: float | None = None
        self._news_event = asyncio.Event()
        self._log: Any = get_logger()
        bus.handle(CHANNEL_MEMBER, self._on_update)
        bus.handle(CHANNEL_PLACE, self._on_query)
        bus.handle(CHANNEL_QUEUE_LEFT, self._on_left)

    def set_coordinating(self, coordinates: bool) -> None:
        """Set whether this instance is a coordinator."""
        if not coordinates:
            self._coordinating_since = None
        elif self._coordinating_since is None:
            self._coordinating_since = self._clock()

    @property
    def ready(self) -> bool:
        """Whether this is a coordinator that has the replica list and the load of the others."""
        if self._coordinating_since is None or not self._directory.is_whole:
            return False
        return self._clock() - self._coordinating_since >= READY_AFTER_S

    @property
    def members(self) -> list[str]:
        """Names of the instances that follow this one."""
        oldest = self._clock() - MEMBER_TIMEOUT_S
        for name in [n for n, at in self._members.items() if at < oldest]:
            del self._members[name]
            self._peer_load.forget(name)
        return list(self._members)

    def add_member_usages(self, own: list[ReplicaUsage]) -> list[ReplicaUsage]:
        """Return the sum of this instance's load and its members', for other coordinators."""
        members = self.members
        if not members:
            return own
        found: dict[str, list[ReplicaUsage]] = {usage.replica: [usage] for usage in own}
        for name in members:
            for usage in self._peer_load.usages_of(name, self._clock()):
                found.setdefault(usage.replica, []).append(usage)
        return [sum_usages(usages) for usages in found.values()]

    def notify_members(self) -> None:
        """Send members a snapshot at once, as a replica is leaving or a zone is cut off."""
        self._news_event.set()
        self._news_event = asyncio.Event()
        if self._queue_owner is not None:
            self._queue_owner.wake()

    async def _on_update(self, sender: str, body: bytes) -> bytes:
        update = decode(body, MemberUpdate)
        self._apply_update(update)
        if update.wait_s <= 0.0:
            # One-way update about requests that have started or ended: no reply is expected.
            self._tracker.notify_listeners()
            return b""
        # A member whose update arrives just after the others were notified must not wait for
        # the next news, nor one that knows of crashes that are not known here.
        behind = self._quarantine.is_behind(update.load.quarantine)
        if not behind and not self._quarantine.has_news:
            await self._wait_for_news(update.wait_s)
        return encode(self._snapshot_for(update))

    async def _wait_for_news(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._news_event.wait()
        except TimeoutError:
            # No news in this time: the member gets a regular snapshot.
            return

    def _apply_update(self, update: MemberUpdate) -> None:
        now = self._clock()
        name = update.load.instance
        if name not in self._members:
            self._log.info("member_follows", member=name)
        self._members[name] = now
        self._peer_load.update(update.load, now)
        self._apply_reports(update.load.reports)
        self._quarantine.apply_update(update.load.quarantine)
        self._limits.apply_updates(update.load.limits)
        self._paces.apply_from_member(name, update.load.paces)
        for outcome in update.outcomes:
            self._tracker.record_outcome(outcome, now, self._random)
        if self._queue_owner is not None:
            self._queue_owner.wake()

    async def _on_query(self, sender: str, body: bytes) -> bytes:
        query = decode(body, PlacementQuery)
        # Without a replica list the reply would be that there is no room.
        forced = query.force_decision and self._directory.is_whole
        if not self.ready and not forced:
            return encode(PlacementReply(ready=False))
        if self._queue_owner is not None and self.ready and query.may_queue:
            return encode(await self._queue_owner.answer(query))
        return encode(PlacementReply(ready=True, replica=self._decide(query)))

    async def _on_left(self, sender: str, body: bytes) -> bytes:
        left = decode(body, QueueLeft)
        if self._queue_owner is not None:
            self._queue_owner.leave(left.service, left.request_id, left.instance_stops)
        return b""

    def _decide(self, query: PlacementQuery) -> ListedReplica | None:
        service = next((s for s in self._services() if s.name == query.service), None)
        if service is None:
            return None
        replica = self._placer.decide(service, query)
        if replica is None:
            return None
        now = self._clock()
        self._peer_load.add(query.instance, query.usage_at(replica.name), now)
        self._tracker.notify_listeners()
        return ListedReplica(
            replica.name, replica.upstream, replica.availability_zone, replica.address, False
        )

    def _snapshot_for(self, update: MemberUpdate) -> CoordinatorSnapshot:
        member = update.load.instance
        replicas = [r for s in self._services() for r in self._engine_replicas(s.name)]
        occupied = {usage.replica for usage in update.load.usages}
        included = [r for r in replicas if update.full or r.name in occupied]
        listed = listed_replicas(self._directory, self._clock())
        # Before this instance has read the list, a member may know more replicas than it.
        has_list = self._directory.is_whole
        digest = replica_list_digest(listed) if has_list else 0
        reach = self._reach()
        return CoordinatorSnapshot(
            coordinator=self._name,
            usages=self._usages_for(member, included, occupied),
            full=update.full,
            reports=self._reports(replicas, occupied),
            list_digest=digest,
            replica_list=listed if has_list and digest != update.list_digest else None,
            silent_zones=sorted(reach.silent_zones),
            cut_off=reach.cut_off,
            allowances=self._allowances(),
            cold_s={r.name: r.cold_s for r in listed if r.cold_s > 0.0},
            quarantine=self._quarantine.make_update(),
            limits=self._limits.updates(),
            paces=self._paces.updates_for_member(member, new=not update.list_digest),
        )

    def _engine_replicas(self, service: str) -> list[Replica]:
        """Return the replicas of a service, with those that have been leaving for a short time.

        Generations still run at replicas that are leaving.
        """
        since = self._clock() - LEAVING_REPORTED_S
        names = self._directory.leaving(service, since)
        leaving = [r for r in map(self._directory.find, names) if r is not None]
        staying = self._directory.staying(service)
        return staying + [r for r in leaving if r not in staying]

    def _usages_for(
        self, member: str, replicas: list[Replica], occupied: Set[str]
    ) -> list[ReplicaUsage]:
        """Return the load of all instances but one member at each replica."""
        now = self._clock()
        own = {usage.replica: usage for usage in self._tracker.usages(now)}
        found = []
        for replica in replicas:
            usage = self._peer_load.usage_at(replica.name, now, without=member)
            if replica.name in own:
                usage = sum_usages([usage, own[replica.name]])
            found.append(usage if replica.name in occupied else with_aggregated_copies(usage))
        return found

    def _reports(self, replicas: list[Replica], occupied: Set[str]) -> list[ReplicaReport]:
        now = self._clock()
        found = []
        for replica in replicas:
            leaves = not self._directory.stays(replica.name)
            if leaves or replica.name in occupied:
                report = self._tracker.state(replica.name).current_report(now)
                if report is not None:
                    found.append(report)
        return found

    def _allowances(self) -> dict[str, float]:
        now = self._clock()
        found = {
            r.name: self._tracker.state(r.name).health.allowance(now) for r in self._directory.all()
        }
        return {name: value for name, value in found.items() if value < 1.0}
