"""Crowding: who is refused, which promises are kept, and how those fare who come back.

Simulated time, against two other ways. In the line those go first who have come back to a
place, then those who can be in time, by when that ends.
"""

import functools
import heapq
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import pytest

from reachlink.scheduling import (
    Begin,
    CallerRetryRegistry,
    Need,
    QueueState,
    RefusalReason,
    Refuse,
    ReplicaOption,
    RetryReservation,
    Start,
    Wait,
    best_start,
    choose_replica,
    is_over_share,
    with_caller_retry,
)

# Engines as in the crowded deployments; 0.6 of the requests are short verdicts.
REPLICAS, CAPACITY_TOKENS, SLOTS = 6, 26_900, 24
ROOM_TOKENS = REPLICAS * CAPACITY_TOKENS
TOKEN_S = 0.01
SERVICE = "model"
LENGTH_S, STEP_S = 60.0, 0.05
DRAIN_OVER_S = 4.0
# One workspace asks for half of all; the others share the rest.
SMALL = [f"small-{number}" for number in range(8)]
# Of those told to come back so many do not, and the others come a little later than told.
STAY_AWAY, LATE_S = 0.2, 0.4
TRIES = 3
POLL_SHARE = 0.22
# How many of those who wait may be passed by one that fits.
LOOK_AHEAD = 4


@dataclass(slots=True, frozen=True)
class Kind:
    prompt_tokens: int
    mean_output: float
    first_by_s: float
    deadline_s: float


CHAT = Kind(3079, 744.0, 4.0, 39.0)
VERDICT = Kind(2550, 8.0, 1.5, 6.0)
MEAN_TOKEN_S = 0.4 * 3823.0 * 7.6 + 0.6 * 2558.0 * 0.3


class Way(Enum):
    AS_IT_STANDS = "look again, then 0.1 s"
    DRAIN_ALONE = "told by the drain, no place kept"
    PLACE_KEPT = "told by the drain, place kept"


@dataclass(eq=False, slots=True)
class Caller:
    number: int
    kind: Kind
    workspace: str
    output: int
    first_at: float
    arrived_at: float
    tries: int = 0
    returned: bool = False
    reservation: RetryReservation | None = None

    @property
    def tokens(self) -> int:
        return self.kind.prompt_tokens + self.output

    def need(self, now: float) -> Need:
        return Need(
            tokens=self.tokens,
            prompt_tokens=self.kind.prompt_tokens,
            first_event_due_in_s=self.first_at + self.kind.first_by_s - now,
            give_up_in_s=self.first_at + self.kind.deadline_s - now,
            workspace=self.workspace,
            waited_s=now - self.arrived_at,
        )


