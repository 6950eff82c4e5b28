"""Engines of two speeds with bad moments, and who places requests on them by old news."""

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from math import pi, sin
from random import Random

from reachlink.scheduling import ENGINE_SPEED, Begin, Need, Pace, ReplicaOption, best_start

CAPACITY_TOKENS, SLOTS, TOKENS_PER_EVENT = 26_900, 24, 4
QUICK, SLOW, QUICK_SHARE = 0.55, 1.2, 0.25
WORST, BAD_SHARE, BAD_S = 2.5, 0.15, 0.5
PAUSE_S, LOOK_S, PATIENCE_S, NEWS_S = 0.18, 0.02, 0.4, 0.02
HALF_LIFE_S = 0.3
WAVE, WAVE_S = 0.55, 15.0


@dataclass(frozen=True)
class Kind:
    """A kind of requests: rate a second, sizes in tokens, and when its first event is late."""

    name: str
    rate: float
    prompt: int
    output: int
    objective_s: float


DRAFT = Kind("draft", 13.6, 3079, 748, 1.8)
CHECK = Kind("check", 15.3, 2550, 8, 1.5)


@dataclass(eq=False)
class Stream:
    """One request: what it needs, and what its caller has seen so far."""

    kind: Kind
    arrived: float
    unread: int
    guess: int
    replica: int = -1
    made: int = 0
    last_event: float = 0.0
    in_time: bool = True

    @property
    def need(self) -> Need:
        return Need(
            tokens=self.kind.prompt + self.guess,
            prompt_tokens=self.kind.prompt,
            max_pause_s=PAUSE_S,
        )


@dataclass(eq=False)
class Engine:
    """A replica that works on streams step by step, each with a piece of a prompt."""

    name: str
    zone: int
    steady: float
    turns: list[float]
    told: float = 0.0
    streams: list[Stream] = field(default_factory=list)
    busy: bool = False

    def moment(self, now: float) -> float:
        return WORST if bisect_right(self.turns, now) % 2 else 1.0

    def option(self, now: float) -> ReplicaOption:
        tokens = sum(s.kind.prompt + max(s.guess, s.made) for s in self.streams)
        used = sum(s.kind.prompt + s.made for s in self.streams)
        pace = Pace(self.told or self.steady, self.moment(now), WORST, BAD_SHARE)
        unread = sum(s.unread for s in self.streams)
        return ReplicaOption(
            self.name,
            same_zone=True,
            running=len(self.streams),
            slots=SLOTS,
            tokens=tokens,
            unread_tokens=unread,
            capacity_tokens=CAPACITY_TOKENS,
            used_tokens=used,
            pace=pace,
            tokens_per_event=TOKENS_PER_EVENT,
        )

    def step_s(self, now: float) -> float:
        reading = any(s.unread for s in self.streams)
        work_s = ENGINE_SPEED.step_base_s + ENGINE_SPEED.step_sequence_s * len(self.streams)
        work_s += ENGINE_SPEED.prefill_chunk_tokens * ENGINE_SPEED.prefill_token_s * reading
        return work_s * self.steady * self.moment(now)

    def end_step(self, now: float) -> None:
        reader = next((s for s in self.streams if s.unread), None)
        for stream in [s for s in self.streams if not s.unread]:
            stream.made += 1
            if stream.made % TOKENS_PER_EVENT == 1 or stream.made == stream.kind.output:
                first = stream.made == 1
                since = stream.arrived if first else stream.last_event
                bound_s = stream.kind.objective_s if first else PAUSE_S
                stream.in_time &= now - since <= bound_s
                stream.last_event = now
        if reader is not None:
            reader.unread = max(0, reader.unread - ENGINE_SPEED.prefill_chunk_tokens)
        self.streams = [s for s in self.streams if s.made < s.kind.output]


Way = Callable[[list[ReplicaOption], Need, Random], str | None]


