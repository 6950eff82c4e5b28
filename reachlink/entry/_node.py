"""The parts of an entry instance and how they are joined."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine, Sequence, Set
from random import Random
from typing import Any

from reachlink.control import ControlClient
from reachlink.coordination import LimitExchange, QuarantineExchange
from reachlink.delivery import Outcome, PositionCodec
from reachlink.entry._cancellation import Cancellation
from reachlink.entry._config import EntryConfig
from reachlink.entry._configured_node import ConfiguredNode
from reachlink.entry._digests import Digest, DigestBook, PlacementNote, ReplicaLoad
from reachlink.entry._dispatcher import Dispatcher, Ticket
from reachlink.entry._durations import RecentDurations
from reachlink.entry._entry_metrics import EntryMetrics
from reachlink.entry._final_answers import FinalAnswers
from reachlink.entry._guardians import (
    CarriedBook,
    CarriedGeneration,
    Wards,
    choose_guardian,
)
from reachlink.entry._held_sight import HeldSight
from reachlink.entry._ledger import Ledger
from reachlink.entry._planned_stop import PlannedStop
from reachlink.entry._replica_reach import ReplicaReach
from reachlink.entry.exceptions import RequestError, stopping_error
from reachlink.ingress import MAX_PEER_MESSAGE_BYTES, IncomingBodies, peer_connections
from reachlink.kernel import steady_time, stop_signalled_at
from reachlink.lengths import LengthEstimator
from reachlink.limits import BufferBudget, QuotaTracker, RetryBudget
from reachlink.membership import InstanceRecord, ReplicaDirectory
from reachlink.messaging import Bus, encode
from reachlink.pacing import Hold
from reachlink.placement import (
    POLICIES,
    Candidate,
    Decision,
    MemoryProfile,
    allowances,
)
from reachlink.quarantine import CrashGuard, Fingerprinter, Quarantine
from reachlink.settings import ServiceInfo
from reachlink.telemetry import get_logger
from reachlink.upstreams import ADAPTERS, HttpClient, Replica

EXPLAINED_DECISIONS = 2048
MAX_CANDIDATES = 8
MAX_FAR_CANDIDATES = 2
CHANNEL_PLACED = "placed"
CHANNEL_CARRIED = "carried"
CHANNEL_CRASHES = "crashes"
CHANNEL_LIMITS = "limits"


class EntryNode(ConfiguredNode[EntryConfig]):
    """State of one entry instance, shared by its HTTP handlers and background work.

    Parameters
    ----------
    config : EntryConfig
        Configuration of the process.
    """

    def __init__(self, config: EntryConfig) -> None:
        super().__init__(config)
        self.log = get_logger()
        self.random = Random()
        self.bus = Bus(
            config.name,
            config.cluster_secret.encode(),
            config.routes,
            peer_connections(config.max_descriptors),
            MAX_PEER_MESSAGE_BYTES,
        )
        self.control = ControlClient(self.bus, config.controls)
        self.held = BufferBudget(config.buffered_bytes)
        self.bodies = IncomingBodies(self.held)
        self.client = HttpClient(bounded=self.held.limited, name=config.name)
        self.client.pacing.brittle.instances = lambda: len(config.peers) + 1
        self.client.pacing.brittle.slots_at = self._slots_at
        self.client.pacing.brittle.service_at = lambda address: self.directory.service_at(address)
        self.directory = ReplicaDirectory(config.routes, pacing=self.client.pacing)
        self.cancellation = Cancellation(self.directory, self.client.pacing, self.log)
        self.lengths = LengthEstimator()
        self.ledger = Ledger(self.lengths)
        self.digests = DigestBook(config.availability_zone)
        self.quotas = QuotaTracker()
        self.carried = CarriedBook(config.name)
        self.wards = Wards()
        self.positions = PositionCodec(config.cluster_secret.encode())
        self.fingerprinter = Fingerprinter(config.cluster_secret.encode())
        self.quarantine = Quarantine(self.random, config.crashes_to_hold, config.crashes_kept_s)
        self.guard = CrashGuard(self.quarantine, self._touch)
        self.crash_news = QuarantineExchange(self.bus, self.quarantine, self.random)
        self.limits = LimitExchange(
            config.name,
            self.bus,
            self.client.pacing.limits,
            self.directory,
            self.digests.last_heard,
            self.random,
            lambda outcome: self.metrics.permits.add(1, {"outcome": outcome}),
        )
        self.client.gate = self.limits
        self.replica_reach = ReplicaReach(
            config.name,
            config.availability_zone,
            self.bus,
            config.bus_address,
            config.relay_port,
            self.client,
            self.directory,
            self.digests.last_heard,
            lambda role, outcome: self.metrics.count_relay(role, outcome),
        )
        self.client.recorder.on_limit_change = self._tell_limits
        records = [InstanceRecord(p.name, p.address, p.availability_zone) for p in config.peers]
        self.limits.update_roster([*records, self._record()], len(records) + 1)
        self.replica_reach.update_peers(records)
        self.directory.set_restart_listener(self._on_started_again)
        self.crash_news.set_peers([p.address for p in config.peers], alone=not config.peers)
        self.quarantine.listen(self._tell_crashes)
        self.metrics = EntryMetrics(config)
        self.metrics.export_held(lambda: len(self.quarantine.held(steady_time())))
        self.metrics.export_held_bytes(self.held)
        sight = HeldSight(
            self.held, lambda: self.metrics.bodies_refused.add(1), lambda: None, self.log
        )
        self.held.on_pressure_change = sight.pressed
        self.on_body_refused = sight.refused
        self.metrics.export_backoffs(lambda: self.client.pacing.backoffs.count(steady_time()))
        self.metrics.export_limits(self.client.pacing.limits.count)
        self.metrics.export_brittle(self.client.pacing.brittle.count)
        self.metrics.export_paths(lambda: self.client.paths.lost_count)
        self.client.on_connect_failed = self.metrics.count_failed_connect
        self.ready = False
        self.running_requests = 0
        self.not_ready_reason = "starting: no settings yet"
        self.planned_stop: PlannedStop | None = None
        self.durations = RecentDurations()
        self.final_answers = FinalAnswers(lambda: self.log)
        self.explained: OrderedDict[str, Decision] = OrderedDict()
        self.tasks: set[asyncio.Task[None]] = set()
        self._adapters: dict[str, Any] = {}
        self._dispatchers: dict[str, Dispatcher] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._others: dict[str, MemoryProfile] = {}
        self._split: dict[str, tuple[list[Replica], list[Replica], list[Replica]]] = {}

    @property
    def accepts_stale(self) -> bool:
        """Whether settings of a control instance without a leader will do at last."""
        return False

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self.planned_stop is not None

    def begin_drain(self) -> None:
        """A planned stop begins."""
        grace_s = self.config.stop_grace_s
        self.planned_stop = PlannedStop(stop_signalled_at(), grace_s)
        self.log.info("draining", running=self.running_requests, grace_s=grace_s)
        due_at = self.planned_stop.answers_due_at
        if due_at is not None:
            self.final_answers.set_due(due_at)
            for dispatcher in self._dispatchers.values():
                dispatcher.refuse(self._refuse_late)

    def can_end_in(self, longest_s: float) -> bool:
        """Return whether what takes some time in seconds ends before a planned stop does."""
        due_at = None if self.planned_stop is None else self.planned_stop.answers_due_at
        return due_at is None or steady_time() + longest_s <= due_at

    def check_end(self, longest_s: float) -> None:
        """Make sure that what has yet to begin ends before a planned stop does.

        Parameters
        ----------
        longest_s : float
            How long it takes, in seconds.

        Raises
        ------
        RequestError
            If it does not; it has not run.
        """
        if not self.can_end_in(longest_s):
            raise stopping_error(Outcome.NOT_RUN)

    def longest_s(self, ticket: Ticket) -> float:
        """Return how long a generation may take, in seconds."""
        # Nothing bounds it, and to be told that it may have run is the worst of all answers.
        return (
            float("inf") if ticket.only_whole_once else self.durations.longest_s(ticket.key.service)
        )

    def _refuse_late(self, ticket: Ticket) -> RequestError | None:
        late = not self.can_end_in(self.longest_s(ticket))
        return stopping_error(Outcome.NOT_RUN) if late else None

    def zone_peers(self) -> list[str]:
        """Return the addresses of the other entry instances of this zone."""
        return [p.address for p in self.config.peers if p.availability_zone == self.zone]

    def on_controls(self, controls: list[InstanceRecord]) -> None:
        """Control instances are told by the configuration here."""

    def on_roster(self, coordinators: list[InstanceRecord], instances: int) -> None:
        """Peers are told by the configuration here."""

    async def on_settings(self) -> None:
        """Newer settings are in force: what waits may have room now."""
        self.directory.set_zones_out_of_service(self.tree.zones_out_of_service, steady_time())
        self.pump()

    def adapter(self, name: str) -> Any:
        """Return the upstream adapter registered under a name."""
        if name not in self._adapters:
            self._adapters[name] = ADAPTERS.get(name)(self.client)
        return self._adapters[name]

    async def _touch(self, replica: Replica) -> None:
        """Make sure that a replica is there."""
        services = self.tree.services.values()
        service = next((s for s in services if s.upstream == replica.upstream), None)
        if service is not None:
            await self.adapter(service.adapter).touch(replica)

    def dispatcher(self, service: ServiceInfo) -> Dispatcher:
        """Return the queue of a service's upstream."""
        found = self._dispatchers.get(service.upstream)
        if found is None:
            upstream = service.upstream
            found = self._dispatchers[upstream] = Dispatcher(
                POLICIES.get(self.config.policy)(),
                self.candidate_source(upstream),
                self._reserve,
                self.random,
                steady_time,
                lambda ticket: self.hold(upstream, ticket.excluded),
            )
        return found

    def candidate_source(self, upstream: str) -> Callable[[Ticket], Sequence[Candidate]]:
        """Return what gives the replicas that a ticket may go to now."""
        return lambda ticket: self._candidates(upstream, ticket)

    def budget(self, upstream: str) -> RetryBudget:
        """Return the retry budget of an upstream."""
        return self._budgets.setdefault(upstream, RetryBudget())

    def pump(self) -> None:
        """Look through every queue."""
        for dispatcher in self._dispatchers.values():
            if dispatcher.waiting:
                dispatcher.pump()

    def take_digest(self, digest: Digest) -> None:
        """Take what another entry instance tells."""
        self.digests.take(digest, steady_time())
        self._others = self.digests.others_load()
        self.pump()

    def take_note(self, note: PlacementNote) -> None:
        """Take a placement that a peer tells of."""
        if self.digests.take_note(note):
            held = self._others.setdefault(note.load.replica, MemoryProfile())
            held.add(note.load.profile())

    def tell_guardian(self) -> None:
        """Tell another instance which generations are carried here."""
        alive = [(d.instance, d.availability_zone) for d in self.digests.digests()]
        guardian = choose_guardian(self.config.name, self.zone, alive)
        report = self.carried.report_to(guardian) if guardian else None
        if report is None:
            return
        for peer in self.config.peers:
            if peer.name == guardian:
                self.bus.send(peer.address, CHANNEL_CARRIED, encode(report))

    def hand_over(self) -> bool:
        """Leave what is carried here to the guardian; return whether there is one."""
        self.tell_guardian()
        return bool(self.digests.digests())

    def cancel_orphans(self, silent: list[str]) -> None:
        """Cancel, after the grace to reconnect, what silent wards carried."""
        for orphan in self.wards.orphans(silent):
            self.spawn(self._cancel_orphan(orphan))

    async def _cancel_orphan(self, orphan: CarriedGeneration) -> None:
        await asyncio.sleep(0.0 if self.draining else orphan.grace_s)
        replica = self.directory.find(orphan.replica)
        service = self.tree.services.get(orphan.service)
        if replica is None or service is None:
            return
        self.log.info("orphan_cancelled", generation=orphan.generation, replica=orphan.replica)
        await self.cancellation.run(self.adapter(service.adapter), replica, orphan.generation)

    def tell_peers(self, channel: str, body: bytes) -> None:
        """Send a one-way message to every other entry instance."""
        for peer in self.config.peers:
            self.bus.send(peer.address, channel, body)

    def _on_started_again(self, replica: str) -> None:
        """A replica has started again under its name: it holds and knows nothing of before."""
        self.ledger.start_again(replica)
        self.guard.on_replica_restarted(replica)
        self.log.info("upstream_started_again", replica=replica, born=self.directory.born(replica))

    def on_resumed(self, suspended_s: float) -> None:
        """The machine was suspended: requests that wait may be past their time."""
        self.log.warning("machine_resumed", suspended_s=round(suspended_s, 3))
        self.final_answers.on_resumed()
        self.pump()

    def _tell_crashes(self) -> None:
        """Tell the others at once: a digest a second is too late for the next try."""
        self.tell_peers(CHANNEL_CRASHES, encode(self.crash_news.make_update()))

    def _tell_limits(self) -> None:
        """Tell the others at once: until a digest they would send on as usual."""
        self.tell_peers(CHANNEL_LIMITS, encode(self.limits.updates()))

    def _slots_at(self, address: str) -> int:
        """Return how many requests an engine works on at once; 0 if unknown."""
        return self.ledger.replica(self.directory.name_at(address)).report.max_batch

    def _record(self) -> InstanceRecord:
        return InstanceRecord(self.name, self.address, self.zone)

    def drop_old_digests(self) -> list[str]:
        """Forget silent instances and return their names."""
        silent = self.digests.drop_old(steady_time())
        if silent:
            self._others = self.digests.others_load()
        return silent

    def digest(self) -> Digest:
        """Return what this instance tells the others."""
        now = steady_time()
        loads = [
            ReplicaLoad.of_profile(replica.name, self.ledger.own_profile(replica.name, now))
            for replica in self.directory.all()
            if self.ledger.replica(replica.name).in_flight
        ]
        demands = {key: round(value, 1) for key, value in self.quotas.demands(now).items()}
        return Digest(
            self.config.name,
            self.zone,
            self.tree.revision,
            self.ready,
            loads,
            demands,
            self.crash_news.make_update(),
            self.limits.updates(),
        )

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something in the background until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def explain(self, request_id: str, decision: Decision) -> None:
        """Remember a decision for operators, and log a sample."""
        self.explained[request_id] = decision
        if len(self.explained) > EXPLAINED_DECISIONS:
            self.explained.popitem(last=False)
        if self.random.random() < self.config.explain_sample:
            scores = " ".join(f"{n}:{share:.2f}:{ms:.0f}" for n, share, ms in decision.scores)
            self.log.info(
                "placed",
                request_id=request_id,
                replica=decision.replica,
                reason=decision.reason,
                scores=scores,
            )

    def _candidates(self, upstream: str, ticket: Ticket) -> Sequence[Candidate]:
        now = steady_time()
        every = self.admitted(upstream)
        live = [r for r in self._sampled(upstream, every) if self._fits(r, ticket)]
        if not live:
            live = [r for r in every if self._fits(r, ticket)][:MAX_CANDIDATES]
        healths = {r.name: self.ledger.replica(r.name).health for r in live}
        allowed = allowances(healths, now)
        return [
            self.ledger.candidate(
                replica,
                self.zone,
                self._others.get(replica.name),
                allowed[replica.name],
                ticket.blocks,
                now,
            )
            for replica in live
            if allowed[replica.name] > 0.0
        ]

    def admitted(self, upstream: str) -> list[Replica]:
        """Return the live replicas of an upstream that are not held back by their own word."""
        live = self.directory.live(upstream)
        if self.client.pacing.is_empty:
            return live
        now = steady_time()
        return [r for r in live if self.client.pacing.admits(r.address, now)]

    def hold(self, upstream: str, excluded: Set[str]) -> Hold | None:
        """Return why and until when all replicas of an upstream are held back.

        Parameters
        ----------
        upstream : str
            The upstream.
        excluded : set of str
            Replicas that are not to be used.

        Returns
        -------
        Hold or None
            None where there is no replica or one that is used as usual.
        """
        usable = [r.address for r in self.directory.live(upstream) if r.name not in excluded]
        return self.client.pacing.hold(usable, steady_time())

    def _sampled(self, upstream: str, live: list[Replica]) -> list[Replica]:
        """Return some replicas of many, this zone's for the most part.

        The best of a few random ones is nearly as good as the best of all
        (Mitzenmacher 2001), and a decision's cost stays bounded.
        """
        if len(live) <= MAX_CANDIDATES:
            return live
        near, far = self._near_and_far(upstream, live)
        room = MAX_CANDIDATES - min(len(far), MAX_FAR_CANDIDATES)
        chosen = self.random.sample(near, min(len(near), room))
        rest = MAX_CANDIDATES - len(chosen)
        return chosen + self.random.sample(far, min(len(far), rest))

    def _near_and_far(
        self, upstream: str, live: list[Replica]
    ) -> tuple[list[Replica], list[Replica]]:
        known, near, far = self._split.get(upstream, ([], [], []))
        if known is not live:
            near = [r for r in live if r.availability_zone == self.zone]
            far = [r for r in live if r.availability_zone != self.zone]
            self._split[upstream] = (live, near, far)
        return near, far

    def _reserve(self, ticket: Ticket, replica: str) -> None:
        ticket.flight = self.ledger.place(
            ticket.key, replica, ticket.request.prompt_tokens, ticket.max_tokens
        )
        load = ReplicaLoad.of_profile(replica, ticket.request.profile)
        self.tell_peers(CHANNEL_PLACED, encode(PlacementNote(self.config.name, load)))

    def _fits(self, replica: Replica, ticket: Ticket) -> bool:
        if replica.name in ticket.excluded:
            return False
        if not ticket.version:
            return True
        models = self.ledger.replica(replica.name).report.models
        return not models or ticket.version in models
