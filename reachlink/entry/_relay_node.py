"""The parts of a relaying entry instance and how they are joined."""

import asyncio
import contextlib
from collections.abc import Set
from random import Random

from reachlink.control import ControlClient
from reachlink.coordination import (
    Coordinator,
    CoordinatorSelector,
    LimitExchange,
    Member,
    PaceExchange,
    QuarantineExchange,
    QueueClient,
    QueueOwner,
)
from reachlink.entry._caller_connections import CallerConnections
from reachlink.entry._configured_node import ConfiguredNode
from reachlink.entry._connection_aborts import ConnectionAborts
from reachlink.entry._final_answers import FinalAnswers
from reachlink.entry._held_sight import HeldSight
from reachlink.entry._isolation import Isolation
from reachlink.entry._known_controls import KnownControls
from reachlink.entry._list_news import ListNews
from reachlink.entry._list_reader import ReadingRole
from reachlink.entry._load_teller import LoadTeller
from reachlink.entry._pace_log import PaceLog
from reachlink.entry._planned_stop import PlannedStop
from reachlink.entry._readers import CallerReaders
from reachlink.entry._relay_config import RelayConfig
from reachlink.entry._relay_metrics import RelayMetrics
from reachlink.entry._replica_reach import ReplicaReach
from reachlink.entry._report_reader import ReportReader
from reachlink.entry._request_ends import RequestEnds
from reachlink.entry._table_in_force import TableInForce
from reachlink.entry._zone_reach import ZoneReach
from reachlink.entry._zones_in_force import ZonesInForce
from reachlink.ingress import (
    MAX_PEER_MESSAGE_BYTES,
    IncomingBodies,
    caller_limits,
    peer_connections,
)
from reachlink.kernel import steady_time, stop_signalled_at
from reachlink.limits import BufferBudget
from reachlink.membership import InstanceRecord, ReplicaDirectory
from reachlink.messaging import Bus
from reachlink.quarantine import Fingerprinter, Quarantine
from reachlink.requests import (
    PeerLoad,
    PlacementDeciders,
    ReplicaTracker,
    ReplicaUsage,
    RequestRunner,
    RetryLimits,
    RunnerParts,
    ShutdownTimes,
)
from reachlink.routing import CallerLimits, RequestKind, RoutingIndex, Service
from reachlink.scheduling import PaceTracker
from reachlink.telemetry import get_logger
from reachlink.upstreams import RELAY_ADAPTERS, HttpClient


