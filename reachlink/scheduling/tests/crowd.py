"""Engines with too little room for their callers, in simulated time, and ways to share it."""

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
READ_TOKEN_S = 1.0 / 14_000.0
TOKENS_PER_S = 100.0
TICK_S = 0.02
LENGTH_S, WARM_S = 45.0, 10.0
# As it stands: who finds no room looks again each tick for this part of its aim.
WAIT_SHARE = 0.22


@dataclass(frozen=True)
class Kind:
    """Requests of one kind; mean and spread of output, times in seconds."""

    name: str
    prompt_tokens: int
    output_tokens: float
    spread: float
    aim_s: float
    deadline_s: float
    priority: int
    # Part of the memory over time that is asked for by this kind.
    part: float

    @property
    def holds_s(self) -> float:
        """How long one holds memory, about, in seconds."""
        return self.prompt_tokens * READ_TOKEN_S * 2.0 + self.output_tokens / TOKENS_PER_S


VERDICT = Kind("verdict", 2_550, 8.0, 0.0, 1.5, 6.0, 3, part=0.06)
SUMMARY = Kind("summary", 3_080, 748.0, 0.3, 4.0, 39.0, 5, part=0.94)
KINDS = (VERDICT, SUMMARY)


@dataclass(eq=False)
class Asked:
    """One caller's request and what became of it; times in simulated seconds."""

    number: int
    kind: Kind
    workspace: str
    output: int
    guess: int
    at: float
    may_return: bool = True
    first_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None
    made: float = 0.0
    paused: bool = False

    @property
    def name(self) -> str:
        return str(self.number)

    @property
    def tokens(self) -> int:
        return self.kind.prompt_tokens + self.guess

    def need(self, now: float) -> Need:
        return Need(
            tokens=self.tokens,
            prompt_tokens=self.kind.prompt_tokens,
            first_event_due_in_s=self.at + self.kind.aim_s - now,
            give_up_in_s=self.at + self.kind.deadline_s - now,
            priority=self.kind.priority,
            workspace=self.workspace,
            waited_s=now - self.at,
        )

    @property
    def whole(self) -> bool:
        return self.ended_at is not None and self.ended_at <= self.at + self.kind.deadline_s

    @property
    def in_time(self) -> bool:
        first = self.first_at if self.first_at is not None else float("inf")
        return self.whole and not self.paused and first <= self.at + self.kind.aim_s


@dataclass
class Engine:
    """One replica: reads prompts one after the other, and makes tokens of all at once.

    Who finds no memory waits there, and so does who is pushed out.
    """

    queue: deque[Asked] = field(default_factory=deque)
    reading: deque[tuple[Asked, float]] = field(default_factory=deque)
    running: list[Asked] = field(default_factory=list)
    read_again: float = 0.0

    @property
    def all(self) -> list[Asked]:
        return [*self.queue, *self.inside]

    @property
    def inside(self) -> list[Asked]:
        return [asked for asked, _ in self.reading] + self.running

    @property
    def used_tokens(self) -> float:
        return sum(a.kind.prompt_tokens + a.made for a in self.inside)

    def option(self, name: str) -> ReplicaOption:
        there = self.all
        promised = sum(a.kind.prompt_tokens + max(a.guess, a.made) for a in there)
        return ReplicaOption(
            name,
            same_zone=True,
            running=len(there),
            slots=SLOTS,
            tokens=round(promised),
            used_tokens=round(self.used_tokens),
            unread_tokens=round(
                sum(left for _, left in self.reading)
                + sum(a.kind.prompt_tokens + a.made for a in self.queue)
            ),
            capacity_tokens=CAPACITY_TOKENS,
        )

    def start(self, asked: Asked) -> None:
        self.queue.append(asked)

    def _admit(self) -> None:
        while self.queue:
            tokens = self.queue[0].kind.prompt_tokens + self.queue[0].made
            if self.used_tokens + tokens > CAPACITY_TOKENS:
                return
            # What was made before is read anew.
            self.reading.append((self.queue.popleft(), tokens))

    def step(self, now: float) -> int:
        """Work for a tick; return how many were pushed out."""
        self._admit()
        can_read = TICK_S / READ_TOKEN_S
        while self.reading and can_read > 0.0:
            asked, left = self.reading.popleft()
            if left > can_read:
                self.reading.appendleft((asked, left - can_read))
                break
            can_read -= left
            asked.first_at = asked.first_at or now
            self.running.append(asked)
        for asked in self.running:
            asked.made += TOKENS_PER_S * TICK_S
            if asked.made >= asked.output:
                asked.ended_at = now
        self.running = [a for a in self.running if a.ended_at is None]
        pushed = 0
        while self.running and self.used_tokens > CAPACITY_TOKENS:
            newest = min(self.running, key=lambda a: a.made)
            newest.paused = True
            self.running.remove(newest)
            self.queue.appendleft(newest)
            self.read_again += newest.kind.prompt_tokens + newest.made
            pushed += 1
        return pushed


