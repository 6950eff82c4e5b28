"""Simulation of plain calls at replicas some of which are slow, placed by delayed reports."""

from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from reachlink.scheduling import Need, Pace, ReplicaOption
from reachlink.scheduling.tests.fleet import Strategy, decayed

SLOTS, WORK_S, CALLS_PER_S, REPORT_INTERVAL_S = 6, 0.1, 120.0, 0.01
SLOW, SLOW_PHASE_S, SLOW_SHARE, LATE_AFTER_S = 2.5, 0.6, 0.15, 0.25


@dataclass
class CallSimulation:
    """Simulation of four replicas of six slots each, half of which are free on average.

    The first replica is always slow (`one_slow`), or each has short slow phases
    (`with_slow_phases`).
    """

    strategy: Strategy
    instances: int
    report_age_s: float
    seed: int
    one_slow: bool = False
    with_slow_phases: bool = False
    replicas: int = 4
    length_s: float = 30.0
    reported_paces: dict[int, float] = field(default_factory=dict)
    late: int = 0
    counts: list[int] = field(default_factory=list)

    def run(self) -> "CallSimulation":
        random = Random(self.seed)
        self.counts = [0] * self.replicas
        slow_phases = [self._slow_phases(random) for _ in self.counts]
        # Time at which each slot becomes free, and at which each call ends, by replica.
        free = [[0.0] * SLOTS for _ in self.counts]
        ends: list[list[float]] = [[] for _ in self.counts]
        reports: list[list[ReplicaOption]] = []
        sent: list[list[tuple[float, int]]] = [[] for _ in range(self.instances)]
        now = 0.0
        while now < self.length_s:
            now += random.expovariate(CALLS_PER_S)
            while len(reports) * REPORT_INTERVAL_S <= now:
                at = len(reports) * REPORT_INTERVAL_S
                reports.append(
                    [self._option(n, ends[n], slow_phases[n], at) for n in range(self.replicas)]
                )
            then = max(0.0, now - self.report_age_s)
            instance = random.randrange(self.instances)
            own = sent[instance] = [s for s in sent[instance] if s[0] >= then]
            name = self.strategy(
                self._known_options(reports[int(then / REPORT_INTERVAL_S)], own, now - then),
                Need(),
                random,
            )
            assert name is not None
            replica = int(name)
            own.append((now, replica))
            starts_at = max(now, heappop(free[replica]))
            ends[replica].append(
                starts_at + WORK_S * self._pace(replica, slow_phases[replica], starts_at)
            )
            heappush(free[replica], ends[replica][-1])
            self.counts[replica] += 1
            self.late += ends[replica][-1] - now >= LATE_AFTER_S
        return self

    @property
    def late_share(self) -> float:
        """Share of the calls that took 2.5 times their nominal duration or more."""
        return self.late / sum(self.counts)

    def _slow_phases(self, random: Random) -> list[float]:
        """Return the times at which the slow phases of a replica begin, in seconds."""
        found, at = [], 0.0
        while at < 2 * self.length_s and self.with_slow_phases:
            at += random.expovariate(SLOW_SHARE / (1 - SLOW_SHARE) / SLOW_PHASE_S)
            found.append(at)
            at += SLOW_PHASE_S
        return found

    def _momentary_factor(self, slow_phases: list[float], now: float) -> float:
        return SLOW if any(at <= now < at + SLOW_PHASE_S for at in slow_phases) else 1.0

    def _pace(self, replica: int, slow_phases: list[float], now: float) -> float:
        steady = SLOW if self.one_slow and replica == 0 else 1.0
        return steady * self._momentary_factor(slow_phases, now)

    def _option(
        self, replica: int, ends: list[float], slow_phases: list[float], now: float
    ) -> ReplicaOption:
        ends[:] = [at for at in ends if at > now]
        steady = SLOW if self.one_slow and replica == 0 else 1.0
        pace = Pace(
            self.reported_paces.get(replica, steady),
            self._momentary_factor(slow_phases, now),
            SLOW,
            SLOW_SHARE,
            0.0,
        )
        return ReplicaOption(str(replica), True, len(ends), SLOTS, pace=pace)

    def _known_options(
        self, reports: list[ReplicaOption], own: list[tuple[float, int]], age_s: float
    ) -> list[ReplicaOption]:
        counts = [sum(replica == n for _, replica in own) for n in range(self.replicas)]
        return [
            replace(o, running=o.running + count, pace=decayed(o.pace or Pace(), age_s))
            for o, count in zip(reports, counts, strict=True)
        ]
