"""What members tell their coordinator, and what they are told.

The structs go over the wire as arrays: the order of their fields is the format,
and new fields go to the end with a default.
"""

import msgspec

from reachlink.pacing import LimitUpdate
from reachlink.quarantine import QuarantineNote
from reachlink.requests import ListedReplica, LoadNote, ReplicaNews, ReplicaOutcome, ReplicaShare
from reachlink.scheduling import PaceUpdate

CHANNEL_MEMBER = "member"
"""One-way: a `MemberUpdate`. Call: the same, answered with a `CoordinatorSnapshot`."""
CHANNEL_PLACE = "place"
"""Call: a `PlaceQuestion`, answered with a `PlaceAnswer`."""
CHANNEL_QUEUE_LEFT = "left"
"""One-way: a `QueueLeft`."""


class QueueLeft(msgspec.Struct, array_like=True, frozen=True):
    """A request that stands in line no more: its caller is gone.

    Attributes
    ----------
    service : str
        Its service.
    request_id : str
        The request.
    """

    service: str
    request_id: str


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What a member has at the replicas, and how much of the picture it has.

    Attributes
    ----------
    load : LoadNote
        Its own requests, and what it found out itself.
    outcomes : list of ReplicaOutcome
        How its requests went since its last note.
    list_digest : int
        Digest of the list of replicas that it was told last; 0 for none.
    whole : bool
        Whether the answer should tell of all replicas, and not only of those where
        the member has something.
    wait_s : float
        How long an answer may be held until a replica that matters to it leaves,
        in seconds.
    """

    load: LoadNote
    outcomes: list[ReplicaOutcome] = []
    list_digest: int = 0
    whole: bool = True
    wait_s: float = 0.0


class CoordinatorSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """What a coordinator knows, as far as it matters to one member.

    Attributes
    ----------
    coordinator : str
        Who tells.
    shares : list of ReplicaShare
        What all others have at each replica that is told of; copies and generations
        one by one only where the member has some itself.
    whole : bool
        Whether replicas that are missing are there no more.
    news : list of ReplicaNews
        What was read in the reports of replicas that leave, and of those where the
        member has something.
    list_digest : int
        Digest of the list of replicas; 0 where the coordinator has not read it yet.
    listed : list of ListedReplica, optional
        That list, where the member has another; none while the coordinator has not
        read it yet.
    silent_zones : list of str
        Zones that cannot be reached.
    cut_off : bool
        Whether that is true of all other zones.
    allowances : dict of str to float
        Share of its usual load that a replica may get, from 0 to 1, where it is
        not all: requests of members have failed there.
    cold : dict of str to float
        How long replicas are still cold, in seconds, of those that are.
    quarantine : QuarantineNote
        What the coordinator learned of crashes lately.
    limits : list of LimitUpdate
        What replicas take from all instances together, of those that have said so.
    paces : list of PaceUpdate
        How fast replicas work, where that is news to the member.
    """

    coordinator: str
    shares: list[ReplicaShare]
    whole: bool = True
    news: list[ReplicaNews] = []
    list_digest: int = 0
    listed: list[ListedReplica] | None = None
    silent_zones: list[str] = []
    cut_off: bool = False
    allowances: dict[str, float] = {}
    cold: dict[str, float] = {}
    quarantine: QuarantineNote = QuarantineNote()
    limits: list[LimitUpdate] = []
    paces: list[PaceUpdate] = []
