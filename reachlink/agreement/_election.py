"""Raft elections with pre-vote, leader stickiness and check-quorum; no I/O.

References
----------
.. [1] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, sections
   3.4 (election), 4.2.3 (disruptive servers), 6.4 (leases) and 9.6 (pre-vote).
"""

from reachlink.agreement._messages import VoteReply, VoteRequest
from reachlink.agreement._state import Progress, ReplicaState, Role


def reset_election_timer(state: ReplicaState, now: float) -> None:
    """Schedule the next election after a new random timeout."""
    timing = state.timing
    wait = state.random.uniform(timing.election_min_s, timing.election_max_s)
    state.election_due = now + wait


def schedule_first_election(state: ReplicaState, now: float) -> None:
    """Schedule the first election after a start.

    It follows a short random delay, but not before any lease that this replica
    may have acknowledged has expired. If a leader exists, the other replicas
    reject the pre-vote; if all replicas start together, one is elected without
    a full election timeout.
    """
    earliest = state.leader_contact_at + state.timing.election_min_s
    wait = state.random.uniform(
        state.timing.first_election_min_s, state.timing.first_election_max_s
    )
    state.election_due = max(now, earliest) + wait


def become_follower(state: ReplicaState, term: int, leader: str, now: float) -> None:
    """Become a follower, and adopt `term` if it is newer."""
    if term > state.term:
        state.term = term
        state.voted_for = ""
        state.effects.hard_state = True
    state.role = Role.FOLLOWER
    state.leader = leader
    state.votes.clear()
    state.progress.clear()
    reset_election_timer(state, now)


def record_leader_contact(state: ReplicaState, term: int, leader: str, now: float) -> None:
    """Record a valid message from the leader of this term or a newer one."""
    if term > state.term or state.role is not Role.FOLLOWER or state.leader != leader:
        become_follower(state, term, leader, now)
    state.leader_contact_at = now
    reset_election_timer(state, now)


def on_election_due(state: ReplicaState, now: float) -> None:
    """Request pre-votes when the election timeout expires."""
    reset_election_timer(state, now)
    if not state.may_campaign:
        return
    state.role = Role.PRE_CANDIDATE
    state.leader = ""
    _request_votes(state, now, state.term + 1, pre_vote=True)


def on_vote_request(state: ReplicaState, request: VoteRequest, now: float) -> None:
    """Answer a vote or pre-vote request."""
    granted = _may_grant(state, request, now)
    if not request.pre_vote and not _has_leader_contact(state, now) and request.term > state.term:
        become_follower(state, request.term, "", now)
    if granted and not request.pre_vote:
        state.voted_for = request.candidate
        state.effects.hard_state = True
        reset_election_timer(state, now)
    term = request.term if granted else state.term
    state.send(request.candidate, VoteReply(term, granted, request.pre_vote))


def on_vote_reply(state: ReplicaState, sender: str, reply: VoteReply, now: float) -> None:
    """Count a granted vote or pre-vote; step down if the reply has a newer term."""
    if reply.term > state.term and not (reply.pre_vote and reply.granted):
        become_follower(state, reply.term, "", now)
        return
    expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
    expected_term = state.term + 1 if reply.pre_vote else state.term
    if state.role is not expected_role or reply.term != expected_term or not reply.granted:
        return
    state.votes.add(sender)
    _count_votes(state, now)


def check_quorum(state: ReplicaState, now: float) -> None:
    """Step down if no majority replied within the maximum election timeout."""
    reply_times = [p.last_reply_at for node, p in state.progress.items() if node in state.voters]
    alive = sum(1 for at in reply_times if now - at < state.timing.election_max_s)
    alive += 1 if state.is_voter else 0
    if alive < state.quorum():
        become_follower(state, state.term, "", now)


def lease_expiry(state: ReplicaState) -> float:
    """Return the monotonic time before which no other leader can be elected.

    A majority that acknowledged a message sent at time t grants no vote
    before t plus the minimum election timeout, measured by its own clocks.
    The timeout is reduced by the clock drift bound.
    """
    if state.role is not Role.LEADER:
        return float("-inf")
    acked = [p.acked_sent_at for node, p in state.progress.items() if node in state.voters]
    if state.is_voter:
        acked.append(float("inf"))
    acked.sort(reverse=True)
    needed = state.quorum()
    if len(acked) < needed:
        return float("-inf")
    return acked[needed - 1] + state.timing.election_min_s * (1 - state.timing.drift)


def _has_leader_contact(state: ReplicaState, now: float) -> bool:
    if state.role is Role.LEADER:
        return True
    return now - state.leader_contact_at < state.timing.election_min_s


def _may_grant(state: ReplicaState, request: VoteRequest, now: float) -> bool:
    if _has_leader_contact(state, now) or request.term < state.term:
        return False
    own = (state.log.last_term, state.log.last_index)
    if (request.last_term, request.last_index) < own:
        return False
    if request.pre_vote:
        return request.term > state.term
    can_vote = request.term > state.term or state.voted_for in ("", request.candidate)
    return can_vote


def _request_votes(state: ReplicaState, now: float, term: int, pre_vote: bool) -> None:
    state.votes = {state.node_id}
    log = state.log
    request = VoteRequest(term, state.node_id, log.last_index, log.last_term, pre_vote)
    for node in state.voters:
        if node != state.node_id:
            state.send(node, request)
    _count_votes(state, now)


def _count_votes(state: ReplicaState, now: float) -> None:
    if len(state.votes & set(state.voters)) < state.quorum():
        return
    if state.role is Role.PRE_CANDIDATE:
        _become_candidate(state, now)
    elif state.role is Role.CANDIDATE:
        _become_leader(state, now)


def _become_candidate(state: ReplicaState, now: float) -> None:
    state.role = Role.CANDIDATE
    state.term += 1
    state.voted_for = state.node_id
    state.effects.hard_state = True
    _request_votes(state, now, state.term, pre_vote=False)


def _become_leader(state: ReplicaState, now: float) -> None:
    state.role = Role.LEADER
    state.leader = state.node_id
    state.votes.clear()
    after = state.log.last_index + 1
    state.term_start_index = after
    state.progress = {
        member.node_id: Progress(after, last_reply_at=now)
        for member in state.members
        if member.node_id != state.node_id
    }
    state.heartbeat_due = now


__all__ = [
    "check_quorum",
    "become_follower",
    "record_leader_contact",
    "lease_expiry",
    "on_election_due",
    "on_vote_reply",
    "on_vote_request",
    "reset_election_timer",
    "schedule_first_election",
]
