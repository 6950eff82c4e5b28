"""Load and health of each replica, as far as an entry instance knows them."""

import zlib
from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from random import Random

import msgspec

from reachlink.placement import Health
from reachlink.requests._load_updates import (
    RESUME_TOLERANCE_S,
    AllocationSummary,
    ReplicaOutcome,
    ReplicaReport,
    ReplicaUsage,
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
class Allocation:
    """Memory of a replica that a request of this instance, or a copy of its memory, takes.

    It belongs to a running request (`is_copy` is false), or to a shadow copy or a backup
    (`is_copy` is true). A request that moves gets a new allocation at its new replica.

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
    is_copy : bool
        Whether it holds only a copy of the memory; never changes.
    evictable : bool
        Whether it is a shadow copy that is evicted when others need its memory. Set when
        the shadow copy is started while the primary stays; cleared permanently when the
        primary leaves (`ReplicaTracker.mark_not_evictable`). Never set for requests and backups.
    transfer_pending : bool
        Whether it is a shadow copy whose first transfer has not ended. Set when the
        shadow copy is started, cleared at the first check after the transfer.
    unreplicated : bool
        Whether it is a running generation that no other replica has a copy of, and that
        is long enough to be copied before its replica leaves. Updated at each check.
    expected_loss : int
        Work that is lost if the generation is lost, weighted by risk
        (`GenerationProgress.expected_loss`). Updated at each check.
    resumes_at : float, optional
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
    is_copy: bool = False
    evictable: bool = False
    transfer_pending: bool = False
    unreplicated: bool = False
    expected_loss: int = 0
    resumes_at: float | None = None
    body_bytes: int = 0

    @property
    def summary(self) -> AllocationSummary:
        """Summary of this allocation that is sent to the other instances."""
        key = zlib.crc32(self.request_id.encode())
        return AllocationSummary(key=key, tokens=self.used_tokens, expected_loss=self.expected_loss)


@dataclass(slots=True)
class ReplicaState:
    """Load and health of one replica.

    Attributes
    ----------
    allocations : set of Allocation
        Allocations of this instance's own requests at the replica.
    health : Health
        Health that follows from the outcomes of requests.
    report : ReplicaReport, optional
        Last load report of the replica, which this or another instance read.
    reported_at : float
        Monotonic time in seconds at which `report` was read.
    sample : LoadSample, optional
        Last load sample that the replica sent with an answer.
    sampled_at : float
        Monotonic time in seconds at which `sample` was received.
    own_running_at_sample : int
        Number of this instance's running requests at the replica at `sampled_at`.
    coordinator_allowance : float
        Share of its usual load, from 0 to 1, that the replica may get according to a
        coordinator.
    coordinator_allowance_at : float
        Monotonic time in seconds at which `coordinator_allowance` was received.
    """

    allocations: set[Allocation] = field(default_factory=set)
    health: Health = field(default_factory=Health)
    report: ReplicaReport | None = None
    reported_at: float = float("-inf")
    sample: LoadSample | None = None
    sampled_at: float = float("-inf")
    own_running_at_sample: int = 0
    coordinator_allowance: float = 1.0
    coordinator_allowance_at: float = float("-inf")

    @property
    def own_tokens(self) -> int:
        """Memory that own requests need when they end, in tokens, without evictable copies."""
        return sum(allocation.tokens for allocation in self.allocations if not allocation.evictable)

    @property
    def own_used_tokens(self) -> int:
        """Memory that own requests take now, in tokens, without evictable copies."""
        return sum(
            allocation.used_tokens for allocation in self.allocations if not allocation.evictable
        )

    @property
    def own_evictable_copies(self) -> tuple[AllocationSummary, ...]:
        """Summaries of this instance's own evictable copies."""
        return tuple(allocation.summary for allocation in self.allocations if allocation.evictable)

    @property
    def own_unread_tokens(self) -> int:
        """Unprocessed prompt tokens of this instance's own requests."""
        return sum(allocation.unread_tokens for allocation in self.allocations)

    @property
    def own_unreplicated(self) -> tuple[AllocationSummary, ...]:
        """Summaries of this instance's own generations that no other replica has a copy of."""
        return tuple(
            allocation.summary for allocation in self.allocations if allocation.unreplicated
        )

    @property
    def own_pending_transfers(self) -> int:
        """Number of this instance's copies whose first transfer has not ended."""
        return sum(1 for allocation in self.allocations if allocation.transfer_pending)

    @property
    def own_running(self) -> int:
        """Number of requests of this instance at the replica, without copies."""
        return sum(1 for allocation in self.allocations if not allocation.is_copy)

    @property
    def answered_at(self) -> float:
        """Monotonic time in seconds of its last report or load sample, whichever is later."""
        return max(self.reported_at, self.sampled_at)

    def next_own_resume_at(self, now: float) -> float | None:
        """Return the monotonic time at which the next of this instance's generations resumes."""
        times = [a.resumes_at for a in self.allocations if a.resumes_at is not None]
        return min((at for at in times if at + RESUME_TOLERANCE_S > now), default=None)

    def allowance_from_coordinator(self, now: float) -> float:
        """Return the coordinator's allowance, or 1.0 if there is none or it is out of date."""
        return (
            self.coordinator_allowance
            if now - self.coordinator_allowance_at < MAX_ALLOWANCE_AGE_S
            else 1.0
        )

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

    def usage(self, name: str, now: float) -> ReplicaUsage:
        """Return this instance's usage of the replica, which has the given name."""
        return ReplicaUsage(
            replica=name,
            running=self.own_running,
            tokens=self.own_tokens,
            unread_tokens=self.own_unread_tokens,
            used_tokens=self.own_used_tokens,
            copies=self.own_evictable_copies,
            unreplicated=self.own_unreplicated,
            pending_transfers=self.own_pending_transfers,
            resumes_in_s=time_until(self.next_own_resume_at(now), now),
        )

    def reported_tokens(self, now: float) -> int:
        """Return the used memory in tokens by the last report; 0 if it is out of date."""
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE_S:
            return 0
        return self.report.kv_used_tokens

    def record_report(self, report: ReplicaReport, read_at: float) -> bool:
        """Store a report; return whether it is newer than the stored one."""
        if read_at <= self.reported_at:
            return False
        self.report, self.reported_at = report, read_at
        return True

    def current_report(self, now: float) -> ReplicaReport | None:
        """Return the last report of the replica with its age as of now."""
        if self.report is None:
            return None
        return msgspec.structs.replace(self.report, age_s=round(now - self.reported_at, 3))

    def record_sample(self, sample: LoadSample, now: float) -> None:
        """Store a load sample that the replica sent."""
        self.sample, self.sampled_at = sample, now
        self.own_running_at_sample = self.own_running


class ReplicaTracker:
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

    def record_outcome(self, outcome: ReplicaOutcome, now: float, random: Random) -> None:
        """Apply the outcome of a request of this or another instance to a replica's health."""
        health = self.state(outcome.replica).health
        if outcome.succeeded:
            health.on_success(now)
        else:
            health.on_failure(now, random, outcome.answered)

    def buffer_outcome(self, outcome: ReplicaOutcome) -> None:
        """Queue the outcome of an own request for the next message to a coordinator."""
        self._outcomes.append(outcome)

    def pop_outcomes(self) -> list[ReplicaOutcome]:
        """Return the queued outcomes and clear the queue."""
        outcomes = list(self._outcomes)
        self._outcomes.clear()
        return outcomes

    def add(self, replica: str, allocation: Allocation) -> None:
        """Add the allocation of a request or a copy to a replica."""
        self.state(replica).allocations.add(allocation)
        self.notify_listeners()

    def remove(self, replica: str, allocation: Allocation) -> None:
        """Remove an allocation from a replica."""
        self.state(replica).allocations.discard(allocation)
        self.notify_listeners()

    def mark_prompt_read(self, allocation: Allocation) -> None:
        """Record that the replica has processed a request's prompt."""
        if allocation.unread_tokens:
            allocation.unread_tokens = 0
            self.notify_listeners()

    def reset_replica(self, replica: str) -> None:
        """Reset the state of a replica that has restarted, except for its allocations."""
        before = self._states.get(replica)
        if before is not None:
            self._states[replica] = ReplicaState(allocations=before.allocations)
        self._paces.reset_replica(replica)

    def notify_listeners(self) -> None:
        """Call the listeners: something changed that other instances should learn soon."""
        for listener in self._listeners:
            listener()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a callback for changes that other instances should learn soon."""
        self._listeners.append(listener)

    def forget_gone(self, known: Container[str]) -> None:
        """Drop the states of replicas that are not in `known` and have no allocations."""
        gone = [n for n, s in self._states.items() if n not in known and not s.allocations]
        for name in gone:
            del self._states[name]
        self._paces.forget_gone(known)

    def occupied_replicas(self) -> list[str]:
        """Return the replicas at which this instance's allocations take memory."""
        return [name for name, state in self._states.items() if state.own_tokens]

    def mark_not_evictable(self, allocation: Allocation) -> None:
        """Record that a copy is no longer evictable."""
        if allocation.evictable:
            allocation.evictable = False
            self.notify_listeners()

    def usages(self, now: float) -> list[ReplicaUsage]:
        """Return this instance's usage of each model engine, as of a monotonic time."""
        return [
            state.usage(name, now)
            for name, state in self._states.items()
            if any(allocation.tokens for allocation in state.allocations)
        ]


def time_until(at: float | None, now: float) -> float | None:
    """Return the time from `now` until `at` in seconds; both are monotonic times."""
    return None if at is None else round(at - now, 3)
