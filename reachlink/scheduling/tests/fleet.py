"""Simulation of engines of two speeds with slow phases, and placement by delayed reports."""

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from math import pi, sin
from random import Random

from reachlink.scheduling import ENGINE_SPEED, Begin, Need, Pace, ReplicaOption, best_start

CAPACITY_TOKENS, SLOTS, TOKENS_PER_EVENT = 26_900, 24, 4
FAST, SLOW, FAST_SHARE = 0.55, 1.2, 0.25
SLOW_FACTOR, SLOW_SHARE, SLOW_PHASE_S = 2.5, 0.15, 0.5
MAX_PAUSE_S, POLL_INTERVAL_S, MAX_WAIT_S, REPORT_INTERVAL_S = 0.18, 0.02, 0.4, 0.02
MOMENTARY_HALF_LIFE_S = 0.3
LOAD_AMPLITUDE, LOAD_PERIOD_S = 0.55, 15.0


@dataclass(frozen=True)
class RequestKind:
    """Kind of requests: rate per second, sizes in tokens, and target of the first event."""

    name: str
    rate: float
    prompt: int
    output: int
    objective_s: float


LONG_ANSWER = RequestKind("draft", 13.6, 3079, 748, 1.8)
SHORT_ANSWER = RequestKind("check", 15.3, 2550, 8, 1.5)


@dataclass(eq=False)
class SimulatedRequest:
    """Request with its needs and its progress, in simulated time."""

    kind: RequestKind
    arrived: float
    unread_tokens: int
    expected_output: int
    replica: int = -1
    generated: int = 0
    last_event: float = 0.0
    in_time: bool = True

    @property
    def need(self) -> Need:
        return Need(
            tokens=self.kind.prompt + self.expected_output,
            prompt_tokens=self.kind.prompt,
            max_pause_s=MAX_PAUSE_S,
        )


@dataclass(eq=False)
class Engine:
    """Replica that processes one chunk of a prompt in each decoding step."""

    name: str
    zone: int
    steady: float
    phase_changes: list[float]
    reported_pace: float = 0.0
    requests: list[SimulatedRequest] = field(default_factory=list)
    busy: bool = False

    def momentary_factor(self, now: float) -> float:
        return SLOW_FACTOR if bisect_right(self.phase_changes, now) % 2 else 1.0

    def option(self, now: float) -> ReplicaOption:
        tokens = sum(s.kind.prompt + max(s.expected_output, s.generated) for s in self.requests)
        used = sum(s.kind.prompt + s.generated for s in self.requests)
        pace = Pace(
            self.reported_pace or self.steady, self.momentary_factor(now), SLOW_FACTOR, SLOW_SHARE
        )
        unread_tokens = sum(s.unread_tokens for s in self.requests)
        return ReplicaOption(
            self.name,
            same_zone=True,
            running=len(self.requests),
            slots=SLOTS,
            tokens=tokens,
            unread_tokens=unread_tokens,
            capacity_tokens=CAPACITY_TOKENS,
            used_tokens=used,
            pace=pace,
            tokens_per_event=TOKENS_PER_EVENT,
        )

    def step_s(self, now: float) -> float:
        reading = any(s.unread_tokens for s in self.requests)
        work_s = ENGINE_SPEED.step_base_s + ENGINE_SPEED.step_sequence_s * len(self.requests)
        work_s += ENGINE_SPEED.prefill_chunk_tokens * ENGINE_SPEED.prefill_token_s * reading
        return work_s * self.steady * self.momentary_factor(now)

    def end_step(self, now: float) -> None:
        reader = next((s for s in self.requests if s.unread_tokens), None)
        for request in [s for s in self.requests if not s.unread_tokens]:
            request.generated += 1
            if (
                request.generated % TOKENS_PER_EVENT == 1
                or request.generated == request.kind.output
            ):
                first = request.generated == 1
                since = request.arrived if first else request.last_event
                bound_s = request.kind.objective_s if first else MAX_PAUSE_S
                request.in_time &= now - since <= bound_s
                request.last_event = now
        if reader is not None:
            reader.unread_tokens = max(0, reader.unread_tokens - ENGINE_SPEED.prefill_chunk_tokens)
        self.requests = [s for s in self.requests if s.generated < s.kind.output]


Strategy = Callable[[list[ReplicaOption], Need, Random], str | None]


