"""What the way of a request works with."""

from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from reachlink.kernel import steady_time
from reachlink.membership import LeavingSource
from reachlink.pacing import PacingTracker
from reachlink.quarantine import Quarantine
from reachlink.requests._book import ReplicaBook
from reachlink.requests._cold_rates import Deciders
from reachlink.requests._departures import Departures
from reachlink.requests._model import CallerRequest
from reachlink.requests._place_question import AskCoordinator, decide_here
from reachlink.requests._shared_load import SharedLoad
from reachlink.scheduling import SchedulingSettings
from reachlink.upstreams import RelayAdapter, Replica


async def admit_immediately(address: str, patience_s: float) -> None:
    """Let a request go: no replica has a limit."""


class Directory(Protocol):
    """Which replicas exist and may get new work."""

    @property
    def out_of_service(self) -> Set[str]:
        """Availability zones whose replicas get nothing more."""

    @property
    def is_whole(self) -> bool:
        """Whether a whole list of replicas was taken once."""

    def live(self, upstream: str) -> list[Replica]:
        """Return the replicas of a service that may get new work."""

    def find(self, name: str) -> Replica | None:
        """Return a replica by name."""

    def may_get_work(self, name: str) -> bool:
        """Return whether a replica may get new work now."""

    def stays(self, name: str) -> bool:
        """Return whether a replica is there and not known to leave."""

    def born(self, name: str) -> int:
        """Return when a replica started last, in Unix milliseconds; 0 for unknown."""

    def staying(self, upstream: str) -> list[Replica]:
        """Return the replicas of a service that do not leave, in service or not."""

    def cold_s(self, name: str, now: float) -> float:
        """Return how long a replica is still cold, in seconds; 0 for a warm one."""

    def know(self, name: str, upstream: str, zone: str, address: str) -> Replica:
        """Return a replica that another instance has named, noting it where it is new."""

    def leaving(self, upstream: str, since: float) -> list[str]:
        """Return the replicas of a service that were found to leave since then."""

    def mark_gone(self, name: str, now: float) -> bool:
        """Note that a replica is gone for good; return whether that is news."""

    def mark_leaving(self, name: str, source: LeavingSource, now: float) -> bool:
        """Note that a replica leaves, or seems to; return whether that is news."""


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """How often requests may be sent again, by all entry instances together.

    Attributes
    ----------
    share : float
        Retries as a share of first attempts.
    burst : float
        Retries beyond that share at one time.
    """

    share: float = 0.1
    burst: float = 20.0


@dataclass(slots=True)
class RunnerParts:
    """What `RequestRunner` works with.

    Attributes
    ----------
    zone : str
        This instance's availability zone.
    adapter : RelayAdapter
        Speaks with replicas.
    directory : Directory
        The replicas.
    book : ReplicaBook
        What is known of them.
    shared : SharedLoad
        What the other entry instances have there.
    random : random.Random
        Source of tie-breaks.
    silent_zones : callable
        Returns the zones that this instance seems to be cut off from.
    departures : Departures
        When leaving replicas will be gone.
    clock : callable
        Monotonic time in seconds.
    on_outcome : callable
        Called with the request, outcome code and duration in seconds.
    retry_limits : RetryLimits
        How often requests may be sent again.
    instance_count : callable
        Returns how many entry instances share what `retry_limits` allows.
    on_leaving : callable
        Called with the name of a replica that leaves or seems to, and whether it said so.
    on_gone : callable
        Called with the name of a replica that is gone for good.
    cut_off : callable
        Returns whether this instance's zone is cut off from the others.
    ask_coordinator : callable
        Asks who knows what all instances have at the replicas.
    deciders : callable
        Returns the instances that choose replicas.
    quarantine : Quarantine
        What all instances know of crashes.
    pacing : PacingTracker
        What the replicas ask of who sends to them; `adapter` keeps to it, too.
    admit : callable
        Waits for a request's permit at a replica with a limit, by its address, for as many
        seconds at the most.
    scheduling : SchedulingSettings
        Which parts of scheduling the deployment asks for.
    """

    zone: str
    adapter: RelayAdapter
    directory: Directory
    book: ReplicaBook
    shared: SharedLoad
    random: Random
    on_outcome: Callable[[CallerRequest, str, float], None]
    retry_limits: RetryLimits = RetryLimits()
    instance_count: Callable[[], int] = lambda: 1
    on_leaving: Callable[[str, bool], None] = lambda name, said: None
    on_gone: Callable[[str], None] = lambda name: None
    cut_off: Callable[[], bool] = lambda: False
    silent_zones: Callable[[], Set[str]] = frozenset
    departures: Departures = field(default_factory=Departures)
    clock: Callable[[], float] = steady_time
    ask_coordinator: AskCoordinator = decide_here
    deciders: Callable[[], Deciders] = lambda: Deciders("", ("",))
    quarantine: Quarantine = field(default_factory=lambda: Quarantine(Random()))
    pacing: PacingTracker = field(default_factory=lambda: PacingTracker(Random()))
    admit: Callable[[str, float], Awaitable[None]] = admit_immediately
    scheduling: SchedulingSettings = SchedulingSettings()
