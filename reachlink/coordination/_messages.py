"""Messages between members and their coordinator.

The structs are sent as arrays: the order of their fields is the wire format, and new fields are
added at the end with a default.
"""

import msgspec

from reachlink.pacing import LimitUpdate
from reachlink.quarantine import QuarantineNote
from reachlink.requests import (
    ListedReplica,
    LoadUpdate,
    ReplicaOutcome,
    ReplicaReport,
    ReplicaUsage,
)
from reachlink.scheduling import PaceUpdate

CHANNEL_MEMBER = "member"
"""One-way message or call: a `MemberUpdate`. Reply to a call: a `CoordinatorSnapshot`."""
CHANNEL_PLACE = "place"
"""Call: a `PlacementQuery`. Reply: a `PlacementReply`."""
CHANNEL_QUEUE_LEFT = "left"
"""One-way message: a `QueueLeft`."""


class QueueLeft(msgspec.Struct, array_like=True, frozen=True):
    """Removes a request from the queue, as its caller is gone or its instance stops.

    Attributes
    ----------
    service : str
        Name of the request's service.
    request_id : str
        Id of the request.
    instance_stops : bool
        Whether its instance stops, so that its caller comes back through another one.
    """

    service: str
    request_id: str
    instance_stops: bool = False


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Load of a member at the replicas, and the kind of snapshot that it needs.

    Attributes
    ----------
    load : LoadUpdate
        Allocations of the member, and the reports that it has read itself.
    outcomes : list of ReplicaOutcome
        Outcomes of its requests since its last update.
    list_digest : int
        Digest of the latest replica list that it received; 0 if it has none.
    full : bool
        Whether the reply should contain all replicas, not only those where the member has
        allocations.
    wait_s : float
        Time in seconds for which the reply may be held until there is news, such as a replica
        that leaves; 0 if no reply is expected.
    """

    load: LoadUpdate
    outcomes: list[ReplicaOutcome] = []
    list_digest: int = 0
    full: bool = True
    wait_s: float = 0.0


class CoordinatorSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """Part of a coordinator's knowledge that one member needs.

    Attributes
    ----------
    coordinator : str
        Name of the coordinator.
    usages : list of ReplicaUsage
        Load of all instances but the member at each included replica; copies and generations
        are listed individually only for replicas where the member has allocations.
    full : bool
        Whether all replicas are included, so that missing ones no longer exist.
    reports : list of ReplicaReport
        Latest reports of replicas that are leaving, and of those where the member has
        allocations.
    list_digest : int
        Digest of the replica list; 0 if the coordinator has not read the list yet.
    replica_list : list of ListedReplica, optional
        Replica list, if the member has a different one; None while the coordinator has not
        read it yet.
    silent_zones : list of str
        Zones that cannot be reached.
    cut_off : bool
        Whether no other zone can be reached.
    allowances : dict of str to float
        Share of its usual load that a replica may get, from 0 to 1, for replicas where it is
        below 1 because requests have failed there.
    cold_s : dict of str to float
        Time in seconds for which a replica is still cold, for replicas that are.
    quarantine : QuarantineNote
        Crashes and clearances that the coordinator learned recently.
    limits : list of LimitUpdate
        Rate limits that replicas advertise, for all instances together.
    paces : list of PaceUpdate
        Paces of replicas that are news to the member.
    """

    coordinator: str
    usages: list[ReplicaUsage]
    full: bool = True
    reports: list[ReplicaReport] = []
    list_digest: int = 0
    replica_list: list[ListedReplica] | None = None
    silent_zones: list[str] = []
    cut_off: bool = False
    allowances: dict[str, float] = {}
    cold_s: dict[str, float] = {}
    quarantine: QuarantineNote = QuarantineNote()
    limits: list[LimitUpdate] = []
    paces: list[PaceUpdate] = []
