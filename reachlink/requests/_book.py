"""Load and health of each replica, as far as an entry instance knows them."""

import zlib
from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from random import Random

import msgspec

from reachlink.placement import Health
from reachlink.requests._load_notes import (
    RESUME_TOLERANCE_S,
    MemoryNote,
    ReplicaNews,
    ReplicaOutcome,
    ReplicaShare,
)
from reachlink.scheduling import PaceTracker
from reachlink.upstreams import LoadSample

# Age in seconds beyond which a load sample is ignored as out of date.
MAX_SAMPLE_AGE_S = 1.0
# Age in seconds beyond which the used memory of a report is ignored as out of date.
MAX_REPORT_AGE_S = 1.0
# How long the allowance that a coordinator sent for a replica is valid, in seconds.
# Coordinators send it about once a second.
MAX_ALLOWANCE_AGE_S = 2.5
# Maximum number of outcomes queued for the next message to a coordinator. With one request
# and one message per second, the queue holds one or two.
MAX_QUEUED_OUTCOMES = 64


@dataclass(slots=True, eq=False)
class Flight:
    """Memory of a replica that a request of this instance, or a copy of its memory, takes.

    It belongs to a running request (`copy` is false), or to a shadow copy or a backup
    (`copy` is true). A request that moves gets a new allocation at its new replica.

    Attributes
    ----------
    request_id : str
        Identifier of the request.
    tokens : int
        Memory that it is expected to need when it ends, in tokens; increases if a
        generation gets longer than expected.
    unread_tokens : int
        Part of the prompt that the replica has not processed yet, in tokens; 0 after the
        first event, and for copies.
    used_tokens : int
        Memory that it takes now, in tokens; increases with each event.
    copy : bool
        Whether it holds only a copy of the memory; never changes.
    gives_way : bool
        Whether it is a shadow copy that is evicted when others need its memory. Set when
        the shadow copy is started while the primary stays; cleared permanently when the
        primary leaves (`ReplicaBook.hold`). Never set for requests and backups.
    arriving : bool
        Whether it is a shadow copy whose first transfer has not ended. Set when the
        shadow copy is started, cleared at the first check after the transfer.
    uncovered : bool
        Whether it is a running generation that no other replica has a copy of, and that
        is long enough to be copied before its replica leaves. Updated at each check.
    stake : int
        Work that is lost if the generation is lost, weighted by risk
        (`GenerationProgress.expected_loss`). Updated at each check.
    joins_at : float, optional
        Monotonic time in seconds at which the generation is expected to resume here
        because its primary leaves. Only for copies.
    body_bytes : int
        Size of the request body, in bytes, which the replica holds until the request ends;
        0 for copies.
    """

    request_id: str
    tokens: int
    unread_tokens: int = 0
    used_tokens: int = 0
    copy: bool = False
    gives_way: bool = False
    arriving: bool = False
    uncovered: bool = False
    stake: int = 0
    joins_at: float | None = None
    body_bytes: int = 0

    @property
    def note(self) -> MemoryNote:
        """Summary of this allocation that is sent to the other instances."""
        key = zlib.crc32(self.request_id.encode())
        return MemoryNote(key=key, tokens=self.used_tokens, stake=self.stake)


