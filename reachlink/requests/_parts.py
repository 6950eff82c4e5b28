"""Dependencies of the request lifecycle."""

from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from reachlink.kernel import steady_time
from reachlink.membership import LeavingSource
from reachlink.pacing import PacingTracker
from reachlink.quarantine import Quarantine
from reachlink.requests._cold_rates import PlacementDeciders
from reachlink.requests._model import CallerRequest
from reachlink.requests._peer_load import PeerLoad
from reachlink.requests._placement_query import AskCoordinator, decide_here
from reachlink.requests._replica_tracker import ReplicaTracker
from reachlink.requests._shutdown_times import ShutdownTimes
from reachlink.scheduling import SchedulingSettings
from reachlink.upstreams import RelayAdapter, Replica


async def admit_immediately(address: str, max_wait_s: float) -> None:
    """Grant a permit at once; used if no replica has a rate limit."""


class Directory(Protocol):
    """The known replicas and their states, as `ReplicaDirectory` keeps them."""

    @property
    def out_of_service(self) -> Set[str]:
        """Availability zones that are out of service; their replicas get no new requests."""

    @property
    def is_whole(self) -> bool:
        """Whether a complete list of replicas has been received."""

    def live(self, upstream: str) -> list[Replica]:
        """Return the replicas of a service that may get new requests."""

    def find(self, name: str) -> Replica | None:
        """Return a replica by name; None if it is unknown."""

    def may_get_work(self, name: str) -> bool:
        """Return whether a replica may get new requests now."""

    def stays(self, name: str) -> bool:
        """Return whether a replica is present and not known to be leaving."""

    def born(self, name: str) -> int:
        """Return when a replica last started, in Unix milliseconds; 0 if unknown."""

    def staying(self, upstream: str) -> list[Replica]:
        """Return the replicas of a service that are not leaving, in service or not."""

    def cold_s(self, name: str, now: float) -> float:
        """Return the time in seconds until a replica is warm; 0 for a warm one."""

    def get_or_add(self, name: str, upstream: str, zone: str, address: str) -> Replica:
        """Return a replica that another instance has named; add it if it is unknown."""

    def leaving(self, upstream: str, since: float) -> list[str]:
        """Return the replicas of a service found to be leaving since `since`."""

    def mark_gone(self, name: str, now: float) -> bool:
        """Record that a replica is permanently gone; return whether this is new."""

    def mark_leaving(self, name: str, source: LeavingSource, now: float) -> bool:
        """Record that a replica is or seems to be leaving; return whether this is new."""


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Limits on retries by all entry instances together.

    Attributes
    ----------
    share : float
        Allowed retries as a fraction of the first attempts.
    burst : float
        Retries that may be saved up and then be made at one time.
    """

    share: float = 0.1
    burst: float = 20.0


@dataclass(slots=True)
class RunnerParts:
    """Dependencies of `RequestRunner`.

    Attributes
    ----------
    zone : str
        Availability zone of this instance.
    adapter : RelayAdapter
        Client of the replicas.
    directory : Directory
        Known replicas.
    tracker : ReplicaTracker
        Load and health of the replicas, and the requests of this instance at them.
    peer_load : PeerLoad
        Load of the other entry instances at the replicas.
    random : random.Random
        Random number generator, for example for breaking ties.
    silent_zones : callable
        Returns the zones that this instance cannot reach, as far as it can tell.
    shutdown_times : ShutdownTimes
        Expected shutdown times of leaving replicas.
    clock : callable
        Monotonic time in seconds.
    on_outcome : callable
        Called at the end of a request with the request, its outcome code and its duration in
        seconds.
    on_overlap : callable
        Called when two replicas may have worked on one generation for too long.
    retry_limits : RetryLimits
        Limits on retries.
    instance_count : callable
        Returns the number of entry instances that share `retry_limits`.
    on_leaving : callable
        Called with the name of a replica that is or seems to be leaving, and whether the
        replica itself announced it.
    on_gone : callable
        Called with the name of a replica that is permanently gone.
    cut_off : callable
        Returns whether the zone of this instance is cut off from the other zones.
    ask_coordinator : callable
        Sends a placement query to a coordinator, which knows the load of all instances.
    deciders : callable
        Returns the instances that choose replicas.
    quarantine : Quarantine
        Crashes known to all instances, and the requests held because of them.
    pacing : PacingTracker
        Backoffs and rate limits that the replicas ask for; `adapter` obeys them as well.
    admit : callable
        Waits for a permit at a replica with a rate limit; takes the address of the replica and
        the longest wait in seconds.
    scheduling : SchedulingSettings
        Scheduling features that the deployment enables.
    """

    zone: str
    adapter: RelayAdapter
    directory: Directory
    tracker: ReplicaTracker
    peer_load: PeerLoad
    random: Random
    on_outcome: Callable[[CallerRequest, str, float], None]
    on_overlap: Callable[[], None] = lambda: None
    retry_limits: RetryLimits = RetryLimits()
    instance_count: Callable[[], int] = lambda: 1
    on_leaving: Callable[[str, bool], None] = lambda name, said: None
    on_gone: Callable[[str], None] = lambda name: None
    cut_off: Callable[[], bool] = lambda: False
    silent_zones: Callable[[], Set[str]] = frozenset
    shutdown_times: ShutdownTimes = field(default_factory=ShutdownTimes)
    clock: Callable[[], float] = steady_time
    ask_coordinator: AskCoordinator = decide_here
    deciders: Callable[[], PlacementDeciders] = lambda: PlacementDeciders("", ("",))
    quarantine: Quarantine = field(default_factory=lambda: Quarantine(Random()))
    pacing: PacingTracker = field(default_factory=lambda: PacingTracker(Random()))
    admit: Callable[[str, float], Awaitable[None]] = admit_immediately
    scheduling: SchedulingSettings = SchedulingSettings()
