"""Query for the placement of a request or copy, which an instance sends to its coordinator.

The structs are sent as arrays: the order of their fields is the wire format, and new
fields are appended with a default.
"""

import zlib
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

from reachlink.requests._load_updates import AllocationSummary, ListedReplica, ReplicaUsage
from reachlink.scheduling import (
    DEPARTURE_COPY_RULES,
    LOCAL_COPY_RULES,
    QUEUED_RULES,
    REQUEST_RULES,
    STANDING_COPY_RULES,
    Need,
    PlacementRules,
    Refuse,
    Wait,
)


class PlacementPurpose(Enum):
    """Kind of placement: a request, or one of three kinds of copies.

    A standing copy is made while the primary stays. A local copy is a standing copy of a
    generation that runs in another zone; this instance's zone is preferred for it. A
    departure copy is made from a leaving primary.
    """

    REQUEST = "request"
    STANDING_COPY = "standing copy"
    LOCAL_COPY = "copy at home"
    DEPARTURE_COPY = "rescue"


_RULES = {
    PlacementPurpose.REQUEST: REQUEST_RULES,
    PlacementPurpose.STANDING_COPY: STANDING_COPY_RULES,
    PlacementPurpose.LOCAL_COPY: LOCAL_COPY_RULES,
    PlacementPurpose.DEPARTURE_COPY: DEPARTURE_COPY_RULES,
}


class PlacementQuery(msgspec.Struct, array_like=True, frozen=True):
    """Query for the replica that a request, or a copy of a generation, should be sent to.

    Attributes
    ----------
    instance : str
        Name of the querying instance.
    request_id : str
        Identifier of the request.
    service : str
        Name of the service.
    purpose : PlacementPurpose
        Kind of placement.
    tokens : int
        Memory that is needed, in tokens: for a request when it ends, for a copy now.
    prompt_tokens : int
        Size of the prompt that the replica has to process, in tokens; 0 for copies.
    excluded : tuple of str
        Names of replicas that must not be chosen.
    zone : str
        Availability zone whose replicas are preferred.
    avoid_resuming : bool
        Whether to exclude replicas at which another generation is about to resume.
    force_decision : bool
        Whether a coordinator decides even if it has just started and may not know the
        load of all instances yet.
    zones : tuple of str, optional
        Availability zones that are allowed; None for all.
    need : Need, optional
        Requirements and time limits of the request, or of the generation that may resume
        from the copy.
    hold_s : float, optional
        Maximum time in seconds for which the answer may be delayed until there is room,
        for a request that waits in a queue; None if it does not use a queue.
    fingerprint : int
        Hash by which a repeated request is recognized under another identifier; 0 if
        unknown.
    """

    instance: str
    request_id: str
    service: str
    purpose: PlacementPurpose
    tokens: int
    prompt_tokens: int = 0
    excluded: tuple[str, ...] = ()
    zone: str = ""
    avoid_resuming: bool = False
    force_decision: bool = False
    zones: tuple[str, ...] | None = None
    need: Need | None = None
    hold_s: float | None = None
    fingerprint: int = 0

    @property
    def may_queue(self) -> bool:
        """Whether the request joins a queue if there is no room."""
        return self.hold_s is not None and self.need is not None

    @property
    def terms(self) -> PlacementRules:
        """Conditions for the allocation of an engine's memory."""
        return QUEUED_RULES if self.may_queue else _RULES[self.purpose]

    def usage_at(self, replica: str) -> ReplicaUsage:
        """Return the usage to assume at the chosen replica until the instance reports its own."""
        if self.purpose is PlacementPurpose.REQUEST:
            return ReplicaUsage(
                replica,
                running=1,
                tokens=self.tokens,
                unread_tokens=self.prompt_tokens,
                used_tokens=self.prompt_tokens,
            )
        if self.purpose is PlacementPurpose.DEPARTURE_COPY:
            return ReplicaUsage(
                replica, running=0, tokens=self.tokens, used_tokens=self.tokens, pending_transfers=1
            )
        copy = AllocationSummary(zlib.crc32(self.request_id.encode()), self.tokens, 0)
        return ReplicaUsage(replica, running=0, tokens=0, copies=(copy,), pending_transfers=1)


class PlacementReply(msgspec.Struct, array_like=True, frozen=True):
    """Decision of a coordinator.

    Attributes
    ----------
    ready : bool
        Whether the coordinator has been up for long enough to have received the load of
        all instances. If it has not, it decides only if the query has `force_decision` set, and
        never without a list of replicas.
    replica : ListedReplica, optional
        Chosen replica; None if none is suitable.
    wait_or_refuse : Wait or Refuse, optional
        What a request that cannot start now should do.
    """

    ready: bool
    replica: ListedReplica | None = None
    wait_or_refuse: Wait | Refuse | None = None


AskCoordinator = Callable[[PlacementQuery], Awaitable[PlacementReply | None]]
"""Sends a query to a coordinator; returns None if this instance has to decide itself."""


async def decide_here(query: PlacementQuery) -> PlacementReply | None:
    """Return None: this instance decides, since it is a coordinator or knows none."""
    return None