@dataclass(slots=True)
class ReplicaState:
    """Load and health of one replica.

    Attributes
    ----------
    flights : set of Flight
        Allocations of this instance's own requests at the replica.
    health : Health
        Health that follows from the outcomes of requests.
    report : ReplicaNews, optional
        Last load report of the replica, which this or another instance read.
    reported_at : float
        Monotonic time in seconds at which `report` was read.
    sample : LoadSample, optional
        Last load sample that the replica sent with an answer.
    sampled_at : float
        Monotonic time in seconds at which `sample` was received.
    own_running_at_sample : int
        Number of this instance's running requests at the replica at `sampled_at`.
    told_allowance : float
        Share of its usual load, from 0 to 1, that the replica may get according to a
        coordinator.
    told_at : float
        Monotonic time in seconds at which `told_allowance` was received.
    """

    flights: set[Flight] = field(default_factory=set)
    health: Health = field(default_factory=Health)
    report: ReplicaNews | None = None
    reported_at: float = float("-inf")
    sample: LoadSample | None = None
    sampled_at: float = float("-inf")
    own_running_at_sample: int = 0
    told_allowance: float = 1.0
    told_at: float = float("-inf")

    @property
    def own_tokens(self) -> int:
        """Memory that own requests need when they end, in tokens, without evictable copies."""
        return sum(flight.tokens for flight in self.flights if not flight.gives_way)

    @property
    def own_used_tokens(self) -> int:
        """Memory that own requests take now, in tokens, without evictable copies."""
        return sum(flight.used_tokens for flight in self.flights if not flight.gives_way)

    @property
    def own_evictable_copies(self) -> tuple[MemoryNote, ...]:
        """Summaries of this instance's own evictable copies."""
        return tuple(flight.note for flight in self.flights if flight.gives_way)

    @property
    def own_unread_tokens(self) -> int:
        """Unprocessed prompt tokens of this instance's own requests."""
        return sum(flight.unread_tokens for flight in self.flights)

    @property
    def own_unreplicated(self) -> tuple[MemoryNote, ...]:
        """Summaries of this instance's own generations that no other replica has a copy of."""
        return tuple(flight.note for flight in self.flights if flight.uncovered)

    @property
    def own_pending_transfers(self) -> int:
        """Number of this instance's copies whose first transfer has not ended."""
        return sum(1 for flight in self.flights if flight.arriving)

    @property
    def own_running(self) -> int:
        """Number of requests of this instance at the replica, without copies."""
        return sum(1 for flight in self.flights if not flight.copy)

    @property
    def answered_at(self) -> float:
        """Monotonic time in seconds of its last report or load sample, whichever is later."""
        return max(self.reported_at, self.sampled_at)

    def next_own_resume_at(self, now: float) -> float | None:
        """Return the monotonic time at which the next of this instance's generations resumes."""
        times = [f.joins_at for f in self.flights if f.joins_at is not None]
        return min((at for at in times if at + RESUME_TOLERANCE_S > now), default=None)

    def allowance_told(self, now: float) -> float:
        """Return the coordinator's allowance, or 1.0 if there is none or it is out of date."""
        return self.told_allowance if now - self.told_at < MAX_ALLOWANCE_AGE_S else 1.0

    def running(self, now: float, known_running: int) -> int:
        """Return an estimate of the number of requests there, including waiting ones.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        known_running : int
            Number of requests that all entry instances, including this one, have there
            according to their messages.
        """
        if self.sample is None or now - self.sampled_at > MAX_SAMPLE_AGE_S:
            return known_running
        others = self.sample.running + self.sample.waiting - self.own_running_at_sample
        return max(known_running, self.own_running + others)

    def has_waiting(self, now: float) -> bool:
        """Return whether a recent load sample of the replica showed waiting requests."""
        if self.sample is None or now - self.sampled_at > MAX_SAMPLE_AGE_S:
            return False
        return self.sample.waiting > 0

    def share(self, name: str, now: float) -> ReplicaShare:
        """Return this instance's usage of the replica, which has the given name."""
        return ReplicaShare(
            replica=name,
            running=self.own_running,
            tokens=self.own_tokens,
            unread_tokens=self.own_unread_tokens,
            used_tokens=self.own_used_tokens,
            copies=self.own_evictable_copies,
            uncovered=self.own_unreplicated,
            arriving=self.own_pending_transfers,
            joins_in_s=time_until(self.next_own_resume_at(now), now),
        )

    def reported_tokens(self, now: float) -> int:
        """Return the used memory in tokens by the last report; 0 if it is out of date."""
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE_S:
            return 0
        return self.report.kv_used_tokens

    def take_report(self, news: ReplicaNews, read_at: float) -> bool:
        """Store a report; return whether it is newer than the stored one."""
        if read_at <= self.reported_at:
            return False
        self.report, self.reported_at = news, read_at
        return True

    def news(self, now: float) -> ReplicaNews | None:
        """Return the last report of the replica with its age as of now."""
        if self.report is None:
            return None
        return msgspec.structs.replace(self.report, age_s=round(now - self.reported_at, 3))

    def take_sample(self, sample: LoadSample, now: float) -> None:
        """Store a load sample that the replica sent."""
        self.sample, self.sampled_at = sample, now
        self.own_running_at_sample = self.own_running


