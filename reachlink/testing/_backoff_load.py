"""Replicas that ask for a backoff, and what reaches them during it and after, in simulated time.

Entry instances send short calls to replicas, each to the one where it has the fewest. For
a second some replicas turn all calls away and ask for a backoff; one that is full does the same.
What an instance does with that is one of several ways.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from reachlink.pacing import BackoffTracker

LENGTH_S = 12.0
# When some replicas begin to turn all calls away, and for how long, in seconds.
OVERLOADED_AT_S = 2.0
OVERLOADED_S = 1.0
# The backoff that they ask for, in seconds.
BACKOFF_S = 3.0
# How long a replica works on a call and how long a call is on its way, in seconds.
WORK_S = 0.09
WAY_S = 0.002
# Calls that a replica works on at once, and as many wait there at the most.
SLOTS = 6
QUEUED = 6
# How long a call waits for a replica not in backoff, and how often it looks, in seconds.
PATIENCE_S = 0.15
LOOK_S = 0.02
ATTEMPTS = 2
# What is counted as sent into a backoff: later than this after it was asked for, in seconds.
UNDER_WAY_S = 0.5
# Time until all know what one was told, where instances tell each other, in seconds.
TOLD_AFTER_S = 0.1
# Length of the windows in which arrivals after a backoff are counted, in seconds.
WINDOW_S = 0.1


class ForgetBackoffs(BackoffTracker):
    """Remembers nothing: the next call is sent as if no backoff had been asked for."""

    def record(self, address: str, wait_s: float, now: float) -> None:
        """Drop what a replica asks for."""


class ExactBackoffs(BackoffTracker):
    """Keeps to the moment and no longer: all who waited come back at once."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._until: dict[str, float] = {}

    def record(self, address: str, wait_s: float, now: float) -> None:
        """Take that a replica wants nothing more for some seconds."""
        self._until[address] = max(now + wait_s, self._until.get(address, 0.0))

    def admits(self, address: str, now: float) -> bool:
        """Return whether the backoff is over."""
        return now >= self._until.get(address, 0.0)


class TrialBackoffs(BackoffTracker):
    """One first and then more and more, from the exact end on."""

    def record(self, address: str, wait_s: float, now: float) -> None:
        """Take that a replica wants nothing more for some seconds."""
        super().record(address, wait_s, now)
        self._backoffs[address].until = min(self._backoffs[address].until, now + wait_s)


class SpreadBackoffs(BackoffTracker):
    """Draws the backoff out by chance, and then sends as usual."""

    def admits(self, address: str, now: float) -> bool:
        """Return whether the backoff is over."""
        return self.remaining_s(address, now) == 0.0


@dataclass(slots=True, frozen=True)
class BackoffLoad:
    """What is played.

    Attributes
    ----------
    instances, replicas : int
        How many there are.
    overloaded : int
        How many of the replicas turn all calls away for a while.
    share : float
        Calls as a share of what all replicas can do.
    one_moment : bool
        Whether all are asked to wait for the same moment, and not each for as long.
    told_on : bool
        Whether each instance keeps to what any of them was asked for.
    """

    instances: int
    replicas: int
    overloaded: int
    share: float = 0.7
    one_moment: bool = False
    told_on: bool = False


@dataclass(slots=True)
class BackoffFigures:
    """What came of it.

    Attributes
    ----------
    into_backoffs : int
        Most calls that one instance sent to one replica within a backoff that it was asked
        for, later than half a second after that.
    turned_away : int
        Calls that replicas turned away.
    peak : float
        Most calls that reached a replica in a tenth of the second after its first backoff
        ended, as a multiple of what it can do in that time.
    refused : float
        Share of calls that were refused.
    """

    into_backoffs: int = 0
    turned_away: int = 0
    peak: float = 0.0
    refused: float = 0.0


@dataclass(slots=True)
class _Replica:
    overloaded: bool
    running: int = 0
    ends: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _Call:
    instance: int
    came_at: float
    tried: set[int] = field(default_factory=set)


