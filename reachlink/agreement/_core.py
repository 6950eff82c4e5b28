"""Deterministic state machine of one replica of the log; it does no I/O.

The caller passes the current time with every event, executes the effects in
the order documented in `Effects`, and calls `tick` no later than `next_due`.
"""

from collections.abc import Sequence
from functools import singledispatchmethod
from random import Random

from reachlink.agreement import _election as election
from reachlink.agreement import _replication as replication
from reachlink.agreement._log import Log
from reachlink.agreement._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    Member,
    Message,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
    encode_members,
)
from reachlink.agreement._state import Effects, ReplicaState, Role, Timing
from reachlink.agreement.exceptions import MembershipChangeError, NotLeaderError


class Core:
    """Decision logic of one replica.

    Parameters
    ----------
    node_id : str
        Identity of this replica. It must not be reused after the disk is lost.
    log : Log
        Log loaded from disk.
    term : int
        Term loaded from disk.
    voted_for : str
        Candidate voted for in that term, loaded from disk; empty if none.
    timing : Timing
        Heartbeat interval, election timeouts and clock drift bound.
    random : random.Random
        Random generator for election timeouts.
    now : float
        Current monotonic time in seconds.
    started_at : float, optional
        Monotonic time in seconds at which this process started. Any lease
        acknowledged by an earlier process predates it. Defaults to `now`.
    """

    def __init__(
        self,
        node_id: str,
        log: Log,
        term: int,
        voted_for: str,
        timing: Timing,
        random: Random,
        now: float,
        started_at: float | None = None,
    ) -> None:
        state = ReplicaState(node_id, timing, random, log, term, voted_for)
        state.commit = log.snapshot_index
        # The previous process may have acknowledged a lease just before the restart.
        state.leader_contact_at = now if started_at is None else started_at
        state.refresh_members()
        election.schedule_first_election(state, now)
        self._state = state

    @property
    def state(self) -> ReplicaState:
        """State of the replica; callers must not modify it."""
        return self._state

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""
        return self._state.role is Role.LEADER

    def pop_effects(self) -> Effects:
        """Return and clear the effects of the events since the last call."""
        return self._state.pop_effects()

    def next_due(self) -> float:
        """Return the monotonic time in seconds by which `tick` must be called."""
        state = self._state
        return state.heartbeat_due if self.is_leader else state.election_due

    def lease_expiry(self) -> float:
        """Return the monotonic time in seconds at which the leader lease expires."""
        return election.lease_expiry(self._state)

    def tick(self, now: float) -> None:
        """Start an election, or check the quorum and send heartbeats, if one is due."""
        state = self._state
        if not self.is_leader:
            if now >= state.election_due:
                election.on_election_due(state, now)
                self._begin_term(now)
            return
        if now >= state.heartbeat_due:
            election.check_quorum(state, now)
            if self.is_leader:
                replication.broadcast(state, now)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Process a message from another replica."""
        newer = getattr(message, "term", 0) > self._state.term
        if newer and isinstance(message, AppendReply):
            election.become_follower(self._state, message.term, "", now)
        self._dispatch(message, sender, now)
        self._begin_term(now)

    def propose(self, commands: Sequence[bytes], now: float) -> list[int]:
        """Append commands to the log and return their indexes.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        """
        self._require_leader()
        added = [replication.append_entry(self._state, EntryKind.COMMAND, c) for c in commands]
        replication.broadcast(self._state, now)
        replication.commit_by_quorum(self._state)
        return [entry.index for entry in added]

    def propose_members(self, members: Sequence[Member], now: float) -> int:
        """Append a new membership to the log and return its index.

        Exactly one replica may be added, removed or changed, and the previous
        membership change must be committed. A replica can become a voter only
        once it has all committed entries.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        MembershipChangeError
            If the change is not allowed now.
        """
        self.check_members(members, now)
        entry = replication.append_entry(
            self._state, EntryKind.MEMBERS, encode_members(list(members))
        )
        replication.broadcast(self._state, now)
        replication.commit_by_quorum(self._state)
        return entry.index

    def check_members(self, members: Sequence[Member], now: float) -> None:
        """Check whether `propose_members` would take a membership now.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        MembershipChangeError
            If the change is not allowed now.
        """
        self._require_leader()
        self._check_change(members, now)

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which a snapshot covers."""
        _, members = self._state.log.members_at(index)
        self._state.log.compact(index, members)

    def snapshot_message(self, data: bytes, now: float) -> SnapshotRequest:
        """Return a message that sends the latest snapshot, serialized in `data`."""
        state = self._state
        return SnapshotRequest(
            state.term,
            state.node_id,
            state.log.snapshot_index,
            state.log.snapshot_term,
            state.log.snapshot_members,
            data,
            now,
        )

    def step_down_if_removed(self, now: float) -> None:
        """Step down once a committed membership excludes this leader from the voters."""
        state = self._state
        if self.is_leader and not state.is_voter and state.members_index <= state.commit:
            election.become_follower(state, state.term, "", now)

    def _begin_term(self, now: float) -> None:
        """Append an empty entry as the first entry of a leader's term.

        Committing it also commits the entries of earlier terms.
        """
        state = self._state
        if not self.is_leader or state.log.last_index >= state.term_start_index:
            return
        replication.append_entry(state, EntryKind.EMPTY, b"")
        replication.broadcast(state, now)
        replication.commit_by_quorum(state)

    def _require_leader(self) -> None:
        if not self.is_leader:
            raise NotLeaderError(self._state.leader)

    def _check_change(self, members: Sequence[Member], now: float) -> None:
        state = self._state
        if state.commit < state.term_start_index or state.members_index > state.commit:
            raise MembershipChangeError("the previous change is not committed yet")
        old = {m.node_id: m for m in state.members}
        new = {m.node_id: m for m in members}
        if len(new) != len(members):
            raise MembershipChangeError("a replica stands twice in the membership")
        changed = [n for n in old.keys() | new.keys() if old.get(n) != new.get(n)]
        if len(changed) != 1:
            raise MembershipChangeError("exactly one replica may change at a time")
        if not any(m.voting for m in members):
            raise MembershipChangeError("the last voter cannot be removed")
        self._check_promoted_caught_up(changed[0], old, new, now)
        self._check_majority_reachable(members, now)

    def _check_majority_reachable(self, members: Sequence[Member], now: float) -> None:
        """Reject a membership without a reachable majority of voters.

        Such a membership could commit nothing, not even its own reversal.
        """
        voters = [m.node_id for m in members if m.voting]
        alive = [v for v in voters if self._replied_recently(v, now)]
        if len(alive) <= len(voters) // 2:
            raise MembershipChangeError("no majority of the new voters is reachable")

    def _replied_recently(self, node: str, now: float) -> bool:
        state = self._state
        if node == state.node_id:
            return True
        progress = state.progress.get(node)
        if progress is None:
            return False
        # Not the time of the last reply: a new leader sets that to the time of its election.
        return now - progress.acked_sent_at < state.timing.election_max_s

    def _check_promoted_caught_up(
        self, node: str, old: dict[str, Member], new: dict[str, Member], now: float
    ) -> None:
        promoted = node in new and new[node].voting and not (node in old and old[node].voting)
        if not promoted:
            return
        state = self._state
        progress = state.progress.get(node)
        recent = self._replied_recently(node, now)
        if progress is None or not recent or progress.match_index < state.commit:
            raise MembershipChangeError(f"{node} has not caught up yet")

    @singledispatchmethod
    def _dispatch(self, message: Message, sender: str, now: float) -> None:
        raise TypeError(f"unknown message {type(message).__name__}")

    @_dispatch.register
    def _(self, message: VoteRequest, sender: str, now: float) -> None:
        election.on_vote_request(self._state, message, now)

    @_dispatch.register
    def _(self, message: VoteReply, sender: str, now: float) -> None:
        election.on_vote_reply(self._state, sender, message, now)

    @_dispatch.register
    def _(self, message: AppendRequest, sender: str, now: float) -> None:
        replication.on_append(self._state, message, now)

    @_dispatch.register
    def _(self, message: AppendReply, sender: str, now: float) -> None:
        replication.on_append_reply(self._state, sender, message, now)

    @_dispatch.register
    def _(self, message: SnapshotRequest, sender: str, now: float) -> None:
        replication.on_snapshot(self._state, message, now)
