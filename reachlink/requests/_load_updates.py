"""Messages in which entry instances share the load that they put on model engines.

The structs are sent as arrays: the order of their fields is the wire format, and new
fields are appended with a default. This module does no input or output.
"""

import msgspec

from reachlink.pacing import LimitUpdate
from reachlink.quarantine import QuarantineNote
from reachlink.scheduling import PaceUpdate

# How long after its expected time a generation may still resume at another replica, in
# seconds: covers the error of the expected time and the time of its first event there.
RESUME_TOLERANCE_S = 0.12


class AllocationSummary(msgspec.Struct, array_like=True, frozen=True):
    """Size and expected loss of a generation or of a copy, from which every instance sorts.

    Attributes
    ----------
    key : int
        Hash of the request identifier. Breaks ties between equal expected losses in the
        same way at every instance.
    tokens : int
        Memory that it takes now, in tokens.
    expected_loss : int
        Work that is lost if the generation is lost, weighted by risk
        (`GenerationProgress.expected_loss`). Copies with the lowest value are evicted
        first; generations with the highest value are copied from a leaving replica first.
    """

    key: int
    tokens: int
    expected_loss: int


class ReplicaUsage(msgspec.Struct, array_like=True, frozen=True):
    """Load that one instance, or several together, put on a replica.

    Attributes
    ----------
    replica : str
        Name of the replica.
    running : int
        Number of requests there, without copies.
    tokens : int
        Memory that requests and copies are expected to need when they end, in tokens,
        without evictable copies.
    unread_tokens : int
        Prompt tokens that the replica has not processed yet.
    used_tokens : int
        Memory that requests and copies take now, in tokens, without evictable copies.
    copies : tuple of AllocationSummary
        Evictable copies.
    unreplicated : tuple of AllocationSummary
        Running generations that no other replica has a copy of.
    pending_transfers : int
        Number of copies whose first transfer to the replica has not ended.
    resumes_in_s : float, optional
        Time in seconds until the next generation is expected to resume at the replica
        because its primary leaves; may be slightly negative.
    """

    replica: str
    running: int
    tokens: int
    unread_tokens: int = 0
    used_tokens: int = 0
    copies: tuple[AllocationSummary, ...] = ()
    unreplicated: tuple[AllocationSummary, ...] = ()
    pending_transfers: int = 0
    resumes_in_s: float | None = None

    @property
    def copy_tokens(self) -> int:
        """Memory of the evictable copies, in tokens."""
        return sum(copy.tokens for copy in self.copies)


class ReplicaReport(msgspec.Struct, array_like=True, frozen=True):
    """Load report of a replica that one instance read and passes on to the others.

    Attributes
    ----------
    replica : str
        Name of the replica.
    leaving : bool
        Whether the replica is leaving.
    kv_used_tokens : int
        Used memory of the replica, in tokens, including copies.
    running : int
        Number of requests of all instances that run there.
    age_s : float
        Age of the report when it is passed on, in seconds. A time would not do, because
        the clocks of the instances are not synchronized.
    leaves_in_s : float, optional
        Time from reading the report until the replica is shut down, in seconds, if the
        report contains it.
    gone : bool
        Whether another replica uses its address by now.
    born : int
        Start time of the replica, in Unix milliseconds by its own clock; 0 if unknown.
    announced_leaving : bool
        Whether the replica itself announced that it leaves, which is final until it
        restarts.
    """

    replica: str
    leaving: bool
    kv_used_tokens: int
    running: int
    age_s: float
    leaves_in_s: float | None = None
    gone: bool = False
    born: int = 0
    announced_leaving: bool = False


class ListedReplica(msgspec.Struct, array_like=True, frozen=True):
    """Replica that one instance found to be new or leaving in the platform's list.

    Attributes
    ----------
    name : str
        Name of the replica.
    service : str
        Name of the service whose requests it handles.
    availability_zone : str
        Availability zone of the replica.
    address : str
        Host and port in the platform's list.
    leaving : bool
        Whether the replica is listed as leaving.
    cold_s : float
        Remaining time in seconds for which the replica is cold.
    born : int
        Start time of the replica, in Unix milliseconds by its own clock; 0 if unknown.
    """

    name: str
    service: str
    availability_zone: str
    address: str
    leaving: bool
    cold_s: float = 0.0
    born: int = 0


class ReplicaOutcome(msgspec.Struct, array_like=True, frozen=True):
    """Outcome of a request at a replica.

    Attributes
    ----------
    replica : str
        Name of the replica.
    succeeded : bool
        Whether the request succeeded.
    answered : bool
        Whether the replica answered, possibly with a failure.
    """

    replica: str
    succeeded: bool
    answered: bool = True


class LoadUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Message with an instance's own load and its recent observations of the replicas.

    Attributes
    ----------
    instance : str
        Name of the sending instance.
    usages : list of ReplicaUsage
        Its usage of each replica; it has no requests at replicas that are missing.
    reports : list of ReplicaReport
        Load reports that it read recently.
    listed : list of ListedReplica
        Recent changes that it found in the platform's list.
    quarantine : QuarantineNote
        Recent information on crashes.
    limits : list of LimitUpdate
        Rate limits that replicas announced for all instances together.
    paces : list of PaceUpdate
        Pace of replicas, as far as it is new to the receiver.
    """

    instance: str
    usages: list[ReplicaUsage]
    reports: list[ReplicaReport] = []
    listed: list[ListedReplica] = []
    quarantine: QuarantineNote = QuarantineNote()
    limits: list[LimitUpdate] = []
    paces: list[PaceUpdate] = []


def sum_usages(usages: list[ReplicaUsage]) -> ReplicaUsage:
    """Return the sum of the usages of one replica; `usages` must not be empty."""
    resume_times = [s.resumes_in_s for s in usages if s.resumes_in_s is not None]
    return ReplicaUsage(
        replica=usages[0].replica,
        running=sum(s.running for s in usages),
        tokens=sum(s.tokens for s in usages),
        unread_tokens=sum(s.unread_tokens for s in usages),
        used_tokens=sum(s.used_tokens for s in usages),
        copies=tuple(copy for s in usages for copy in s.copies),
        unreplicated=tuple(summary for s in usages for summary in s.unreplicated),
        pending_transfers=sum(s.pending_transfers for s in usages),
        resumes_in_s=min((s for s in resume_times if s + RESUME_TOLERANCE_S > 0.0), default=None),
    )


def with_aggregated_copies(usage: ReplicaUsage) -> ReplicaUsage:
    """Return a usage whose copies and unreplicated generations are one total each.

    Sent to instances that have no allocation at the replica: they don't need the details.
    """
    return msgspec.structs.replace(
        usage, copies=_aggregated(usage.copies), unreplicated=_aggregated(usage.unreplicated)
    )


def _aggregated(summaries: tuple[AllocationSummary, ...]) -> tuple[AllocationSummary, ...]:
    if not summaries:
        return ()
    return (
        AllocationSummary(
            0, sum(n.tokens for n in summaries), max(n.expected_loss for n in summaries)
        ),
    )
