"""Coordinators and members in memory, with a simulated clock."""

import asyncio
from dataclasses import dataclass, field
from random import Random

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
from reachlink.membership import InstanceRecord, ListedInstance, ReplicaDirectory
from reachlink.messaging import CallTimeoutError, Handler
from reachlink.pacing import PacingTracker
from reachlink.quarantine import Quarantine
from reachlink.requests import (
    Allocation,
    PeerLoad,
    PlacementPurpose,
    PlacementQuery,
    Placer,
    ReplicaTracker,
    RunnerParts,
)
from reachlink.requests.tests.world import FakeAdapter
from reachlink.routing import EngineLimits, Service
from reachlink.scheduling import SchedulingSettings

SERVICE = Service("chat", "/health", 10, EngineLimits(24, 30_000, moves=True))
REPLICAS = [ListedInstance(f"r{i}", "chat", "a", f"r{i}:1") for i in (1, 2)]


@dataclass
class Network:
    """Delivers messages at once, except to and from instances that are silent."""

    now: float = 100.0
    handlers: dict[str, dict[str, Handler]] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    calls: list[tuple[str, str]] = field(default_factory=list)
    forgotten: list[str] = field(default_factory=list)


@dataclass
class AllZonesReachable:
    """A `ZoneReach` with all zones reachable."""

    silent_zones: frozenset[str] = frozenset()
    cut_off: bool = False


class FakeBus:
    """Message bus of one instance; its address is its name."""

    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name
        network.handlers[name] = {}

    def handle(self, channel: str, handler: Handler) -> None:
        self._network.handlers[self._name][channel] = handler

    async def call(self, address: str, channel: str, body: bytes, timeout_s: float) -> bytes:
        self._network.calls.append((address, channel))
        if address in self._network.silent:
            raise CallTimeoutError(f"{channel} at {address}")
        handled = asyncio.ensure_future(self._handled(address, channel, body))
        done, _ = await asyncio.wait({handled}, timeout=timeout_s)
        # A handler keeps running after its caller has timed out or was cut off.
        if not done or address in self._network.silent or self._name in self._network.silent:
            raise CallTimeoutError(f"{channel} at {address}")
        return handled.result()

    async def _handled(self, address: str, channel: str, body: bytes) -> bytes:
        return await self._network.handlers[address][channel](self._name, body) or b""

    def forget(self, address: str) -> None:
        self._network.forgotten.append(address)

    def send(self, address: str, channel: str, body: bytes) -> bool:
        if address in self._network.silent:
            return False
        handled = self._network.handlers[address][channel](self._name, body)
        asyncio.ensure_future(handled)
        return True


class Instance:
    """The parts of an entry instance that coordinate requests or follow a coordinator."""

    def __init__(
        self,
        network: Network,
        name: str,
        zone: str = "a",
        queues: bool = False,
        over_zones: bool = False,
    ) -> None:
        self.record = InstanceRecord(name, name, zone)
        self.network = network
        self.tracker = ReplicaTracker()
        self.peer_load = PeerLoad()
        self.directory = ReplicaDirectory()
        self.selector = CoordinatorSelector(name, zone)
        self.news: list[object] = []
        self.outcomes: list[str] = []
        bus = FakeBus(network, name)
        self.quarantine = Quarantine(Random(name))
        self.crash_news = QuarantineExchange(
            bus,  # type: ignore[arg-type]
            self.quarantine,
            Random(1),
            self.clock,
        )
        self.pacing = PacingTracker(Random(1))
        self.limits = LimitExchange(
            name,
            bus,  # type: ignore[arg-type]
            self.pacing.limits,
            self.directory,
            self.peer_load.last_heard,
            Random(1),
            clock=self.clock,
        )
        self.paces = PaceExchange(self.tracker.paces, self.directory, self.clock)
        self.member = Member(
            self.selector,
            name,
            bus,  # type: ignore[arg-type]
            self.tracker,
            self.peer_load,
            self.directory,
            self.news.extend,
            list,
            self.crash_news,
            self.limits,
            self.paces,
            self.outcomes.append,
            self.clock,
        )
        self.parts = RunnerParts(
            zone,
            FakeAdapter(),
            self.directory,
            self.tracker,
            self.peer_load,
            Random(1),
            lambda *outcome: None,
            ask_coordinator=self.member.ask,
            clock=self.clock,
            quarantine=self.quarantine,
            scheduling=SchedulingSettings(line=queues),
        )
        self.placer = Placer(self.parts)
        self.queue_outcomes: list[str] = []
        self.stopping = False
        self.queue_owner = self._make_queue_owner() if queues else None
        self.silent_zones: set[str] = set()
        self.over_zones = over_zones
        self.coordinator = Coordinator(
            name,
            bus,  # type: ignore[arg-type]
            self.tracker,
            self.peer_load,
            self.directory,
            self.placer,
            lambda: [SERVICE],
            self.news.extend,
            self.crash_news,
            self.limits,
            self.paces,
            AllZonesReachable,
            Random(1),
            self.clock,
            self.queue_owner,
        )
        if self.queue_owner is not None:
            self.member.use_queue(self._make_queue_client(bus, self.queue_owner))

    def _make_queue_owner(self) -> QueueOwner:
        return QueueOwner(
            self.record.name,
            self.placer,
            self.tracker,
            self.peer_load,
            self.directory,
            lambda: [SERVICE],
            lambda service, outcome: self.queue_outcomes.append(outcome),
            self.clock,
            is_stopping=lambda: self.stopping,
        )

    def _make_queue_client(self, bus: FakeBus, queue_owner: QueueOwner) -> QueueClient:
        return QueueClient(
            self.selector,
            self.record.name,
            bus,  # type: ignore[arg-type]
            queue_owner,
            lambda: self.coordinator.ready,
            self.outcomes.append,
            (lambda: self.silent_zones) if self.over_zones else None,
            self.clock,
            is_stopping=lambda: self.stopping,
        )

    def clock(self) -> float:
        return self.network.now

    def set_replica_list(self) -> None:
        self.directory.update(REPLICAS, self.network.now)

    def update_roster(self, *coordinators: "Instance") -> None:
        self.member.update_roster([c.record for c in coordinators])
        self.coordinator.set_coordinating(not self.selector.is_member)

    async def poll_coordinator(self) -> None:
        """Exchange one update and snapshot with the preferred coordinator."""
        coordinator = self.selector.by_preference(self.network.now)[0]
        await self.member._poll_once(coordinator)

    def start_request(self, replica: str, tokens: int = 9_000) -> Allocation:
        """Start a request at a replica."""
        flight = Allocation(f"{self.record.name}-{replica}", tokens, used_tokens=tokens)
        self.tracker.add(replica, flight)
        return flight


def make_fleet(
    coordinators: int = 2, members: int = 2, queues: bool = False
) -> tuple[Network, list[Instance], list[Instance]]:
    """Return a network, ready coordinators that know the replicas, and members."""
    network = Network()
    chosen = [Instance(network, f"c{i}", queues=queues) for i in range(1, coordinators + 1)]
    others = [Instance(network, f"m{i}", queues=queues) for i in range(1, members + 1)]
    for instance in chosen + others:
        instance.update_roster(*chosen)
    for coordinator in chosen:
        coordinator.set_replica_list()
    network.now += 10.0
    return network, chosen, others


def make_query(
    tokens: int = 9_000, purpose: PlacementPurpose = PlacementPurpose.REQUEST
) -> PlacementQuery:
    return PlacementQuery("", "id-1", "chat", purpose, tokens, prompt_tokens=3_000, zone="a")