@dataclass
class Fleet:
    """A play: engines, callers in waves, and instances that decide by news of some age.

    `age_s` is the age of the news in seconds, `deciders` how many decide each for itself.
    """

    way: Way
    deciders: int
    age_s: float
    seed: int
    engines: int = 28
    zones: int = 3
    length_s: float = 30.0
    load: float = 1.0
    told: dict[int, float] = field(default_factory=dict)
    streams: list[Stream] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._engines = [self._engine(n) for n in range(self.engines)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._news: list[list[ReplicaOption]] = []
        self._sent: list[list[tuple[float, Stream]]] = [[] for _ in range(self.deciders)]

    def play(self) -> "Fleet":
        self._at(0.0, self._note_news)
        for kind in (DRAFT, CHECK):
            for zone in range(self.zones):
                self._next_arrival(kind, zone, 0.0)
        while self._events:
            now, _, event = heappop(self._events)
            event(now)
        return self

    def in_time(self, kind: Kind) -> float:
        """Return the share of a kind of requests that were in time."""
        of_kind = [s for s in self.streams if s.kind is kind]
        return sum(s.in_time for s in of_kind) / len(of_kind)

    def share(self, engine: int) -> float:
        """Return the share of all requests that a replica got."""
        return sum(s.replica == engine for s in self.streams) / len(self.streams)

    def _engine(self, number: int) -> Engine:
        turns, at = [], 0.0
        while at < 2 * self.length_s:
            at += self._random.expovariate(BAD_SHARE / (1 - BAD_SHARE) / BAD_S)
            turns += [at, at + BAD_S]
            at += BAD_S
        quick = number < QUICK_SHARE * self.engines
        steady = QUICK if quick else SLOW
        return Engine(str(number), number % self.zones, steady, turns, self.told.get(number, 0.0))

    def _at(self, when: float, event: Callable[[float], None]) -> None:
        heappush(self._events, (when, self._random.getrandbits(60), event))

    def _note_news(self, now: float) -> None:
        self._news.append([e.option(now) for e in self._engines])
        if now < self.length_s + PATIENCE_S:
            self._at(now + NEWS_S, self._note_news)

    def _next_arrival(self, kind: Kind, zone: int, now: float) -> None:
        most = kind.rate * self.load * (1.0 + WAVE) / self.zones
        while now < self.length_s:
            now += self._random.expovariate(most)
            wave = 1.0 + WAVE * sin(2.0 * pi * now / WAVE_S)
            if self._random.random() * (1.0 + WAVE) < wave and now < self.length_s:
                self._at(now, lambda at: self._arrive(kind, zone, at))
                return

    def _arrive(self, kind: Kind, zone: int, now: float) -> None:
        guess = round(kind.output * self._random.lognormvariate(0.0, 0.4))
        stream = Stream(kind, now, kind.prompt, guess)
        self.streams.append(stream)
        self._look(stream, self._random.randrange(self.deciders), zone, now)
        self._next_arrival(kind, zone, now)

    def _look(self, stream: Stream, decider: int, zone: int, now: float) -> None:
        left_s = stream.arrived + stream.kind.objective_s - now
        need = replace_need(stream.need, left_s)
        name = self.way(self._options(decider, zone, now), need, self._random)
        if name is not None:
            self._send(stream, self._engines[int(name)], decider, now)
        elif now < stream.arrived + PATIENCE_S:
            self._at(now + LOOK_S, lambda at: self._look(stream, decider, zone, at))
        else:
            stream.in_time = False

    def _options(self, decider: int, zone: int, now: float) -> list[ReplicaOption]:
        """Return what a decider knows: old news, and what it has sent since."""
        then = max(0.0, now - self.age_s)
        options = list(self._news[min(int(then / NEWS_S), len(self._news) - 1)])
        sent = self._sent[decider] = [s for s in self._sent[decider] if s[0] >= then]
        for _, stream in sent:
            options[stream.replica] = with_sent(options[stream.replica], stream)
        return [
            replace(o, same_zone=e.zone == zone, pace=aged(o.pace or Pace(), now - then))
            for o, e in zip(options, self._engines, strict=True)
        ]

    def _send(self, stream: Stream, engine: Engine, decider: int, now: float) -> None:
        stream.replica = int(engine.name)
        self._sent[decider].append((now, stream))
        engine.streams.append(stream)
        if not engine.busy:
            self._work(engine, now)

    def _work(self, engine: Engine, now: float) -> None:
        engine.busy = bool(engine.streams)
        if engine.busy:
            self._at(now + engine.step_s(now), lambda at: self._end_step(engine, at))

    def _end_step(self, engine: Engine, now: float) -> None:
        engine.end_step(now)
        self._work(engine, now)


def aged(pace: Pace, age_s: float) -> Pace:
    """Return what is believed of a pace that was seen some seconds ago."""
    moment = 1.0 + (pace.momentary - 1.0) * 0.5 ** (age_s / HALF_LIFE_S)
    return replace(pace, momentary=moment, age_s=age_s)


def replace_need(need: Need, left_s: float) -> Need:
    """Return a need with the time that is left until the first event is late, in seconds."""
    return Need(need.tokens, need.prompt_tokens, left_s, max_pause_s=need.max_pause_s)


def with_sent(option: ReplicaOption, stream: Stream) -> ReplicaOption:
    """Return what is known of a replica with one more request that was sent there."""
    need = stream.need
    return replace(
        option,
        running=option.running + 1,
        tokens=option.tokens + need.tokens,
        used_tokens=option.used_tokens + need.prompt_tokens,
        unread_tokens=option.unread_tokens + need.prompt_tokens,
    )


def by_time(options: list[ReplicaOption], need: Need, random: Random) -> str | None:
    """Return where the one answer says that a request begins."""
    start = best_start(options, need, random)
    return start.replica if isinstance(start, Begin) else None


def as_it_stands(options: list[ReplicaOption], need: Need, random: Random) -> str | None:
    """Return where a request begins where nothing is known of any pace."""
    return by_time([replace(o, pace=None) for o in options], need, random)


def two_choices(options: list[ReplicaOption], need: Need, random: Random) -> str | None:
    """Return the one of two with room, drawn at random, whose load is less by its pace."""
    room = [o for o in options if o.tokens + need.tokens <= 1.05 * o.capacity_tokens]
    drawn = random.sample(room, min(2, len(room)))
    return min(drawn, key=_paced_load).name if drawn else None


def _paced_load(option: ReplicaOption) -> float:
    pace = option.pace or Pace()
    return (option.running + 1) * pace.steady * pace.momentary
