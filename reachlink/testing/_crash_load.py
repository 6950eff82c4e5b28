"""Replicas that crash under some requests, and by themselves, in simulated time.

Entry instances send streams to replicas. Some requests crash whatever begins them and come
again and again, now and then several copies at once at different instances; replicas crash
by themselves besides. A stream whose replica crashed goes on at another one, and callers
whose stream broke come again at times. What an instance found is known to the others after
a delay. Who is held is judged in one of several ways.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from random import Random

from reachlink.quarantine import Involvement, crashes_of, judge
from reachlink.upstreams import RequestFeatures

LENGTH_S = 300.0
# Time until the others know what one found, in seconds: a note and what is looked at before.
TOLD_AFTER_S = 0.1
# Mean length of a stream, time until its first event, and until a replica is back, in seconds.
STREAM_S = 6.0
FIRST_EVENT_S = 0.6
BACK_AFTER_S = 3.0
# How often a request that crashes replicas comes, in seconds, and its copies at one time.
DEADLY_EVERY_S = 1.4
# Share of callers that come again after their stream broke, and of streams with a copy.
COME_AGAIN = 0.7
COPIED = 0.6

Way = Callable[[list[Involvement]], set[int]]


def count_alone(bound: float) -> Way:
    """Return the way that counts crashes of each request and looks at nothing else."""

    def held(seen: list[Involvement]) -> set[int]:
        against: dict[int, int] = {}
        for crash in crashes_of(seen):
            for fingerprint in crash.weights:
                against[fingerprint] = against.get(fingerprint, 0) + 1
        return {f for f, count in against.items() if count >= bound}

    return held


def blame(bound: float) -> Way:
    """Return the way that lets one request explain a crash."""
    return lambda seen: set(judge(seen, bound))


@dataclass(slots=True, frozen=True)
class Load:
    """What is played.

    Attributes
    ----------
    instances, replicas : int
        How many there are.
    streams_per_s : float
        Streams that begin a second.
    deadly : int
        Requests that crash replicas.
    copies : int
        Copies of such a request that come at one time.
    crashes_per_s : float
        Crashes of replicas by themselves a second.
    shared : bool
        Whether instances tell each other.
    """

    instances: int
    replicas: int
    streams_per_s: float
    deadly: int = 1
    copies: int = 1
    crashes_per_s: float = 0.0
    shared: bool = True


@dataclass
class _Run:
    fingerprint: int
    instance: int
    sent_at: float
    first_at: float


@dataclass
class _World:
    load: Load
    way: Way
    random: Random
    queue: list[tuple[float, int, str, object]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=itertools.count)
    runs: dict[int, list[_Run]] = field(default_factory=dict)
    down: set[int] = field(default_factory=set)
    # What each instance knows, and whom it holds by that.
    known: list[list[Involvement]] = field(default_factory=list)
    held: list[set[int]] = field(default_factory=list)
    lost: int = 0
    innocents: set[int] = field(default_factory=set)
    held_innocents: set[int] = field(default_factory=set)
    refused: int = 0

    def at(self, when: float, what: str, about: object = None) -> None:
        """Have something happen."""
        heapq.heappush(self.queue, (when, next(self.order), what, about))

    def play(self) -> None:
        """Play the load to its end."""
        load = self.load
        self.runs = {replica: [] for replica in range(load.replicas)}
        self.known = [[] for _ in range(load.instances)]
        self.held = [set() for _ in range(load.instances)]
        self.at(0.0, "stream")
        for deadly in range(1, load.deadly + 1):
            self.at(self.random.random() * DEADLY_EVERY_S, "deadly", deadly)
        if load.crashes_per_s:
            self.at(self.random.expovariate(load.crashes_per_s), "crash")
        while self.queue and self.queue[0][0] < LENGTH_S:
            now, _, what, about = heapq.heappop(self.queue)
            getattr(self, f"_on_{what}")(now, about)

    def _on_stream(self, now: float, about: object) -> None:
        fingerprint = self.random.getrandbits(60) + 1000
        self.innocents.add(fingerprint)
        self._send(now, fingerprint)
        self.at(now + self.random.expovariate(self.load.streams_per_s), "stream")

    def _on_deadly(self, now: float, fingerprint: int) -> None:
        for _ in range(self.load.copies):
            self._send(now, fingerprint)
        self.at(now + self.random.expovariate(1.0 / DEADLY_EVERY_S), "deadly", fingerprint)

    def _on_crash(self, now: float, about: object) -> None:
        self._crash(now, self.random.randrange(self.load.replicas), deadly=False)
        self.at(now + self.random.expovariate(self.load.crashes_per_s), "crash")

    def _on_again(self, now: float, fingerprint: int) -> None:
        self._send(now, fingerprint)

    def _send(self, now: float, fingerprint: int) -> None:
        instance = self.random.randrange(self.load.instances)
        if fingerprint in self.held[instance]:
            if fingerprint in self.innocents:
                self.refused += 1
                self.held_innocents.add(fingerprint)
            return
        up = [r for r in range(self.load.replicas) if r not in self.down]
        if not up:
            return
        replica = self.random.choice(up)
        run = _Run(fingerprint, instance, now, now + FIRST_EVENT_S * self.random.random() * 2.0)
        self.runs[replica].append(run)
        if fingerprint in self.innocents:
            ends = now + self.random.expovariate(1.0 / STREAM_S)
            self.at(max(ends, run.first_at), "end", (replica, run))
        else:
            self.at(now + 0.1, "begin", (replica, run))

    def _on_begin(self, now: float, about: tuple[int, _Run]) -> None:
        replica, run = about
        if run in self.runs[replica] and run.fingerprint not in self.held[run.instance]:
            self._crash(now, replica, deadly=True)

    def _on_end(self, now: float, about: tuple[int, _Run]) -> None:
        replica, run = about
        if run in self.runs[replica]:
            self.runs[replica].remove(run)
            for known in self.known:
                known[:] = [i for i in known if i.features.fingerprint != run.fingerprint]

    def _crash(self, now: float, replica: int, deadly: bool) -> None:
        if replica in self.down:
            return
        self.lost += deadly
        self.down.add(replica)
        self.at(now + BACK_AFTER_S, "back", replica)
        ended, self.runs[replica] = self.runs[replica], []
        for run in ended:
            begun = now >= run.first_at and run.fingerprint in self.innocents
            self._note(now, replica, run, begun)
            if run.fingerprint not in self.innocents:
                continue
            if begun and self.random.random() < COPIED:
                self.at(now + 0.05, "again", run.fingerprint)
            elif self.random.random() < COME_AGAIN:
                self.at(now + 0.5, "again", run.fingerprint)

    def _note(self, now: float, replica: int, run: _Run, begun: bool) -> None:
        features = RequestFeatures(run.fingerprint)
        note = Involvement(next(self.order), features, str(replica), run.sent_at, now, begun)
        self.at(now, "learn", (run.instance, note))
        if self.load.shared:
            for other in range(self.load.instances):
                if other != run.instance:
                    self.at(now + TOLD_AFTER_S, "learn", (other, note))

    def _on_learn(self, now: float, about: tuple[int, Involvement]) -> None:
        instance, note = about
        self.known[instance].append(note)
        self.held[instance] = self.way(self.known[instance])
        self.held_innocents |= self.held[instance] & self.innocents

    def _on_back(self, now: float, replica: int) -> None:
        self.down.discard(replica)


def measure(load: Load, way: Way, shared: bool, seeds: int) -> dict[str, float]:
    """Return the means over some seeds."""
    lost = innocents = refused = 0.0
    for seed in range(seeds):
        world = _World(replace(load, shared=shared), way, Random(seed))
        world.play()
        lost += world.lost
        innocents += len(world.held_innocents)
        refused += world.refused
    return {
        "replicas_lost_a_request": round(lost / seeds / max(1, load.deadly), 2),
        "innocents_held": round(innocents / seeds, 2),
        "innocents_refused": round(refused / seeds, 2),
    }
