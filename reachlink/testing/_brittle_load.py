"""Brittle replicas and callers that press, by several ways to spare them, in simulated time.

Entry instances send short calls to replicas, each to one of those that it may use where it has
the fewest. All replicas say that they are brittle; some seconds later they let fewer requests
wait, and callers come in bursts. One that has to reject more than it has stated in a second is
down for some seconds. In question is how often replicas fall, and what callers get.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from reachlink.pacing import BrittleTracker

LENGTH_S = 12.0
# When replicas say that they are brittle, and when they let fewer requests wait, in seconds.
BRITTLE_AT_S = 2.0
SHRINK_AT_S = 5.0
# How long a replica works on a call, at the least and at the most, in seconds.
WORK_S = (0.04, 0.14)
WAY_S = 0.002
SLOTS = 6
# Requests that may wait at a replica before and after it lets fewer wait.
WAITING = 24
FEW_WAITING = 1
REFUSALS_PER_S = 5.0
DOWN_S = 4.0
# Demand as a share of what the replicas can do, usually and in a burst.
USUAL = 0.5
BURST = 1.2
BURST_EVERY_S = 5.0
BURST_S = 2.0
# How long a call waits for a replica, and how often it looks, in seconds.
PATIENCE_S = 0.15
LOOK_S = 0.02
ATTEMPTS = 2


class Way(Enum):
    """What instances do with the statement."""

    IGNORE = "ignore"
    WHOLE = "window, at least one request"
    SHARED = "window, shared by number"


@dataclass(slots=True, frozen=True)
class BrittleLoad:
    """What is played: instances, replicas, the way, and the seed."""

    instances: int
    replicas: int
    way: Way
    seed: int = 1


@dataclass(slots=True)
class BrittleFigures:
    """What came of it.

    Attributes
    ----------
    falls : int
        How often replicas fell over.
    most_falls : float
        The most that is allowed in one time.
    rejected : int
        Requests that replicas rejected.
    served : float
        Share of calls served after replicas let fewer wait.
    """

    falls: int = 0
    most_falls: float = 0.0
    rejected: int = 0
    served: float = 0.0


@dataclass(slots=True)
class _Replica:
    running: int = 0
    waiting: deque["_Call"] = field(default_factory=deque)
    rejections: deque[float] = field(default_factory=deque)
    down_until: float = 0.0


@dataclass(slots=True, eq=False)
class _Call:
    instance: int
    came_at: float
    attempts: int = 0
    replica: int = -1
    sent_at: float = 0.0


class _Play:
    def __init__(self, load: BrittleLoad) -> None:
        self.load = load
        self.now = 0.0
        self.random = Random(load.seed)
        self.replicas = [_Replica() for _ in range(load.replicas)]
        self.trackers = [self._tracker(f"e{n}") for n in range(load.instances)]
        self.sent = [[0] * load.replicas for _ in range(load.instances)]
        self.known_down = [[0.0] * load.replicas for _ in range(load.instances)]
        self.figures = BrittleFigures(most_falls=2 + load.replicas / 10)
        self.asked = self.served = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def _tracker(self, name: str) -> BrittleTracker:
        tracker = BrittleTracker(name)
        tracker.instances = lambda: self.load.instances
        whole = self.load.way is Way.WHOLE
        tracker.slots_at = lambda address: max(SLOTS, self.load.instances) if whole else SLOTS
        tracker.service_at = lambda address: map(str, range(self.load.replicas))
        return tracker

    def at(self, time: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), what))

    def run(self) -> BrittleFigures:
        self.at(0.0, self._arrive)
        while self._events:
            self.now, _, what = heapq.heappop(self._events)
            if self.now > LENGTH_S:
                break
            what()
        self.figures.served = self.served / self.asked
        return self.figures

    def _arrive(self) -> None:
        capacity = self.load.replicas * SLOTS / (sum(WORK_S) / 2.0)
        in_burst = self.now > SHRINK_AT_S and self.now % BURST_EVERY_S < BURST_S
        rate = capacity * (BURST if in_burst else USUAL)
        self.at(self.now + self.random.expovariate(rate), self._arrive)
        # Four fifths of the calls come to half of the instances.
        half = max(1, self.load.instances // 2)
        skewed = self.random.random() < 0.8
        instance = self.random.randrange(half if skewed else self.load.instances)
        if self.now >= SHRINK_AT_S:
            self.asked += 1
        self._place(_Call(instance, self.now))

    def _place(self, call: _Call) -> None:
        options = [n for n in range(self.load.replicas) if self._may_send(call.instance, n)]
        if not options:
            if self.now - call.came_at < PATIENCE_S:
                self.at(self.now + LOOK_S, lambda: self._place(call))
            return
        fewest = min(self.sent[call.instance][n] for n in options)
        best = [n for n in options if self.sent[call.instance][n] == fewest]
        call.replica, call.sent_at = self.random.choice(best), self.now
        call.attempts += 1
        self.sent[call.instance][call.replica] += 1
        self.trackers[call.instance].begin(str(call.replica))
        self.at(self.now + WAY_S, lambda: self._reach(call))

    def _may_send(self, instance: int, replica: int) -> bool:
        if self.known_down[instance][replica] > self.now:
            return False
        if self.load.way is Way.IGNORE:
            return True
        return self.trackers[instance].admits(str(replica), self.now)

    def _reach(self, call: _Call) -> None:
        replica = self.replicas[call.replica]
        if replica.down_until > self.now:
            self.known_down[call.instance][call.replica] = self.now + 0.5
            self._answer(call, False)
        elif replica.running < SLOTS:
            self._work(call)
        elif len(replica.waiting) < (WAITING if self.now < SHRINK_AT_S else FEW_WAITING):
            replica.waiting.append(call)
        else:
            self._reject(call, replica)

    def _reject(self, call: _Call, replica: _Replica) -> None:
        self.figures.rejected += 1
        replica.rejections.append(self.now)
        while replica.rejections[0] < self.now - 1.0:
            replica.rejections.popleft()
        if self.now >= BRITTLE_AT_S and len(replica.rejections) > REFUSALS_PER_S:
            self._fall(replica)
        self.at(self.now + WAY_S, lambda: self._rejected(call))

    def _fall(self, replica: _Replica) -> None:
        self.figures.falls += 1
        replica.down_until = self.now + DOWN_S
        replica.rejections.clear()
        replica.waiting.clear()
        replica.running = 0

    def _rejected(self, call: _Call) -> None:
        name, tracker = str(call.replica), self.trackers[call.instance]
        self._tell(tracker, name)
        tracker.note_refused(name, call.sent_at, self.now)
        self._answer(call, False)

    def _tell(self, tracker: BrittleTracker, name: str) -> None:
        if self.now >= BRITTLE_AT_S:
            tracker.record(name, REFUSALS_PER_S, self.now)

    def _work(self, call: _Call) -> None:
        replica = self.replicas[call.replica]
        replica.running += 1
        down_until = replica.down_until
        done_at = self.now + self.random.uniform(*WORK_S)
        self.at(done_at, lambda: self._done(call, replica, down_until))

    def _done(self, call: _Call, replica: _Replica, down_until: float) -> None:
        if replica.down_until != down_until:
            self._answer(call, False, may_retry=False)
            return
        replica.running -= 1
        if replica.waiting:
            self._work(replica.waiting.popleft())
        self._tell(self.trackers[call.instance], str(call.replica))
        self._answer(call, True)

    def _answer(self, call: _Call, served: bool, may_retry: bool = True) -> None:
        self.sent[call.instance][call.replica] -= 1
        self.trackers[call.instance].end(str(call.replica))
        if served:
            self.served += call.came_at >= SHRINK_AT_S
        elif may_retry and call.attempts < ATTEMPTS:
            self._place(call)


def play(load: BrittleLoad) -> BrittleFigures:
    """Play one load and return what came of it."""
    return _Play(load).run()