@dataclass
class FleetSimulation:
    """Simulation of engines, callers with a periodic load, and instances that place requests.

    Each of `instances` instances decides by itself, by reports of the engines that are
    `report_age_s` seconds old and by the requests that it has sent since.
    """

    strategy: Strategy
    instances: int
    report_age_s: float
    seed: int
    engines: int = 28
    zones: int = 3
    length_s: float = 30.0
    load: float = 1.0
    reported_paces: dict[int, float] = field(default_factory=dict)
    requests: list[SimulatedRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._engines = [self._engine(n) for n in range(self.engines)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._reports: list[list[ReplicaOption]] = []
        self._sent: list[list[tuple[float, SimulatedRequest]]] = [[] for _ in range(self.instances)]

    def run(self) -> "FleetSimulation":
        self._schedule(0.0, self._take_reports)
        for kind in (LONG_ANSWER, SHORT_ANSWER):
            for zone in range(self.zones):
                self._next_arrival(kind, zone, 0.0)
        while self._events:
            now, _, event = heappop(self._events)
            event(now)
        return self

    def share_in_time(self, kind: RequestKind) -> float:
        """Return the share of the requests of a kind that were in time."""
        of_kind = [s for s in self.requests if s.kind is kind]
        return sum(s.in_time for s in of_kind) / len(of_kind)

    def share_of(self, engine: int) -> float:
        """Return the share of all requests that a replica got."""
        return sum(s.replica == engine for s in self.requests) / len(self.requests)

    def _engine(self, number: int) -> Engine:
        phase_changes, at = [], 0.0
        while at < 2 * self.length_s:
            at += self._random.expovariate(SLOW_SHARE / (1 - SLOW_SHARE) / SLOW_PHASE_S)
            phase_changes += [at, at + SLOW_PHASE_S]
            at += SLOW_PHASE_S
        fast = number < FAST_SHARE * self.engines
        steady = FAST if fast else SLOW
        return Engine(
            str(number),
            number % self.zones,
            steady,
            phase_changes,
            self.reported_paces.get(number, 0.0),
        )

    def _schedule(self, when: float, event: Callable[[float], None]) -> None:
        heappush(self._events, (when, self._random.getrandbits(60), event))

    def _take_reports(self, now: float) -> None:
        self._reports.append([e.option(now) for e in self._engines])
        if now < self.length_s + MAX_WAIT_S:
            self._schedule(now + REPORT_INTERVAL_S, self._take_reports)

    def _next_arrival(self, kind: RequestKind, zone: int, now: float) -> None:
        most = kind.rate * self.load * (1.0 + LOAD_AMPLITUDE) / self.zones
        while now < self.length_s:
            now += self._random.expovariate(most)
            load = 1.0 + LOAD_AMPLITUDE * sin(2.0 * pi * now / LOAD_PERIOD_S)
            if self._random.random() * (1.0 + LOAD_AMPLITUDE) < load and now < self.length_s:
                self._schedule(now, lambda at: self._arrive(kind, zone, at))
                return

    def _arrive(self, kind: RequestKind, zone: int, now: float) -> None:
        expected_output = round(kind.output * self._random.lognormvariate(0.0, 0.4))
        request = SimulatedRequest(kind, now, kind.prompt, expected_output)
        self.requests.append(request)
        self._try_to_place(request, self._random.randrange(self.instances), zone, now)
        self._next_arrival(kind, zone, now)

    def _try_to_place(
        self, request: SimulatedRequest, instance: int, zone: int, now: float
    ) -> None:
        left_s = request.arrived + request.kind.objective_s - now
        need = with_time_left(request.need, left_s)
        name = self.strategy(self._known_options(instance, zone, now), need, self._random)
        if name is not None:
            self._send(request, self._engines[int(name)], instance, now)
        elif now < request.arrived + MAX_WAIT_S:
            self._schedule(
                now + POLL_INTERVAL_S, lambda at: self._try_to_place(request, instance, zone, at)
            )
        else:
            request.in_time = False

    def _known_options(self, instance: int, zone: int, now: float) -> list[ReplicaOption]:
        """Return what an instance knows: old reports, and the requests that it sent since."""
        then = max(0.0, now - self.report_age_s)
        options = list(self._reports[min(int(then / REPORT_INTERVAL_S), len(self._reports) - 1)])
        sent = self._sent[instance] = [s for s in self._sent[instance] if s[0] >= then]
        for _, request in sent:
            options[request.replica] = with_sent(options[request.replica], request)
        return [
            replace(o, same_zone=e.zone == zone, pace=decayed(o.pace or Pace(), now - then))
            for o, e in zip(options, self._engines, strict=True)
        ]

    def _send(self, request: SimulatedRequest, engine: Engine, instance: int, now: float) -> None:
        request.replica = int(engine.name)
        self._sent[instance].append((now, request))
        engine.requests.append(request)
        if not engine.busy:
            self._work(engine, now)

    def _work(self, engine: Engine, now: float) -> None:
        engine.busy = bool(engine.requests)
        if engine.busy:
            self._schedule(now + engine.step_s(now), lambda at: self._end_step(engine, at))

    def _end_step(self, engine: Engine, now: float) -> None:
        engine.end_step(now)
        self._work(engine, now)


def decayed(pace: Pace, age_s: float) -> Pace:
    """Return the estimate of a pace that was observed some seconds ago."""
    momentary = 1.0 + (pace.momentary - 1.0) * 0.5 ** (age_s / MOMENTARY_HALF_LIFE_S)
    return replace(pace, momentary=momentary, age_s=age_s)


def with_time_left(need: Need, left_s: float) -> Need:
    """Return the need with the time until its first event is late, in seconds."""
    return Need(need.tokens, need.prompt_tokens, left_s, max_pause_s=need.max_pause_s)


def with_sent(option: ReplicaOption, request: SimulatedRequest) -> ReplicaOption:
    """Return the state of a replica with one more request that was sent there."""
    need = request.need
    return replace(
        option,
        running=option.running + 1,
        tokens=option.tokens + need.tokens,
        used_tokens=option.used_tokens + need.prompt_tokens,
        unread_tokens=option.unread_tokens + need.prompt_tokens,
    )


def by_time(options: list[ReplicaOption], need: Need, random: Random) -> str | None:
    """Place by the expected times, as `best_start` does."""
    start = best_start(options, need, random)
    return start.replica if isinstance(start, Begin) else None


def as_it_stands(options: list[ReplicaOption], need: Need, random: Random) -> str | None:
    """Place as `best_start` does without any estimate of pace, by memory and counts alone."""
    return by_time([replace(o, pace=None) for o in options], need, random)


def two_choices(options: list[ReplicaOption], need: Need, random: Random) -> str | None:
    """Place by power of two choices: the one of two random replicas with less load by pace."""
    room = [o for o in options if o.tokens + need.tokens <= 1.05 * o.capacity_tokens]
    drawn = random.sample(room, min(2, len(room)))
    return min(drawn, key=_load_by_pace).name if drawn else None


def _load_by_pace(option: ReplicaOption) -> float:
    pace = option.pace or Pace()
    return (option.running + 1) * pace.steady * pace.momentary