class _Play:
    """One play of a load."""

    def __init__(
        self, load: BackoffLoad, way: Callable[[Random], BackoffTracker], seed: int
    ) -> None:
        self._load = load
        self._random = Random(seed)
        self._books = [way(Random(seed * 1000 + n)) for n in range(load.instances)]
        self._replicas = [_Replica(n < load.overloaded) for n in range(load.replicas)]
        self._own = [[0] * load.replicas for _ in range(load.instances)]
        # The backoffs that an instance was asked for by a replica: from when, until when.
        self._asked: dict[tuple[int, int], list[tuple[float, float]]] = {}
        self._into: dict[tuple[int, int, float], int] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._calls = self._refused = self._turned_away = 0

    def run(self) -> BackoffFigures:
        rate = self._load.share * self._load.replicas * SLOTS / WORK_S
        at = 0.0
        while (at := at + self._random.expovariate(rate)) < LENGTH_S:
            call = _Call(self._random.randrange(self._load.instances), at)
            self._calls += 1
            self._at(at, partial(self._place, call))
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        most = max(self._into.values(), default=0)
        refused = round(self._refused / self._calls, 4)
        return BackoffFigures(most, self._turned_away, self._peak(), refused)

    def _at(self, at: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act))

    def _place(self, call: _Call, now: float) -> None:
        book, own = self._books[call.instance], self._own[call.instance]
        free = [
            n
            for n in range(self._load.replicas)
            if n not in call.tried and book.admits(str(n), now)
        ]
        if free and len(call.tried) < ATTEMPTS:
            chosen = min(free, key=lambda n: (own[n], self._random.random()))
            book.note_sent(str(chosen), now)
            own[chosen] += 1
            self._at(now + WAY_S, lambda at: self._arrive(call, chosen, at))
        elif len(call.tried) < ATTEMPTS and now < call.came_at + PATIENCE_S:
            self._at(now + LOOK_S, lambda at: self._place(call, at))
        else:
            self._refused += 1

    def _arrive(self, call: _Call, chosen: int, now: float) -> None:
        replica = self._replicas[chosen]
        replica.arrivals.append(now)
        self._note_into_backoff(call.instance, chosen, now)
        busy = OVERLOADED_AT_S <= now < OVERLOADED_AT_S + OVERLOADED_S and replica.overloaded
        if busy or replica.running >= SLOTS + QUEUED:
            self._turned_away += 1
            self._at(now + WAY_S, lambda at: self._turned(call, chosen, at))
            return
        # Calls are worked on in turn, by as many workers as there are slots.
        replica.running += 1
        replica.ends = [end for end in replica.ends if end > now]
        starts = now if len(replica.ends) < SLOTS else sorted(replica.ends)[-SLOTS]
        replica.ends.append(starts + WORK_S)
        self._at(starts + WORK_S, lambda at: self._finish(call, chosen, at))

    def _finish(self, call: _Call, chosen: int, now: float) -> None:
        self._replicas[chosen].running -= 1
        self._at(now + WAY_S, lambda at: self._answered(call, chosen, at))

    def _answered(self, call: _Call, chosen: int, now: float) -> None:
        self._own[call.instance][chosen] -= 1
        self._books[call.instance].note_answer(str(chosen), now)

    def _turned(self, call: _Call, chosen: int, now: float) -> None:
        self._own[call.instance][chosen] -= 1
        call.tried.add(chosen)
        wait_s = BACKOFF_S
        if self._load.one_moment:
            wait_s = max(0.1, OVERLOADED_AT_S + OVERLOADED_S + BACKOFF_S - now)
        self._asked.setdefault((call.instance, chosen), []).append((now, now + wait_s))
        self._tell(call.instance, chosen, wait_s, now)
        if self._load.told_on:
            for other in set(range(self._load.instances)) - {call.instance}:
                self._tell(other, chosen, wait_s - TOLD_AFTER_S, now + TOLD_AFTER_S)
        self._place(call, now)

    def _tell(self, instance: int, chosen: int, wait_s: float, at: float) -> None:
        book = self._books[instance]
        self._at(at, lambda now: book.record(str(chosen), wait_s, now))

    def _note_into_backoff(self, instance: int, chosen: int, now: float) -> None:
        for asked_at, until in self._asked.get((instance, chosen), ()):
            if asked_at + UNDER_WAY_S < now < until:
                key = (instance, chosen, asked_at)
                self._into[key] = self._into.get(key, 0) + 1

    def _peak(self) -> float:
        most = 0.0
        usual = SLOTS / WORK_S * WINDOW_S
        for chosen, replica in enumerate(self._replicas):
            ends = [
                until
                for (_, n), backoffs in self._asked.items()
                if n == chosen
                for _, until in backoffs
            ]
            if not ends or not replica.overloaded:
                continue
            first = min(ends)
            for start in range(20):
                since = first + start * WINDOW_S / 2
                count = sum(since <= at < since + WINDOW_S for at in replica.arrivals)
                most = max(most, count / usual)
        return round(most, 2)


def play(load: BackoffLoad, way: Callable[[Random], BackoffTracker], seed: int) -> BackoffFigures:
    """Play a load once and return what came of it."""
    return _Play(load, way, seed).run()