class Way(Protocol):
    """How requests that wait share the room."""

    def arrive(self, asked: Asked, crowd: "Crowd") -> None:
        """Take a request."""

    def look(self, crowd: "Crowd") -> None:
        """Start who may begin now, and refuse who may not wait."""


@dataclass
class Crowd:
    """A fleet with so many times the requests that it has room for."""

    way: Way
    crowding: float
    seed: int
    # Part of all requests that come from one workspace of several.
    large_part: float = 1.0 / 12.0
    workspaces: int = 12
    kinds: tuple[Kind, ...] = KINDS
    now: float = 0.0
    asked: list[Asked] = field(default_factory=list)
    engines: list[Engine] = field(default_factory=lambda: [Engine() for _ in range(REPLICAS)])
    returns: list[tuple[float, Asked]] = field(default_factory=list)
    preempted: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        # What is known of each engine in this tick.
        self._known: dict[int, ReplicaOption] = {}

    def play(self) -> "Crowd":
        for tick in range(int(LENGTH_S / TICK_S)):
            self.now = tick * TICK_S
            self._arrive()
            self.way.look(self)
            self.preempted += sum(engine.step(self.now) for engine in self.engines)
            self._known.clear()
        return self

    def options(self) -> list[ReplicaOption]:
        for number, engine in enumerate(self.engines):
            if number not in self._known:
                self._known[number] = engine.option(str(number))
        return list(self._known.values())

    def begin(self, asked: Asked, replica: str) -> None:
        self.engines[int(replica)].start(asked)
        del self._known[int(replica)]

    def refuse(self, asked: Asked, retry_after_s: float) -> None:
        asked.refused_at = self.now
        back_at = self.now + max(0.1, retry_after_s)
        if asked.may_return and back_at < asked.at + asked.kind.deadline_s:
            asked.may_return = False
            self.returns.append((back_at, asked))

    def _arrive(self) -> None:
        for kind in self.kinds:
            memory = kind.prompt_tokens + kind.output_tokens
            per_s = kind.part * self.crowding * REPLICAS * CAPACITY_TOKENS / memory / kind.holds_s
            while self.random.random() < per_s * TICK_S / (1.0 + per_s * TICK_S):
                asked = self._new(kind)
                self.asked.append(asked)
                self.way.arrive(asked, self)
        due = [asked for at, asked in self.returns if at <= self.now]
        self.returns = [(at, asked) for at, asked in self.returns if at > self.now]
        for asked in due:
            self.way.arrive(asked, self)

    def _new(self, kind: Kind) -> Asked:
        output = max(1, round(kind.output_tokens * self.random.lognormvariate(0.0, kind.spread)))
        guess = max(1, round(output * self.random.lognormvariate(0.0, kind.spread)))
        large = self.random.random() < self.large_part
        other = f"w{self.random.randrange(1, self.workspaces)}"
        workspace = "large" if large else other
        return Asked(len(self.asked), kind, workspace, output, guess, self.now)

    def counted(self) -> list[Asked]:
        """Return the requests whose time was over by the end, without the first ones."""
        return [
            a
            for a in self.asked
            if a.at >= WARM_S and a.at + min(12.0, a.kind.deadline_s) <= LENGTH_S
        ]

    def share(self, judge: Callable[[Asked], bool], of: Callable[[Asked], bool]) -> float:
        found = [judge(a) for a in self.counted() if of(a)]
        return sum(found) / max(1, len(found))


@dataclass
class AsItStands:
    """Each looks again each tick, for a part of its aim; whoever looks first gets it."""

    waiting: list[Asked] = field(default_factory=list)
    since: dict[int, float] = field(default_factory=dict)

    def arrive(self, asked: Asked, crowd: Crowd) -> None:
        self.waiting.append(asked)
        self.since[asked.number] = crowd.now

    def look(self, crowd: Crowd) -> None:
        crowd.random.shuffle(self.waiting)
        left = []
        for asked in self.waiting:
            name = choose_replica(crowd.options(), asked.tokens, crowd.random)
            if name is not None:
                crowd.begin(asked, name)
            elif crowd.now - self.since[asked.number] > WAIT_SHARE * asked.kind.aim_s:
                crowd.refuse(asked, 0.1)
            else:
                left.append(asked)
        self.waiting = left