@dataclass
class Play:
    way: Way
    crowding: float
    seed: int
    asked: Counter[str] = field(default_factory=Counter)
    began: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    lost: Counter[str] = field(default_factory=Counter)
    told: Counter[RefusalReason] = field(default_factory=Counter)
    returners: int = 0
    returners_began: int = 0
    # Callers that came back in each second.
    returns_by_second: Counter[int] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.book = CallerRetryRegistry()
        self.used = [0] * REPLICAS
        self.running = [0] * REPLICAS
        self.ends: list[tuple[float, int, int, int, str]] = []
        self.line: list[Caller] = []
        self.coming: list[tuple[float, int, Caller]] = []
        self.freed: deque[tuple[float, int]] = deque()
        self.has: Counter[str] = Counter()
        self.now = 0.0
        self.number = 0

    def play(self) -> "Play":
        per_s = self.crowding * ROOM_TOKENS / MEAN_TOKEN_S
        while self.now < LENGTH_S:
            self.now += STEP_S
            self._end()
            self._serve_line()
            while self.coming and self.coming[0][0] <= self.now:
                self._come_back(heapq.heappop(self.coming)[2])
            for _ in range(sum(self.random.random() < per_s * STEP_S / 8 for _ in range(8))):
                self._arrive(self._caller())
        return self

    def _caller(self) -> Caller:
        kind = VERDICT if self.random.random() < 0.6 else CHAT
        workspace = "large" if self.random.random() < 0.5 else self.random.choice(SMALL)
        output = 1 + round(kind.mean_output * self.random.uniform(0.5, 1.5))
        self.number += 1
        caller = Caller(self.number, kind, workspace, output, self.now, self.now)
        self.asked[workspace] += 1
        return caller

    def _end(self) -> None:
        while self.ends and self.ends[0][0] <= self.now:
            _, _, replica, tokens, workspace = heapq.heappop(self.ends)
            self.used[replica] -= tokens
            self.running[replica] -= 1
            self.has[workspace] -= tokens
            self.freed.append((self.now, tokens))
        while self.freed and self.freed[0][0] < self.now - DRAIN_OVER_S:
            self.freed.popleft()

    def _options(self) -> list[ReplicaOption]:
        return [
            ReplicaOption(
                str(replica),
                same_zone=True,
                running=self.running[replica],
                slots=SLOTS,
                tokens=self.used[replica],
                capacity_tokens=CAPACITY_TOKENS,
            )
            for replica in range(REPLICAS)
        ]

    def _promised(self, caller: Caller) -> bool:
        return caller.reservation is not None and caller.reservation.place_reserved

    def _order(self, caller: Caller) -> tuple[bool, bool, float]:
        in_time_until = caller.first_at + caller.kind.first_by_s
        return not self._promised(caller), self._is_late(caller), in_time_until

    def _is_late(self, caller: Caller) -> bool:
        return caller.first_at + caller.kind.first_by_s < self.now

    def _serve_line(self) -> None:
        """Begin those who wait, in their order, and let go who waits in vain."""
        if self.way is Way.AS_IT_STANDS:
            # Whoever looks just when room appears.
            self.random.shuffle(self.line)
        else:
            self.line.sort(key=self._order)
        passed = 0
        for caller in list(self.line):
            name = choose_replica(self._options(), caller.tokens, self.random)
            waits = self.now - caller.arrived_at
            if name is not None:
                self.line.remove(caller)
                self._settle(caller, Begin(name))
            elif self.way is Way.AS_IT_STANDS:
                if waits >= POLL_SHARE * caller.kind.first_by_s:
                    self.line.remove(caller)
                    self._settle(caller, Refuse(0.1))
            elif caller.need(self.now).give_up_in_s <= 0.0:
                self.line.remove(caller)
                self._settle(caller, Refuse(0.1))
            else:
                passed += 1
                if passed > LOOK_AHEAD:
                    break

    def _arrive(self, caller: Caller) -> None:
        need = caller.need(self.now)
        if self.way is Way.PLACE_KEPT:
            caller.reservation = self.book.claim(caller.number, self.now)
            need = with_caller_retry(need, caller.reservation, self.now)
        self._settle(caller, self._decide(caller, need), need)

    def _decide(self, caller: Caller, need: Need) -> Start:
        if self.way is Way.AS_IT_STANDS:
            name = choose_replica(self._options(), need.tokens, self.random)
            return Begin(name) if name is not None else Wait(0.0)
        return best_start(self._options(), need, self.random, self._line_state(caller, need))

    def _line_state(self, caller: Caller, need: Need) -> QueueState:
        order = self._order(caller)
        ahead = [c for c in self.line if self._order(c) < order]
        drain = sum(tokens for _, tokens in self.freed) / DRAIN_OVER_S
        state = QueueState(len(ahead), sum(c.tokens for c in ahead), drain)
        if self.way is Way.DRAIN_ALONE:
            return state
        told = self.book.reserved_tokens(SERVICE, self.now)
        asked = self.has.copy()
        for waiting in self.line:
            if not self._is_late(waiting):
                asked[waiting.workspace] += waiting.tokens
        asked[need.workspace] += need.tokens
        over = is_over_share(need.workspace, asked, ROOM_TOKENS)
        return QueueState(state.ahead, state.ahead_tokens, drain, told, over)

    def _settle(self, caller: Caller, start: Start, need: Need | None = None) -> None:
        if self.way is Way.PLACE_KEPT:
            start = self.book.record_outcome(
                caller.reservation,
                caller.number,
                SERVICE,
                need or caller.need(self.now),
                start,
                self.now,
            )
        if isinstance(start, Begin):
            self._begin(caller, int(start.replica))
        elif isinstance(start, Refuse):
            self._refuse(caller, start)
        else:
            self.line.append(caller)

    def _begin(self, caller: Caller, replica: int) -> None:
        self.used[replica] += caller.tokens
        self.running[replica] += 1
        self.has[caller.workspace] += caller.tokens
        ends_at = self.now + 0.25 + caller.output * TOKEN_S
        row = (ends_at, caller.number, replica, caller.tokens, caller.workspace)
        heapq.heappush(self.ends, row)
        self.began[caller.workspace] += 1
        self.in_time[caller.workspace] += self.now <= caller.first_at + caller.kind.first_by_s
        self.returners_began += caller.returned

    def _refuse(self, caller: Caller, refuse: Refuse) -> None:
        self.told[refuse.reason] += 1
        caller.tries += 1
        left_s = caller.first_at + caller.kind.deadline_s - self.now
        stays_away = self.random.random() < STAY_AWAY
        if caller.tries >= TRIES or stays_away or left_s <= 0.0:
            self.lost[caller.workspace] += 1
            return
        obeyed_s = min(refuse.retry_after_s, left_s / 3.0)
        at = self.now + obeyed_s + self.random.uniform(0.0, LATE_S)
        heapq.heappush(self.coming, (at, caller.number, caller))

    def _come_back(self, caller: Caller) -> None:
        self.returns_by_second[int(self.now)] += 1
        self.returners += 1
        caller.returned = True
        caller.arrived_at = self.now
        self._arrive(caller)


