"""Interface of placement policies, with their inputs and results."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from reachlink.kernel import Registry
from reachlink.placement._profiles import MemoryProfile


class Verdict(Enum):
    """What to do with a request now."""

    PLACE = "place"
    WAIT = "wait"
    NONE_ALIVE = "none_alive"


@dataclass(slots=True, frozen=True)
class PlacementRequest:
    """A request to be placed.

    Attributes
    ----------
    profile : MemoryProfile
        Forecast of the request's own memory.
    prompt_tokens : int
        Size of the prompt, in tokens.
    expected_tokens : float
        Expected size of the answer, in tokens.
    link_cost_ms : float
        Additional cost of a replica in another availability zone, in milliseconds.
    spill : bool
        Whether a replica in another availability zone may serve the request.
    """

    profile: MemoryProfile
    prompt_tokens: int
    expected_tokens: float
    link_cost_ms: float = 0.0
    spill: bool = True


@dataclass(slots=True)
class Candidate:
    """A live replica as this instance currently sees it.

    Attributes
    ----------
    name : str
        Name of the replica.
    local : bool
        Whether it is in this availability zone.
    capacity_tokens : int
        Memory of the replica, in tokens; 0 if unknown.
    max_batch : int
        Maximum batch size; 0 if unknown.
    forecast : MemoryProfile
        Forecast of the generations that entry instances have placed there.
    own_in_flight : int
        Requests in flight from this instance.
    running : float
        Requests in flight from all instances, as far as known.
    reported_running, reported_waiting : int
        Running and waiting requests in the last load report.
    reported_used_tokens : int
        Memory in use plus memory that requests wait for, in the last load report, in tokens.
    report_age_s : float
        Age of that report in seconds; infinite if there is none.
    step_ms : float
        Duration of a decoding step in milliseconds, from the report or the streams; 0 if
        unknown.
    cached_tokens : int
        Tokens of the prompt that the replica's prefix cache may hold.
    allowance : float
        Share of its usual load that the replica may get; less than 1 while it recovers from
        a failure.
    """

    name: str
    local: bool = True
    capacity_tokens: int = 0
    max_batch: int = 0
    forecast: MemoryProfile = field(default_factory=MemoryProfile)
    own_in_flight: int = 0
    running: float = 0.0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_used_tokens: int = 0
    report_age_s: float = float("inf")
    step_ms: float = 0.0
    cached_tokens: int = 0
    allowance: float = 1.0


@dataclass(slots=True, frozen=True)
class Decision:
    """A verdict with its explanation.

    Attributes
    ----------
    verdict : Verdict
        What to do.
    replica : str
        Chosen replica, for `Verdict.PLACE`.
    reason : str
        Short explanation for operators.
    scores : tuple of (str, float, float)
        Name, forecast peak as a share of memory, and cost in milliseconds of each candidate.
    """

    verdict: Verdict
    replica: str = ""
    reason: str = ""
    scores: tuple[tuple[str, float, float], ...] = ()


class PlacementPolicy(ABC):
    """Chooses among candidates; pure except for state about its own choices."""

    @abstractmethod
    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate], random: Random
    ) -> Decision:
        """Return the replica for a request, or that the request waits.

        Parameters
        ----------
        request : PlacementRequest
            Request to be placed.
        candidates : sequence of Candidate
            Live replicas that can serve it; may be empty.
        random : random.Random
            Source of random tie-breaks.
        """


POLICIES: Registry[Callable[[], PlacementPolicy]] = Registry("placement policy")