class ReplicaBook:
    """Keeps the states of all replicas by name.

    Parameters
    ----------
    paces : PaceTracker, optional
        Estimates of the replicas' pace; by default a new, empty one.
    """

    def __init__(self, paces: PaceTracker | None = None) -> None:
        self._paces = paces or PaceTracker()
        self._states: dict[str, ReplicaState] = {}
        self._listeners: list[Callable[[], None]] = []
        self._outcomes: deque[ReplicaOutcome] = deque(maxlen=MAX_QUEUED_OUTCOMES)

    @property
    def paces(self) -> PaceTracker:
        """Estimates of the replicas' pace."""
        return self._paces

    def state(self, name: str) -> ReplicaState:
        """Return the state of a replica, creating it for an unknown replica."""
        found = self._states.get(name)
        if found is None:
            found = self._states[name] = ReplicaState()
        return found

    def note_outcome(self, outcome: ReplicaOutcome, now: float, random: Random) -> None:
        """Apply the outcome of a request of this or another instance to a replica's health."""
        health = self.state(outcome.replica).health
        if outcome.good:
            health.on_success(now)
        else:
            health.on_failure(now, random, outcome.answered)

    def keep_outcome(self, outcome: ReplicaOutcome) -> None:
        """Queue the outcome of an own request for the next message to a coordinator."""
        self._outcomes.append(outcome)

    def take_outcomes(self) -> list[ReplicaOutcome]:
        """Return the queued outcomes and clear the queue."""
        outcomes = list(self._outcomes)
        self._outcomes.clear()
        return outcomes

    def add(self, replica: str, flight: Flight) -> None:
        """Add the allocation of a request or a copy to a replica."""
        self.state(replica).flights.add(flight)
        self.touch()

    def remove(self, replica: str, flight: Flight) -> None:
        """Remove an allocation from a replica."""
        self.state(replica).flights.discard(flight)
        self.touch()

    def has_read(self, flight: Flight) -> None:
        """Record that the replica has processed a request's prompt."""
        if flight.unread_tokens:
            flight.unread_tokens = 0
            self.touch()

    def start_again(self, replica: str) -> None:
        """Reset the state of a replica that has restarted, except for its allocations."""
        before = self._states.get(replica)
        if before is not None:
            self._states[replica] = ReplicaState(flights=before.flights)
        self._paces.reset_replica(replica)

    def touch(self) -> None:
        """Call the listeners: something changed that other instances should learn soon."""
        for listener in self._listeners:
            listener()

    def listen(self, listener: Callable[[], None]) -> None:
        """Add a callback for changes that other instances should learn soon."""
        self._listeners.append(listener)

    def forget_gone(self, known: Container[str]) -> None:
        """Drop the states of replicas that are not in `known` and have no allocations."""
        gone = [n for n, s in self._states.items() if n not in known and not s.flights]
        for name in gone:
            del self._states[name]
        self._paces.forget_gone(known)

    def carrying(self) -> list[str]:
        """Return the replicas at which this instance's allocations take memory."""
        return [name for name, state in self._states.items() if state.own_tokens]

    def hold(self, flight: Flight) -> None:
        """Record that a copy is no longer evictable."""
        if flight.gives_way:
            flight.gives_way = False
            self.touch()

    def shares(self, now: float) -> list[ReplicaShare]:
        """Return this instance's usage of each model engine, as of a monotonic time."""
        return [
            state.share(name, now)
            for name, state in self._states.items()
            if any(flight.tokens for flight in state.flights)
        ]


def time_until(at: float | None, now: float) -> float | None:
    """Return the time from `now` until `at` in seconds; both are monotonic times."""
    return None if at is None else round(at - now, 3)
