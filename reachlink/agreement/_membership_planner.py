"""Automatic membership changes; no I/O.

The leader calls `next_membership` periodically and makes one change at a time:

1. a replica that announces itself is added as a non-voting member;
2. once it has caught up, it becomes a voter if there are too few voters, or to
   replace a voter whose disk is lost or that has been silent too long;
3. surplus voters, and non-voting members that are lost or silent, are removed.

A silent voter remains until a caught-up replica can replace it: its disk may
be needed to recover from a further loss.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from reachlink.agreement._messages import Member

# Silence in seconds after which a spare replica of the same zone replaces a voter:
# longer than an election, shorter than the time in which a new replica must vote.
VOTER_SILENCE_TIMEOUT_S = 1.5
# The same, in seconds, if the spare replica is in another zone than the voter.
OTHER_ZONE_SILENCE_TIMEOUT_S = 10.0
# Silence in seconds after which a non-voting member is removed.
NON_VOTER_SILENCE_TIMEOUT_S = 20.0


@dataclass(slots=True, frozen=True)
class Candidate:
    """Replica that has announced itself to the leader."""

    node_id: str
    address: str
    availability_zone: str


@dataclass(slots=True, frozen=True)
class MemberHealth:
    """Health of a member as the leader sees it.

    `silent_s` is the age in seconds of the latest message that the member
    acknowledged, `caught_up` whether it has all committed entries.
    """

    silent_s: float
    caught_up: bool


def next_membership(
    members: list[Member],
    leader: str,
    health: dict[str, MemberHealth],
    candidates: Iterable[Candidate],
    wanted_voters: int,
) -> list[Member] | None:
    """Return the membership after the most urgent change, or None if none is needed.

    Parameters
    ----------
    members : list of Member
        Current membership.
    leader : str
        Node id of the leader.
    health : dict
        Health of each member except the leader, by node id.
    candidates : iterable of Candidate
        Replicas that announced themselves recently.
    wanted_voters : int
        Target number of voters; odd.
    """
    announced = {c.address: c for c in candidates}
    view = _View(members, leader, health, announced, wanted_voters)
    steps = (_update_zone, _remove_surplus, _promote, _add, _remove_lost)
    for step in steps:
        changed = step(view)
        if changed is not None:
            return changed
    return None


@dataclass(slots=True, frozen=True)
class _View:
    members: list[Member]
    leader: str
    health: dict[str, MemberHealth]
    announced: dict[str, Candidate]
    wanted_voters: int

    def voters(self) -> list[Member]:
        return [m for m in self.members if m.voting]

    def silent_s(self, member: Member) -> float:
        if member.node_id == self.leader:
            return 0.0
        found = self.health.get(member.node_id)
        return found.silent_s if found is not None else float("inf")

    def disk_lost(self, member: Member) -> bool:
        """Return whether a replica with another identity has announced itself at the address."""
        candidate = self.announced.get(member.address)
        return candidate is not None and candidate.node_id != member.node_id

    def with_replaced(self, old: Member, new: Member | None) -> list[Member]:
        rest = [m for m in self.members if m.node_id != old.node_id]
        return rest if new is None else [*rest, new]


def _update_zone(view: _View) -> list[Member] | None:
    """Set the zone that a member announces; founding members do not know each other's."""
    for member in view.members:
        found = view.announced.get(member.address)
        if found is None or found.node_id != member.node_id:
            continue
        if found.availability_zone != member.availability_zone:
            corrected = Member(
                member.node_id, member.address, found.availability_zone, member.voting
            )
            return view.with_replaced(member, corrected)
    return None


def _remove_surplus(view: _View) -> list[Member] | None:
    voters = view.voters()
    if len(voters) <= view.wanted_voters:
        return None
    others = [m for m in voters if m.node_id != view.leader]
    zones = Counter(m.availability_zone for m in voters)

    def least_needed(member: Member) -> tuple[bool, float, int, str]:
        silent = view.silent_s(member)
        long_silence = silent if silent > VOTER_SILENCE_TIMEOUT_S else 0.0
        return (
            view.disk_lost(member),
            long_silence,
            zones[member.availability_zone],
            member.node_id,
        )

    return view.with_replaced(max(others, key=least_needed), None)


def _promote(view: _View) -> list[Member] | None:
    ready = [m for m in view.members if not m.voting and _can_become_voter(view, m)]
    if not ready:
        return None
    voters = view.voters()
    if len(voters) < view.wanted_voters:
        zones = Counter(m.availability_zone for m in voters)
        chosen = min(ready, key=lambda m: (zones[m.availability_zone], m.node_id))
        return _with_voter(view, chosen)
    for voter in voters:
        successor = _successor(view, voter, ready)
        if successor is not None:
            return _with_voter(view, successor)
    return None


def _can_become_voter(view: _View, member: Member) -> bool:
    found = view.health.get(member.node_id)
    alive = found is not None and found.silent_s < VOTER_SILENCE_TIMEOUT_S
    return alive and found is not None and found.caught_up and not view.disk_lost(member)


def _successor(view: _View, voter: Member, ready: list[Member]) -> Member | None:
    """Return the replica that should replace a voter, or None to keep the voter."""
    lost = view.disk_lost(voter)
    silent = view.silent_s(voter)
    if not lost and silent < VOTER_SILENCE_TIMEOUT_S:
        return None
    same_zone = [m for m in ready if m.availability_zone == voter.availability_zone]
    if same_zone:
        return same_zone[0]
    return ready[0] if lost or silent >= OTHER_ZONE_SILENCE_TIMEOUT_S else None


def _with_voter(view: _View, member: Member) -> list[Member]:
    promoted = Member(member.node_id, member.address, member.availability_zone, True)
    return view.with_replaced(member, promoted)


def _add(view: _View) -> list[Member] | None:
    known = {m.node_id for m in view.members}
    for candidate in view.announced.values():
        if candidate.node_id in known:
            continue
        added = Member(candidate.node_id, candidate.address, candidate.availability_zone, False)
        return [*view.members, added]
    return None


def _remove_lost(view: _View) -> list[Member] | None:
    for member in view.members:
        if member.voting:
            continue
        if view.disk_lost(member) or view.silent_s(member) > NON_VOTER_SILENCE_TIMEOUT_S:
            return view.with_replaced(member, None)
    return None


__all__ = ["Candidate", "MemberHealth", "next_membership"]
