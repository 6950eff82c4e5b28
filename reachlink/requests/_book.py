"""What an entry instance knows of each replica's load and health."""

from dataclasses import dataclass, field

from reachlink.placement import Health
from reachlink.upstreams import LoadSample

# A load sample says little after this many seconds.
SAMPLE_KEPT_S = 1.0


@dataclass(slots=True, eq=False)
class Flight:
    """A request at a replica, with the memory that it is expected to need, in tokens."""

    request_id: str
    tokens: int


@dataclass(slots=True)
class ReplicaState:
    """Knowledge of one replica.

    Attributes
    ----------
    flights : set of Flight
        This instance's own requests there.
    health : Health
        Trust in it.
    sample : LoadSample, optional
        Load that it told last, at monotonic time `sampled_at`.
    own_at_sample : int
        How many flights this instance had there then.
    others_tokens, others_running : int
        What the other entry instances have there.
    """

    flights: set[Flight] = field(default_factory=set)
    health: Health = field(default_factory=Health)
    sample: LoadSample | None = None
    sampled_at: float = float("-inf")
    own_at_sample: int = 0
    others_tokens: int = 0
    others_running: int = 0

    @property
    def own_tokens(self) -> int:
        """Memory that this instance's own requests need, in tokens."""
        return sum(flight.tokens for flight in self.flights)

    def running(self, now: float) -> int:
        """Return how many requests are likely there, waiting ones included."""
        own = len(self.flights)
        told = own + self.others_running
        if self.sample is None or now - self.sampled_at > SAMPLE_KEPT_S:
            return told
        others = self.sample.running + self.sample.waiting - self.own_at_sample
        return max(told, own + others)

    def take_sample(self, sample: LoadSample, now: float) -> None:
        """Note the load that the replica told."""
        self.sample, self.sampled_at = sample, now
        self.own_at_sample = len(self.flights)


class ReplicaBook:
    """States of all replicas by name."""

    def __init__(self) -> None:
        self._states: dict[str, ReplicaState] = {}

    def state(self, name: str) -> ReplicaState:
        """Return the state of a replica, a fresh one where it is new."""
        found = self._states.get(name)
        if found is None:
            found = self._states[name] = ReplicaState()
        return found

    def keep_only(self, names: set[str]) -> None:
        """Forget replicas that are gone and carry nothing."""
        for name in [n for n, s in self._states.items() if n not in names and not s.flights]:
            del self._states[name]
