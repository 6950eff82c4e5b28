"""What every placement policy takes and gives."""

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
    """A request that looks for a replica.

    Attributes
    ----------
    profile : MemoryProfile
        Forecast of its own memory.
    prompt_tokens : int
        Size of the prompt.
    expected_tokens : float
        Expected size of the answer.
    link_cost_ms : float
        Cost of a replica in another availability zone.
    spill : bool
        Whether another availability zone may serve it.
    """

    profile: MemoryProfile
    prompt_tokens: int
    expected_tokens: float
    link_cost_ms: float = 0.0
    spill: bool = True


@dataclass(slots=True)
class Candidate:
    """A live replica as this instance sees it now.

    Attributes
    ----------
    name : str
        The replica.
    local : bool
        Whether it is in this availability zone.
    capacity_tokens, max_batch : int
        Its memory and batch limit; 0 while unknown.
    known : MemoryProfile
        Forecast of what entry instances have placed there.
    own_in_flight : int
        Requests in flight from this instance.
    running : float
        Requests in flight from all instances, as far as known.
    reported_running, reported_waiting : int
        From the lagging report.
    reported_used_tokens : int
        Memory held plus memory waited for, from the lagging report.
    report_age_s : float
        Age of that report; infinite if there is none.
    step_ms : float
        Duration of a decoding step, from the report or the streams.
    cached_tokens : int
        Part of the prompt that its prefix cache may hold.
    allowance : float
        Share of its usual load that it may get, less than 1 while it comes
        back after a failure.
    """

    name: str
    local: bool = True
    capacity_tokens: int = 0
    max_batch: int = 0
    known: MemoryProfile = field(default_factory=MemoryProfile)
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
    """A verdict with what led to it.

    Attributes
    ----------
    verdict : Verdict
        What to do.
    replica : str
        Where, for `Verdict.PLACE`.
    reason : str
        One phrase for operators.
    scores : tuple of (str, float, float)
        For each candidate its name, forecast peak as a share of its memory,
        and cost in milliseconds.
    """

    verdict: Verdict
    replica: str = ""
    reason: str = ""
    scores: tuple[tuple[str, float, float], ...] = ()


class PlacementPolicy(ABC):
    """Chooses among candidates; pure but for what it remembers of its own choices."""

    @abstractmethod
    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate], random: Random
    ) -> Decision:
        """Return where a request runs, or that it waits.

        Parameters
        ----------
        request : PlacementRequest
            The request.
        candidates : sequence of Candidate
            Live replicas that can serve it; may be empty.
        random : random.Random
            Source of tie-breaks.
        """


POLICIES: Registry[Callable[[], PlacementPolicy]] = Registry("placement policy")