class RelayNode(ConfiguredNode[RelayConfig]):
    """State of one relaying entry instance.

    Parameters
    ----------
    config : RelayConfig
        Configuration of the process.
    """

    def __init__(self, config: RelayConfig) -> None:
        super().__init__(config)
        self.log = get_logger()
        self.bus = Bus(
            config.name,
            config.cluster_secret.encode(),
            max_connections=peer_connections(config.max_descriptors),
            max_message_bytes=MAX_PEER_MESSAGE_BYTES,
        )
        self.fingerprinter = Fingerprinter(config.cluster_secret.encode())
        self.control = ControlClient(self.bus, list(config.seeds))
        self.held = BufferBudget(config.scheduling.held_bytes)
        self.bodies = IncomingBodies(self.held)
        self.ingress_limits = caller_limits(config.memory_mb, config.max_descriptors)
        self.client = HttpClient(
            connect_timeout_s=config.connect_timeout_s,
            bounded=self.held.limited,
            name=config.name,
        )
        self.client.pacing.brittle.instances = self.sharing_instances
        self.client.pacing.brittle.slots_at = self._slots_at
        self.client.pacing.brittle.service_at = lambda address: self.directory.service_at(address)
        self.directory = ReplicaDirectory(
            unconfirmed_mark_s=config.leaving_mark_s, pacing=self.client.pacing
        )
        self.tracker = ReplicaTracker(PaceTracker(config.scheduling.pace))
        self.peer_load = PeerLoad()
        self.quarantine = Quarantine(Random(), config.crashes_to_hold, config.crashes_kept_s)
        self.crash_news = QuarantineExchange(self.bus, self.quarantine, Random())
        self.limits = LimitExchange(
            config.name,
            self.bus,
            self.client.pacing.limits,
            self.directory,
            self.peer_load.last_heard,
            Random(),
            lambda outcome: self.metrics.permits.add(1, {"outcome": outcome}),
        )
        self.tracker.paces.add_listener(PaceLog().note)
        self.paces = PaceExchange(self.tracker.paces, self.directory)
        self.client.gate = self.limits
        self.replica_reach = ReplicaReach(
            config.name,
            config.availability_zone,
            self.bus,
            config.bus_address,
            config.relay_port,
            self.client,
            self.directory,
            self.peer_load.last_heard,
            lambda role, outcome: self.metrics.count_relay(role, outcome),
            config.zone_regions,
        )
        self.client.recorder.on_limit_change = self._tell_at_once
        self._zones = ZonesInForce(self.directory, self.tracker, self.log)
        adapter = self.adapter = RELAY_ADAPTERS.get(config.upstream)(self.client)
        departures = self._departures = ShutdownTimes()
        self.reports = ReportReader(
            config.name,
            adapter,
            self.directory,
            self.tracker,
            self._engines,
            steady_time,
            departures,
            config.availability_zone,
        )
        self.listed = ListNews(self.directory, self._tell_at_once)
        self.selector = CoordinatorSelector(config.name, config.availability_zone)
        self.member = Member(
            self.selector,
            config.name,
            self.bus,
            self.tracker,
            self.peer_load,
            self.directory,
            self.reports.take,
            self.reports.news,
            self.crash_news,
            self.limits,
            self.paces,
            lambda outcome: self.metrics.questions.add(1, {"outcome": outcome}),
        )
        self._instances = 1
        self.teller = LoadTeller(
            config.name,
            self.bus,
            self.tracker,
            self._shares,
            self.peer_load,
            self.reports,
            self.listed,
            self.crash_news,
            self.limits,
            self.paces,
            steady_time,
        )
        self._isolation = Isolation(
            config.availability_zone, self.peer_load, self._zone_answered_at
        )
        self._reach = ZoneReach(
            config.availability_zone,
            self.selector,
            self.member,
            self._isolation,
            lambda: self.coordinator.notify_members(),
        )
        self._start_complete = asyncio.Event()
        self.not_ready_reason = "starting: no settings yet"
        self.planned_stop: PlannedStop | None = None
        # For requests that are still being decoded; the others are ended by the runner.
        self.final_answers = FinalAnswers(lambda: self.log, "request_undecoded")
        self.running_requests = 0
        self.metrics = RelayMetrics(config, self.bus.traffic)
        self.client.on_connect_failed = self.metrics.count_failed_connect
        self.metrics.export_paths(lambda: self.client.paths.lost_count)
        sight = HeldSight(
            self.held,
            lambda: self.metrics.bodies_refused.add(1),
            lambda: self.metrics.readers_closed.add(1),
            self.log,
        )
        self.held.on_pressure_change = sight.pressed
        self.on_body_refused = sight.refused
        self.readers = CallerReaders(self.held, sight.closed)
        self.connections = CallerConnections(
            lambda: self._caller_limits.idle_timeout_s, self.metrics.count_connection_closed
        )
        aborts = ConnectionAborts(self.metrics.count_aborted_connection, self.log)
        self.on_connection_aborted = aborts.note
        self._controls = KnownControls(self.control, config.availability_zone, config.seeds)
        self._table = TableInForce()
        self._runner = RequestRunner(
            RunnerParts(
                zone=config.availability_zone,
                adapter=adapter,
                directory=self.directory,
                tracker=self.tracker,
                peer_load=self.peer_load,
                random=Random(),
                on_outcome=RequestEnds(self.metrics, self._table).note,
                on_overlap=lambda: self.metrics.overlaps.add(1),
                retry_limits=RetryLimits(config.retry_share, config.retry_burst),
                instance_count=self.sharing_instances,
                on_leaving=self.reports.tell_leaving,
                on_gone=self.reports.tell_gone,
                cut_off=self._reach.cut_off,
                silent_zones=self._reach.silent_zones,
                shutdown_times=departures,
                ask_coordinator=self.member.ask,
                deciders=self.deciders,
                quarantine=self.quarantine,
                pacing=self.client.pacing,
                admit=self.client.admit,
                scheduling=config.scheduling,
            )
        )
        self.line = self._line_exchange()
        self.coordinator = Coordinator(
            config.name,
            self.bus,
            self.tracker,
            self.peer_load,
            self.directory,
            self._runner.placer,
            self._engine_services,
            self.reports.take,
            self.crash_news,
            self.limits,
            self.paces,
            self._reach.reach,
            Random(),
            queue_owner=self.line,
        )
        self._stand_in_line()
        self.reports.on_departure = self.coordinator.notify_members
        self.directory.set_restart_listener(self._on_started_again)
        self.quarantine.listen(self._tell_at_once)

    def _line_exchange(self) -> QueueOwner | None:
        """Return what keeps lines here, where the deployment asks for these."""
        if not self.config.scheduling.line:
            return None
        return QueueOwner(
            self.config.name,
            self._runner.placer,
            self.tracker,
            self.peer_load,
            self.directory,
            self._engine_services,
            self.metrics.count_in_line,
            is_stopping=lambda: self.draining,
        )

    def _stand_in_line(self) -> None:
        """Have requests stand in line, where the deployment asks for it."""
        line = self.line
        if line is None:
            return
        self.metrics.export_line(lambda: line.waiting_counts, lambda: line.oldest_wait_s)
        self.metrics.export_returns(lambda: line.caller_retry_counts)
        self.member.use_queue(
            QueueClient(
                self.selector,
                self.config.name,
                self.bus,
                line,
                lambda: self.coordinator.ready,
                lambda outcome: self.metrics.questions.add(1, {"outcome": outcome}),
                self._reach.silent_zones if self.config.scheduling.over_zones else None,
                is_stopping=lambda: self.draining,
            )
        )

    @property
    def ready(self) -> bool:
        """Whether the settings cover everything that was accepted before the start."""
        return self._start_complete.is_set()

    @ready.setter
    def ready(self, value: bool) -> None:
        assert value, "an instance that has become ready stays so"
        self._start_complete.set()

    @property
    def index(self) -> RoutingIndex | None:
        """The routing table that requests are decided by, or None before there is one.

        A table that came before this instance was ready may be older than what was in
        force here before the start.
        """
        return self._table.index if self.ready else None

    async def first_index(self, patience_s: float) -> RoutingIndex | None:
        """Return that table, waiting for the first one for some time.

        Parameters
        ----------
        patience_s : float
            Longest wait, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                await self._start_complete.wait()
                await self._table.wait_first()
        return self.index

    def head_timeout_s(self) -> float:
        """Return the longest time in seconds in which callers send a head."""
        return self._caller_limits.header_timeout_s

    def on_connection_closed(self, reason: str) -> None:
        """Note that a connection of a caller is closed to make room, or as it is too slow."""
        self.metrics.count_connection_closed(reason)

    @property
    def _caller_limits(self) -> CallerLimits:
        """Limits on requests that are in force."""
        index = self._table.index
        return CallerLimits() if index is None else index.table.limits

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self.planned_stop is not None

    @property
    def closing(self) -> bool:
        """Whether callers should come back on another connection, to another instance."""
        return self.draining or bool(self.unserved())

    def begin_drain(self) -> None:
        """A planned stop begins."""
        grace_s = self.config.stop_grace_s
        self.planned_stop = PlannedStop(stop_signalled_at(), grace_s)
        self.log.info("draining", running=self.running_requests, grace_s=grace_s)
        if self.planned_stop.answers_due_at is not None:
            self._runner.begin_stop(self.planned_stop.answers_due_at)
            self.final_answers.set_due(self.planned_stop.answers_due_at)

    def zones_in(self, regions: Set[str]) -> frozenset[str]:
        """Return the availability zones of some regions."""
        found = self.config.zone_regions.items()
        return frozenset(zone for zone, region in found if region in regions)

    def accepts(self, kind: RequestKind, deadline: float) -> bool:
        """Return whether a request may begin here: one that a stop would cut off may not.

        Parameters
        ----------
        kind : RequestKind
            Kind of the request; of no account where the end of the stop is known.
        deadline : float
            Monotonic time in seconds by which its final answer is given.
        """
        stop = self.planned_stop
        if stop is None:
            return True
        if stop.answers_due_at is not None:
            return stop.ends_after(deadline)
        if kind is RequestKind.STREAM:
            return False
        return steady_time() - stop.begun_at < self.config.last_requests_s

    @property
    def runner(self) -> RequestRunner:
        """Carries requests."""
        return self._runner

    @property
    def accepts_stale(self) -> bool:
        """Whether settings of a control instance without a leader will do at last."""
        return True

    def sharing_instances(self) -> int:
        """Return how many entry instances there are, this one included."""
        return self._instances

    def deciders(self) -> PlacementDeciders:
        """Return the instances that choose replicas."""
        coordinators = tuple(record.name for record in self.selector.coordinators)
        return PlacementDeciders(self.name, coordinators, self._instances)

    def list_readers(self) -> int:
        """Return how many instances read the platform's list by turns."""
        return max(1, len(self.selector.coordinators))

    def reading_role(self) -> ReadingRole:
        """Return whether this instance reads the platform's list itself."""
        if not self.selector.coordinators:
            return ReadingRole.UNKNOWN
        if not self.selector.is_member:
            return ReadingRole.READS
        return ReadingRole.TOLD if self.member.has_replica_list else ReadingRole.UNKNOWN

    def cut_off(self) -> bool:
        """Return whether this instance's zone is cut off from the others."""
        return self._reach.cut_off()

    def _slots_at(self, address: str) -> int:
        """Return how many requests a replica works on at once; 0 if unknown."""
        sample = self.tracker.state(self.directory.name_at(address)).sample
        return sample.slots if sample is not None else 0

    def _shares(self) -> list[ReplicaUsage]:
        """Return the requests of this instance and its members at model engines."""
        return self.coordinator.add_member_usages(self.tracker.usages(steady_time()))

    def _zone_answered_at(self, zone: str) -> float:
        """Return when a replica of a zone answered last, in monotonic seconds."""
        names = (r.name for r in self.directory.all() if r.availability_zone == zone)
        return max((self.tracker.state(name).answered_at for name in names), default=float("-inf"))

    def unserved(self) -> str:
        """Return a service that no replica in reach serves while the zone is cut off, or ``""``."""
        if self._table.index is None or not self.cut_off():
            return ""
        services = (service.name for service in self._table.services)
        return next((name for name in services if self._runner.is_service_unreachable(name)), "")

    def zone_peers(self) -> list[str]:
        """Return the addresses of the coordinators of this zone that are known."""
        others = [c for c in self.selector.coordinators if c.name != self.name]
        return [c.address for c in others if c.availability_zone == self.zone]

    def take_seeds(self, seeds: list[str]) -> None:
        """Take other addresses where control instances may be found."""
        self._controls.take_seeds(seeds)

    def on_controls(self, controls: list[InstanceRecord]) -> None:
        """Take the control instances that exist now, this zone's first."""
        self._controls.take(controls)

    def on_roster(self, coordinators: list[InstanceRecord], instances: int) -> None:
        """Take the entry instances that coordinate placement, and the number of all."""
        self._instances = max(1, instances)
        self.member.update_roster(coordinators)
        member = self.selector.is_member
        peers = [] if member else [c for c in coordinators if c.name != self.name]
        self.teller.take_peers(peers, coordinators)
        self.coordinator.set_coordinating(not member and bool(coordinators))
        self._isolation.take_peers(peers, steady_time())
        others = [c.address for c in coordinators if c.name != self.name]
        self.crash_news.set_peers(others, alone=self._instances <= 1)
        self.limits.update_roster(coordinators, self._instances)
        self.replica_reach.update_peers(coordinators)
        self._forget_the_gone()
        if coordinators:
            self.reports.take_readers(record.name for record in coordinators)

    def _forget_the_gone(self) -> None:
        """Keep memory bounded however many replicas and instances come and go.

        A replica that is replaced each 3 s leaves 28,800 states of some 1 KB a day.
        """
        self.tracker.forget_gone(self.directory.names)
        self.peer_load.forget_silent(steady_time())

    async def on_settings(self) -> None:
        """Put what the newer settings say in force."""
        self._zones.take(self.tree)
        await self._table.take(self.tree.routing)

    def _on_started_again(self, replica: str) -> None:
        """A replica has started again under its name: it holds and knows nothing of before."""
        self.log.info("upstream_started_again", replica=replica, born=self.directory.born(replica))
        self.tracker.reset_replica(replica)
        self._departures.forget(replica)
        self._runner.on_replica_restarted(replica)

    def on_resumed(self, suspended_s: float) -> None:
        """The machine was suspended for some time: what was known is that much older."""
        self.log.warning("machine_resumed", suspended_s=round(suspended_s, 3))
        self._runner.on_resumed()
        self.final_answers.on_resumed()
        self.tracker.notify_listeners()

    def _tell_at_once(self) -> None:
        """Something was learned that others must know before they send the next request."""
        self.tracker.notify_listeners()
        self.coordinator.notify_members()

    def _engines(self) -> list[str]:
        return [service.name for service in self._engine_services()]

    def _engine_services(self) -> list[Service]:
        return self._table.engines
