"""Generations in flight from this instance, and what is known of each replica."""

from dataclasses import dataclass, field

from reachlink.lengths import LengthEstimator, LengthKey
from reachlink.placement import UNLIMITED, CacheIndex, Candidate, Health, MemoryProfile
from reachlink.upstreams import LoadReport, Replica

REFRESH_S = 0.25


@dataclass(slots=True, eq=False)
class InFlight:
    """One generation in flight."""

    key: LengthKey
    replica: str
    prompt_tokens: int
    max_tokens: int = UNLIMITED
    tokens: int = 0
    reported_tokens: int = 0


@dataclass(slots=True)
class ReplicaState:
    """What this instance knows of one replica."""

    report: LoadReport = field(default_factory=LoadReport)
    report_at: float = float("-inf")
    health: Health = field(default_factory=Health)
    cache: CacheIndex = field(default_factory=CacheIndex)
    in_flight: set[InFlight] = field(default_factory=set)
    profile: MemoryProfile = field(default_factory=MemoryProfile)
    profile_at: float = float("-inf")


class Ledger:
    """Own generations and replica states.

    Parameters
    ----------
    lengths : LengthEstimator
        Learns from every generation.
    """

    def __init__(self, lengths: LengthEstimator) -> None:
        self._lengths = lengths
        self._replicas: dict[str, ReplicaState] = {}

    @property
    def in_flight(self) -> int:
        """Generations in flight on all replicas."""
        return sum(len(state.in_flight) for state in self._replicas.values())

    def replica(self, name: str) -> ReplicaState:
        """Return the state of a replica, empty if it is new."""
        state = self._replicas.get(name)
        if state is None:
            state = self._replicas[name] = ReplicaState()
        return state

    def start_again(self, name: str) -> None:
        """Forget what a replica showed in its life before: its cache, counts and failures."""
        before = self._replicas.get(name)
        if before is not None:
            self._replicas[name] = ReplicaState(in_flight=before.in_flight)

    def forget(self, names: set[str]) -> None:
        """Drop replicas that are not among `names` and have nothing in flight."""
        for name in [n for n, s in self._replicas.items() if n not in names and not s.in_flight]:
            del self._replicas[name]

    def place(
        self, key: LengthKey, replica: str, prompt_tokens: int, max_tokens: int = UNLIMITED
    ) -> InFlight:
        """Count a generation in, before it is dispatched."""
        flight = InFlight(key, replica, prompt_tokens, max_tokens)
        state = self.replica(replica)
        state.in_flight.add(flight)
        state.profile.add(self.profile_of(key, prompt_tokens, max_tokens))
        return flight

    def advance(self, flight: InFlight, tokens: int) -> None:
        """Count output tokens of a generation."""
        flight.tokens = tokens
        if tokens >= 2 * flight.reported_tokens + 4:
            self._lengths.observe(flight.key, flight.reported_tokens, tokens, ended=False)
            flight.reported_tokens = tokens

    def finish(self, flight: InFlight, ended: bool) -> None:
        """Count a generation out; `ended` if it came to its own end."""
        state = self.replica(flight.replica)
        state.in_flight.discard(flight)
        state.profile_at = float("-inf")
        if ended or flight.tokens > flight.reported_tokens:
            self._lengths.observe(flight.key, flight.reported_tokens, flight.tokens, ended)

    def profile_of(
        self, key: LengthKey, prompt_tokens: int, max_tokens: int = UNLIMITED
    ) -> MemoryProfile:
        """Return the forecast of a generation that has not begun."""
        curve = self._lengths.curve(key)
        return MemoryProfile.of_generation(curve, prompt_tokens, 0, max_tokens)

    def expected_tokens(self, key: LengthKey) -> float:
        """Return the expected size of an answer."""
        return self._lengths.curve(key).expected_remaining(0)

    def own_profile(self, name: str, now: float) -> MemoryProfile:
        """Return the forecast of what this instance has on a replica."""
        state = self.replica(name)
        if now - state.profile_at > REFRESH_S:
            state.profile = MemoryProfile.total(
                MemoryProfile.of_generation(
                    self._lengths.curve(f.key), f.prompt_tokens, f.tokens, f.max_tokens
                )
                for f in state.in_flight
            )
            state.profile_at = now
        return state.profile

    def candidate(
        self,
        replica: Replica,
        zone: str,
        others: MemoryProfile | None,
        allowance: float,
        blocks: tuple[int, ...],
        now: float,
    ) -> Candidate:
        """Return what placement needs to know of a replica."""
        state = self.replica(replica.name)
        report = state.report
        known = self.own_profile(replica.name, now)
        if others is not None:
            known = known.plus(others)
        age = now - state.report_at
        running = max(known.count, 0.0)
        return Candidate(
            name=replica.name,
            local=replica.availability_zone == zone,
            capacity_tokens=report.kv_capacity_tokens,
            max_batch=report.max_batch,
            forecast=known,
            own_in_flight=len(state.in_flight),
            running=running,
            reported_running=report.running,
            reported_waiting=report.waiting,
            reported_used_tokens=report.kv_used_tokens + report.waiting_tokens,
            report_age_s=age,
            step_ms=report.step_ms,
            cached_tokens=state.cache.cached_tokens(blocks),
            allowance=allowance,
        )
