"""Simulation of an overloaded fleet, and strategies to share its capacity among requests."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Protocol

from reachlink.scheduling import (
    QUEUED_RULES,
    Begin,
    Need,
    PlacementRules,
    RefusalReason,
    ReplicaOption,
    RequestQueue,
    Wait,
    best_start,
    choose_replica,
    expected_wait_s,
)

REPLICAS, CAPACITY_TOKENS, SLOTS = 8, 26_900, 24
PREFILL_TOKEN_S = 1.0 / 14_000.0
TOKENS_PER_S = 100.0
TICK_S = 0.02
LENGTH_S, WARM_UP_S = 45.0, 10.0
# Share of its target for which a polling request without capacity looks for it in each tick.
POLL_TIME_SHARE = 0.22


@dataclass(frozen=True)
class RequestKind:
    """Kind of requests: sizes in tokens, log-normal spread of the output, times in seconds."""

    name: str
    prompt_tokens: int
    output_tokens: float
    spread: float
    target_s: float
    deadline_s: float
    priority: int
    # Share of the demand for memory over time that is of this kind.
    load_share: float

    @property
    def hold_s(self) -> float:
        """Approximate time for which a request holds memory, in seconds."""
        return self.prompt_tokens * PREFILL_TOKEN_S * 2.0 + self.output_tokens / TOKENS_PER_S


SHORT_ANSWER = RequestKind("verdict", 2_550, 8.0, 0.0, 1.5, 6.0, 3, load_share=0.06)
LONG_ANSWER = RequestKind("summary", 3_080, 748.0, 0.3, 4.0, 39.0, 5, load_share=0.94)
KINDS = (SHORT_ANSWER, LONG_ANSWER)


@dataclass(eq=False)
class SimulatedRequest:
    """Request of a caller and its progress; times in simulated seconds."""

    number: int
    kind: RequestKind
    workspace: str
    output: int
    expected_output: int
    arrived_at: float
    may_retry: bool = True
    first_event_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None
    generated: float = 0.0
    preempted: bool = False

    @property
    def name(self) -> str:
        return str(self.number)

    @property
    def tokens(self) -> int:
        return self.kind.prompt_tokens + self.expected_output

    def need(self, now: float) -> Need:
        return Need(
            tokens=self.tokens,
            prompt_tokens=self.kind.prompt_tokens,
            first_event_due_in_s=self.arrived_at + self.kind.target_s - now,
            give_up_in_s=self.arrived_at + self.kind.deadline_s - now,
            priority=self.kind.priority,
            workspace=self.workspace,
            waited_s=now - self.arrived_at,
        )

    @property
    def completed(self) -> bool:
        return self.ended_at is not None and self.ended_at <= self.arrived_at + self.kind.deadline_s

    @property
    def in_time(self) -> bool:
        first = self.first_event_at if self.first_event_at is not None else float("inf")
        return (
            self.completed and not self.preempted and first <= self.arrived_at + self.kind.target_s
        )


@dataclass
class Engine:
    """Replica that processes prompts one after the other and decodes all requests at once.

    Requests without memory and preempted requests wait in its own queue.
    """

    queue: deque[SimulatedRequest] = field(default_factory=deque)
    prefilling: deque[tuple[SimulatedRequest, float]] = field(default_factory=deque)
    running: list[SimulatedRequest] = field(default_factory=list)
    reprocessed_tokens: float = 0.0

    @property
    def all_requests(self) -> list[SimulatedRequest]:
        return [*self.queue, *self.in_memory]

    @property
    def in_memory(self) -> list[SimulatedRequest]:
        return [request for request, _ in self.prefilling] + self.running

    @property
    def used_tokens(self) -> float:
        return sum(a.kind.prompt_tokens + a.generated for a in self.in_memory)

    def option(self, name: str) -> ReplicaOption:
        there = self.all_requests
        promised = sum(a.kind.prompt_tokens + max(a.expected_output, a.generated) for a in there)
        return ReplicaOption(
            name,
            same_zone=True,
            running=len(there),
            slots=SLOTS,
            tokens=round(promised),
            used_tokens=round(self.used_tokens),
            unread_tokens=round(
                sum(left for _, left in self.prefilling)
                + sum(a.kind.prompt_tokens + a.generated for a in self.queue)
            ),
            capacity_tokens=CAPACITY_TOKENS,
        )

    def start(self, request: SimulatedRequest) -> None:
        self.queue.append(request)

    def _admit(self) -> None:
        while self.queue:
            tokens = self.queue[0].kind.prompt_tokens + self.queue[0].generated
            if self.used_tokens + tokens > CAPACITY_TOKENS:
                return
            # Output from before a preemption is processed again, like a prompt.
            self.prefilling.append((self.queue.popleft(), tokens))

    def step(self, now: float) -> int:
        """Work for a tick, and return the number of preemptions."""
        self._admit()
        prefill_budget = TICK_S / PREFILL_TOKEN_S
        while self.prefilling and prefill_budget > 0.0:
            request, left = self.prefilling.popleft()
            if left > prefill_budget:
                self.prefilling.appendleft((request, left - prefill_budget))
                break
            prefill_budget -= left
            request.first_event_at = request.first_event_at or now
            self.running.append(request)
        for request in self.running:
            request.generated += TOKENS_PER_S * TICK_S
            if request.generated >= request.output:
                request.ended_at = now
        self.running = [a for a in self.running if a.ended_at is None]
        preempted = 0
        while self.running and self.used_tokens > CAPACITY_TOKENS:
            newest = min(self.running, key=lambda a: a.generated)
            newest.preempted = True
            self.running.remove(newest)
            self.queue.appendleft(newest)
            self.reprocessed_tokens += newest.kind.prompt_tokens + newest.generated
            preempted += 1
        return preempted


class Strategy(Protocol):
    """Strategy by which requests share the capacity."""

    def arrive(self, request: SimulatedRequest, simulation: "OverloadSimulation") -> None:
        """Take a request that arrives, or retries."""

    def serve(self, simulation: "OverloadSimulation") -> None:
        """Start the requests that may start now, and refuse those that may not wait longer."""


@dataclass
class OverloadSimulation:
    """Simulation of a fleet whose load is a multiple of its capacity."""

    strategy: Strategy
    load_factor: float
    seed: int
    # Share of all requests that come from one of the workspaces.
    large_share: float = 1.0 / 12.0
    workspaces: int = 12
    kinds: tuple[RequestKind, ...] = KINDS
    now: float = 0.0
    requests: list[SimulatedRequest] = field(default_factory=list)
    engines: list[Engine] = field(default_factory=lambda: [Engine() for _ in range(REPLICAS)])
    retries: list[tuple[float, SimulatedRequest]] = field(default_factory=list)
    preemptions: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        # States of the engines, cached within a tick.
        self._options: dict[int, ReplicaOption] = {}

    def run(self) -> "OverloadSimulation":
        for tick in range(int(LENGTH_S / TICK_S)):
            self.now = tick * TICK_S
            self._arrive()
            self.strategy.serve(self)
            self.preemptions += sum(engine.step(self.now) for engine in self.engines)
            self._options.clear()
        return self

    def options(self) -> list[ReplicaOption]:
        for number, engine in enumerate(self.engines):
            if number not in self._options:
                self._options[number] = engine.option(str(number))
        return list(self._options.values())

    def start(self, request: SimulatedRequest, replica: str) -> None:
        self.engines[int(replica)].start(request)
        del self._options[int(replica)]

    def refuse(self, request: SimulatedRequest, retry_after_s: float) -> None:
        request.refused_at = self.now
        back_at = self.now + max(0.1, retry_after_s)
        if request.may_retry and back_at < request.arrived_at + request.kind.deadline_s:
            request.may_retry = False
            self.retries.append((back_at, request))

    def _arrive(self) -> None:
        for kind in self.kinds:
            memory = kind.prompt_tokens + kind.output_tokens
            per_s = (
                kind.load_share
                * self.load_factor
                * REPLICAS
                * CAPACITY_TOKENS
                / memory
                / kind.hold_s
            )
            while self.random.random() < per_s * TICK_S / (1.0 + per_s * TICK_S):
                request = self._new(kind)
                self.requests.append(request)
                self.strategy.arrive(request, self)
        due = [request for at, request in self.retries if at <= self.now]
        self.retries = [(at, request) for at, request in self.retries if at > self.now]
        for request in due:
            self.strategy.arrive(request, self)

    def _new(self, kind: RequestKind) -> SimulatedRequest:
        output = max(1, round(kind.output_tokens * self.random.lognormvariate(0.0, kind.spread)))
        expected_output = max(1, round(output * self.random.lognormvariate(0.0, kind.spread)))
        large = self.random.random() < self.large_share
        other = f"w{self.random.randrange(1, self.workspaces)}"
        workspace = "large" if large else other
        return SimulatedRequest(
            len(self.requests), kind, workspace, output, expected_output, self.now
        )

    def measured(self) -> list[SimulatedRequest]:
        """Return the requests after the warm-up whose time was over at the end."""
        return [
            a
            for a in self.requests
            if a.arrived_at >= WARM_UP_S and a.arrived_at + min(12.0, a.kind.deadline_s) <= LENGTH_S
        ]

    def share_of(
        self,
        matches: Callable[[SimulatedRequest], bool],
        selected: Callable[[SimulatedRequest], bool],
    ) -> float:
        found = [matches(a) for a in self.measured() if selected(a)]
        return sum(found) / max(1, len(found))


@dataclass
class PollingStrategy:
    """Requests poll for capacity in each tick for a share of their target, in random order."""

    waiting: list[SimulatedRequest] = field(default_factory=list)
    waiting_since: dict[int, float] = field(default_factory=dict)

    def arrive(self, request: SimulatedRequest, simulation: OverloadSimulation) -> None:
        self.waiting.append(request)
        self.waiting_since[request.number] = simulation.now

    def serve(self, simulation: OverloadSimulation) -> None:
        simulation.random.shuffle(self.waiting)
        left = []
        for request in self.waiting:
            name = choose_replica(simulation.options(), request.tokens, simulation.random)
            if name is not None:
                simulation.start(request, name)
            elif (
                simulation.now - self.waiting_since[request.number]
                > POLL_TIME_SHARE * request.kind.target_s
            ):
                simulation.refuse(request, 0.1)
            else:
                left.append(request)
        self.waiting = left


@dataclass
class FirstComeFirstServed:
    """One queue by age, whose first request blocks the others until there is capacity for it."""

    # Whether a request that is not expected to start by its target is refused on arrival.
    refuses_early: bool = False
    waiting: deque[SimulatedRequest] = field(default_factory=deque)
    starts: deque[tuple[float, int]] = field(default_factory=deque)

    def arrive(self, request: SimulatedRequest, simulation: OverloadSimulation) -> None:
        wait_s = self._expected_s(request, simulation.now)
        if (
            self.refuses_early
            and wait_s > request.arrived_at + request.kind.target_s - simulation.now
        ):
            simulation.refuse(request, wait_s)
        else:
            self.waiting.append(request)

    def _expected_s(self, request: SimulatedRequest, now: float) -> float:
        while self.starts and self.starts[0][0] < now - 4.0:
            self.starts.popleft()
        rate = sum(tokens for _, tokens in self.starts) / 4.0
        ahead = sum(a.tokens for a in self.waiting)
        return ahead / rate if ahead and rate else 0.0

    def serve(self, simulation: OverloadSimulation) -> None:
        while self.waiting:
            request = self.waiting[0]
            name = choose_replica(simulation.options(), request.tokens, simulation.random)
            over = (
                simulation.now > request.arrived_at + request.kind.deadline_s - request.kind.hold_s
            )
            if name is None and not over:
                return
            self.waiting.popleft()
            if over or name is None:
                simulation.refuse(request, 0.1)
            else:
                self.starts.append((simulation.now, request.tokens))
                simulation.start(request, name)


@dataclass
class QueueStrategy:
    """`RequestQueue`, used as its owner uses it."""

    rules: PlacementRules = QUEUED_RULES
    # Whether requests of a workspace over its share are refused first.
    by_shares: bool = True
    queue: RequestQueue = field(default_factory=RequestQueue)
    waiting: dict[str, SimulatedRequest] = field(default_factory=dict)
    # Number of refusals on arrival by reason, workspace, and whether a replica had capacity.
    refused: Counter[tuple[RefusalReason, str, bool]] = field(default_factory=Counter)
    comparisons: int = 0

    def arrive(self, request: SimulatedRequest, simulation: OverloadSimulation) -> None:
        now = simulation.now
        if not len(self.queue):
            name = choose_replica(
                simulation.options(), request.tokens, simulation.random, self.rules
            )
            if name is not None:
                self.queue.record_immediate_start(request.need(now), now)
                simulation.start(request, name)
                return
        waiting = self.queue.join(request.name, "e1", request.need(now), now, 1e9)
        self.waiting[request.name] = request
        shed = self.queue.shed(now)
        if shed is not None:
            state = self.queue.state_ahead_of(shed, now)
            simulation.refuse(self.waiting.pop(shed.request_id), expected_wait_s(shed.need, state))
        if shed is waiting:
            return
        state = self.queue.state_ahead_of(waiting, now)
        if not self.by_shares:
            state = replace(state, over_share=False)
        start = best_start(
            simulation.options(), waiting.need_at(now), simulation.random, state, self.rules
        )
        if not isinstance(start, Wait | Begin):
            self.queue.leave(request.name, now)
            free = (
                choose_replica(simulation.options(), request.tokens, simulation.random, self.rules)
                is not None
            )
            self.refused[start.reason, request.workspace, free] += 1
            simulation.refuse(self.waiting.pop(request.name), start.retry_after_s)

    def serve(self, simulation: OverloadSimulation) -> None:
        for waiting in self.queue.expire(simulation.now):
            simulation.refuse(self.waiting.pop(waiting.request_id), 0.1)
        while self._grant_next(simulation):
            continue

    def _grant_next(self, simulation: OverloadSimulation) -> bool:
        options = simulation.options()
        overtaken = None
        least = float("inf")
        for waiting in self.queue.order(simulation.now):
            name = None
            if waiting.need.tokens < least:
                self.comparisons += 1
                name = choose_replica(options, waiting.need.tokens, simulation.random, self.rules)
            if name is not None:
                if overtaken is not None:
                    overtaken.record_overtaken(simulation.now)
                self.queue.grant(waiting.request_id, simulation.now)
                simulation.start(self.waiting.pop(waiting.request_id), name)
                return True
            least = min(least, waiting.need.tokens)
            if overtaken is None:
                overtaken = waiting
                if overtaken.reserves_room(simulation.now):
                    return False
        return False


@dataclass
class ZoneQueuesStrategy:
    """Zones with different shares of the load: one queue over all zones, or one per zone."""

    load: tuple[float, ...]
    over_zones: bool
    zones: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(5)
        self.queues = [QueueStrategy() for _ in range(1 if self.over_zones else len(self.load))]

    def arrive(self, request: SimulatedRequest, simulation: OverloadSimulation) -> None:
        zone = self.zones.get(request.number)
        if zone is None:
            zone = self.random.choices(range(len(self.load)), self.load)[0]
            self.zones[request.number] = zone
        self.queues[0 if self.over_zones else zone].arrive(request, simulation)

    def serve(self, simulation: OverloadSimulation) -> None:
        for queue in self.random.sample(self.queues, len(self.queues)):
            queue.serve(simulation)