@dataclass
class FirstComeFirstServed:
    """One line by age; the first that finds no room holds it back."""

    # Whether who can't begin by its aim is refused on arrival.
    refuses_early: bool = False
    waiting: deque[Asked] = field(default_factory=deque)
    begun: deque[tuple[float, int]] = field(default_factory=deque)

    def arrive(self, asked: Asked, crowd: Crowd) -> None:
        wait_s = self._expected_s(asked, crowd.now)
        if self.refuses_early and wait_s > asked.at + asked.kind.aim_s - crowd.now:
            crowd.refuse(asked, wait_s)
        else:
            self.waiting.append(asked)

    def _expected_s(self, asked: Asked, now: float) -> float:
        while self.begun and self.begun[0][0] < now - 4.0:
            self.begun.popleft()
        drain = sum(tokens for _, tokens in self.begun) / 4.0
        ahead = sum(a.tokens for a in self.waiting)
        return ahead / drain if ahead and drain else 0.0

    def look(self, crowd: Crowd) -> None:
        while self.waiting:
            asked = self.waiting[0]
            name = choose_replica(crowd.options(), asked.tokens, crowd.random)
            over = crowd.now > asked.at + asked.kind.deadline_s - asked.kind.holds_s
            if name is None and not over:
                return
            self.waiting.popleft()
            if over or name is None:
                crowd.refuse(asked, 0.1)
            else:
                self.begun.append((crowd.now, asked.tokens))
                crowd.begin(asked, name)


@dataclass
class InLine:
    """The product's line, as its owner keeps it."""

    rules: PlacementRules = QUEUED_RULES
    # Whether who asks for more than its share is refused first.
    by_shares: bool = True
    line: RequestQueue = field(default_factory=RequestQueue)
    waiting: dict[str, Asked] = field(default_factory=dict)
    # Reason and workspace of those who were refused on arrival, and whether a place was free.
    refused: Counter[tuple[RefusalReason, str, bool]] = field(default_factory=Counter)
    looked_at: int = 0

    def arrive(self, asked: Asked, crowd: Crowd) -> None:
        now = crowd.now
        if not len(self.line):
            name = choose_replica(crowd.options(), asked.tokens, crowd.random, self.rules)
            if name is not None:
                self.line.record_immediate_start(asked.need(now), now)
                crowd.begin(asked, name)
                return
        waiting = self.line.join(asked.name, "e1", asked.need(now), now, 1e9)
        self.waiting[asked.name] = asked
        shed = self.line.shed(now)
        if shed is not None:
            state = self.line.state_ahead_of(shed, now)
            crowd.refuse(self.waiting.pop(shed.request_id), expected_wait_s(shed.need, state))
        if shed is waiting:
            return
        state = self.line.state_ahead_of(waiting, now)
        if not self.by_shares:
            state = replace(state, over_share=False)
        start = best_start(crowd.options(), waiting.need_at(now), crowd.random, state, self.rules)
        if not isinstance(start, Wait | Begin):
            self.line.leave(asked.name, now)
            free = (
                choose_replica(crowd.options(), asked.tokens, crowd.random, self.rules) is not None
            )
            self.refused[start.reason, asked.workspace, free] += 1
            crowd.refuse(self.waiting.pop(asked.name), start.retry_after_s)

    def look(self, crowd: Crowd) -> None:
        for waiting in self.line.expire(crowd.now):
            crowd.refuse(self.waiting.pop(waiting.request_id), 0.1)
        while self._grant_next(crowd):
            continue

    def _grant_next(self, crowd: Crowd) -> bool:
        options = crowd.options()
        passed = None
        least = float("inf")
        for waiting in self.line.order(crowd.now):
            name = None
            if waiting.need.tokens < least:
                self.looked_at += 1
                name = choose_replica(options, waiting.need.tokens, crowd.random, self.rules)
            if name is not None:
                if passed is not None:
                    passed.record_overtaken(crowd.now)
                self.line.grant(waiting.request_id, crowd.now)
                crowd.begin(self.waiting.pop(waiting.request_id), name)
                return True
            least = min(least, waiting.need.tokens)
            if passed is None:
                passed = waiting
                if passed.reserves_room(crowd.now):
                    return False
        return False


@dataclass
class ByZone:
    """Four zones with shares of the load: one line over all, or one each."""

    load: tuple[float, ...]
    over_zones: bool
    zones: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(5)
        self.lines = [InLine() for _ in range(1 if self.over_zones else len(self.load))]

    def arrive(self, asked: Asked, crowd: Crowd) -> None:
        zone = self.zones.get(asked.number)
        if zone is None:
            zone = self.random.choices(range(len(self.load)), self.load)[0]
            self.zones[asked.number] = zone
        self.lines[0 if self.over_zones else zone].arrive(asked, crowd)

    def look(self, crowd: Crowd) -> None:
        for line in self.random.sample(self.lines, len(self.lines)):
            line.look(crowd)
