"""Plain calls at replicas of which some are slow, placed by news of some age."""

from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from reachlink.scheduling import Need, Pace, ReplicaOption
from reachlink.scheduling.tests.fleet import Way, aged

SLOTS, WORK_S, CALLS_PER_S, NEWS_S = 6, 0.1, 120.0, 0.01
SLOW, BAD_S, BAD_SHARE, LATE_S = 2.5, 0.6, 0.15, 0.25


@dataclass
class Calls:
    """A play: four replicas of six slots, half of whose places are free.

    The first is slow for good (`uneven`), or each is slow for moments (`noisy`).
    """

    way: Way
    deciders: int
    age_s: float
    seed: int
    uneven: bool = False
    noisy: bool = False
    replicas: int = 4
    length_s: float = 30.0
    told: dict[int, float] = field(default_factory=dict)
    late: int = 0
    counts: list[int] = field(default_factory=list)

    def play(self) -> "Calls":
        random = Random(self.seed)
        self.counts = [0] * self.replicas
        turns = [self._turns(random) for _ in self.counts]
        # When each slot is free, and when each call ends, by replica.
        free = [[0.0] * SLOTS for _ in self.counts]
        ends: list[list[float]] = [[] for _ in self.counts]
        news: list[list[ReplicaOption]] = []
        sent: list[list[tuple[float, int]]] = [[] for _ in range(self.deciders)]
        now = 0.0
        while now < self.length_s:
            now += random.expovariate(CALLS_PER_S)
            while len(news) * NEWS_S <= now:
                at = len(news) * NEWS_S
                news.append([self._option(n, ends[n], turns[n], at) for n in range(self.replicas)])
            then = max(0.0, now - self.age_s)
            decider = random.randrange(self.deciders)
            own = sent[decider] = [s for s in sent[decider] if s[0] >= then]
            name = self.way(self._seen(news[int(then / NEWS_S)], own, now - then), Need(), random)
            assert name is not None
            replica = int(name)
            own.append((now, replica))
            begins = max(now, heappop(free[replica]))
            ends[replica].append(begins + WORK_S * self._pace(replica, turns[replica], begins))
            heappush(free[replica], ends[replica][-1])
            self.counts[replica] += 1
            self.late += ends[replica][-1] - now >= LATE_S
        return self

    @property
    def late_share(self) -> float:
        """Share of the calls that took 2.5 times the work or more."""
        return self.late / sum(self.counts)

    def _turns(self, random: Random) -> list[float]:
        """Return when the bad moments of a replica begin, in seconds."""
        found, at = [], 0.0
        while at < 2 * self.length_s and self.noisy:
            at += random.expovariate(BAD_SHARE / (1 - BAD_SHARE) / BAD_S)
            found.append(at)
            at += BAD_S
        return found

    def _moment(self, turns: list[float], now: float) -> float:
        return SLOW if any(at <= now < at + BAD_S for at in turns) else 1.0

    def _pace(self, replica: int, turns: list[float], now: float) -> float:
        steady = SLOW if self.uneven and replica == 0 else 1.0
        return steady * self._moment(turns, now)

    def _option(
        self, replica: int, ends: list[float], turns: list[float], now: float
    ) -> ReplicaOption:
        ends[:] = [at for at in ends if at > now]
        steady = SLOW if self.uneven and replica == 0 else 1.0
        pace = Pace(self.told.get(replica, steady), self._moment(turns, now), SLOW, BAD_SHARE, 0.0)
        return ReplicaOption(str(replica), True, len(ends), SLOTS, pace=pace)

    def _seen(
        self, news: list[ReplicaOption], own: list[tuple[float, int]], age_s: float
    ) -> list[ReplicaOption]:
        counts = [sum(replica == n for _, replica in own) for n in range(self.replicas)]
        return [
            replace(o, running=o.running + count, pace=aged(o.pace or Pace(), age_s))
            for o, count in zip(news, counts, strict=True)
        ]
