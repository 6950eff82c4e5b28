"""Membership of the control instances: operators' changes, and who announced itself; pure."""

from reachlink.agreement import Candidate, Member, MembershipChangeError
from reachlink.control._protocol import MembersRequest

# How long an announcement counts, in seconds; it is repeated every second.
CANDIDATE_FORGOTTEN_S = 5.0


class Announcements:
    """The replicas of the log that announced themselves lately, by address."""

    def __init__(self) -> None:
        self._announced: dict[str, tuple[float, Candidate]] = {}

    def note(self, candidate: Candidate, now: float) -> None:
        """Note that a replica has announced itself."""
        self._announced[candidate.address] = (now, candidate)

    def recent(self, now: float) -> list[Candidate]:
        """Return the replicas whose announcement still counts."""
        oldest = now - CANDIDATE_FORGOTTEN_S
        self._announced = {a: c for a, c in self._announced.items() if c[0] >= oldest}
        return [candidate for _, candidate in self._announced.values()]


def changed_members(members: list[Member], request: MembersRequest) -> list[Member]:
    """Return the membership after adding, promoting or removing one replica.

    It is the same membership where a replica is to be promoted that votes already.

    Raises
    ------
    MembershipChangeError
        If the change does not fit the membership.
    """
    others = [m for m in members if m.node_id != request.node_id]
    held = next((m for m in members if m.node_id == request.node_id), None)
    if request.action == "add":
        if held is not None:
            raise MembershipChangeError(f"{request.node_id} is a member already")
        added = Member(request.node_id, request.address, request.availability_zone, False)
        return [*others, added]
    if held is None:
        raise MembershipChangeError(f"{request.node_id} is not a member")
    if request.action == "remove":
        return others
    if request.action == "promote" and held.voting:
        return members
    if request.action == "promote":
        return [*others, Member(held.node_id, held.address, held.availability_zone, True)]
    raise MembershipChangeError(f"unknown action {request.action!r}: use add, promote or remove")