SEEDS = (1, 2)
CROWDED = [1.5, 2.5]


@functools.cache
def plays(way: Way, crowding: float) -> list[Play]:
    return [Play(way, crowding, seed).play() for seed in SEEDS]


def in_time(way: Way, crowding: float, workspaces: list[str]) -> float:
    """Return which share of the requests of some workspaces begins in time."""
    played = plays(way, crowding)
    begun = sum(p.in_time[name] for p in played for name in workspaces)
    return begun / sum(p.asked[name] for p in played for name in workspaces)


def returned(way: Way, crowding: float) -> float:
    """Return which share of those who came back began."""
    played = plays(way, crowding)
    return sum(p.returners_began for p in played) / max(1, sum(p.returners for p in played))


@pytest.mark.parametrize("crowding", CROWDED)
def test_nine_of_ten_timely_retries_get_their_reserved_place(crowding):
    kept = sum(p.book.counts.kept for p in plays(Way.PLACE_KEPT, crowding))
    broken = sum(p.book.counts.broken for p in plays(Way.PLACE_KEPT, crowding))
    assert kept >= 0.9 * (kept + broken)
    assert kept >= 20 * len(SEEDS)
    # Of those who came back without a place so many do not begin.
    assert max(returned(Way.AS_IT_STANDS, crowding), returned(Way.DRAIN_ALONE, crowding)) < 0.9


@pytest.mark.parametrize("crowding", CROWDED)
def test_small_workspaces_are_served_before_one_that_demands_half(crowding):
    small = in_time(Way.PLACE_KEPT, crowding, SMALL)
    assert small > in_time(Way.PLACE_KEPT, crowding, ["large"])
    assert small > in_time(Way.AS_IT_STANDS, crowding, SMALL)


@pytest.mark.parametrize("crowding", CROWDED)
def test_more_requests_start_in_time_than_with_polling(crowding):
    everybody = ["large", *SMALL]
    now, before = (in_time(way, crowding, everybody) for way in (Way.PLACE_KEPT, Way.AS_IT_STANDS))
    assert now > before


@pytest.mark.parametrize("crowding", CROWDED)
def test_retries_are_spread_no_worse_than_with_polling(crowding):
    """No second sees more of them than as it stands."""
    for kept, before in zip(
        plays(Way.PLACE_KEPT, crowding), plays(Way.AS_IT_STANDS, crowding), strict=True
    ):
        most = max(kept.returns_by_second.values())
        assert most <= max(before.returns_by_second.values())


def test_no_request_is_refused_while_capacity_suffices():
    played = Play(Way.PLACE_KEPT, 0.5, 1).play()
    assert not played.told
    assert len(played.book) == 0
