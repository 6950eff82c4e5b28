"""One replica of the log: events in, effects out; pure but for its own state.

The shell passes the time in with every event, carries the effects out in
their stated order, and calls `tick` no later than `next_due`.
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
        Identity of this replica, never used again after its disk was lost.
    log : Log
        Log as it was on disk.
    term : int
        Term as it was on disk.
    voted_for : str
        Vote in that term as it was on disk.
    timing : Timing
        Durations.
    random : random.Random
        Source of election time-outs.
    now : float
        Monotonic time in seconds.
    started_at : float, optional
        When the process of this replica started, in monotonic seconds: what an
        earlier one acknowledged it did before. `now` where it is not known.
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
        # A restarted replica may have acknowledged a lease just before.
        state.heard_leader_at = now if started_at is None else started_at
        state.refresh_members()
        election.set_first_election(state, now)
        self._state = state

    @property
    def state(self) -> ReplicaState:
        """The state, to be read only."""
        return self._state

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads."""
        return self._state.role is Role.LEADER

    def take_effects(self) -> Effects:
        """Return what the shell must do for the events since the last call."""
        return self._state.take_effects()

    def next_due(self) -> float:
        """Return when `tick` must be called at the latest."""
        state = self._state
        return state.heartbeat_due if self.is_leader else state.election_due

    def lease_until(self) -> float:
        """Return until when this leader is certain that no other one exists."""
        return election.lease_until(self._state)

    def tick(self, now: float) -> None:
        """Let time pass."""
        state = self._state
        if not self.is_leader:
            if now >= state.election_due:
                election.on_election_due(state, now)
                self._open_term(now)
            return
        if now >= state.heartbeat_due:
            election.check_quorum(state, now)
            if self.is_leader:
                replication.broadcast(state, now)

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Take a message of another replica."""
        newer = getattr(message, "term", 0) > self._state.term
        if newer and isinstance(message, AppendReply):
            election.follow(self._state, message.term, "", now)
        self._dispatch(message, sender, now)
        self._open_term(now)

    def propose(self, commands: Sequence[bytes], now: float) -> list[int]:
        """Add commands to the log and return their indexes.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        """
        self._require_leader()
        added = [replication.append_own(self._state, EntryKind.COMMAND, c) for c in commands]
        replication.broadcast(self._state, now)
        replication.commit_by_quorum(self._state)
        return [entry.index for entry in added]

    def propose_members(self, members: Sequence[Member], now: float) -> int:
        """Add a new membership to the log and return its index.

        At most one replica may come, go, or change whether it votes, and the
        previous change must be committed. A replica becomes a voter only
        once it holds everything that is committed.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        MembershipChangeError
            If the change is not allowed now.
        """
        self._require_leader()
        self._check_change(members, now)
        entry = replication.append_own(
            self._state, EntryKind.MEMBERS, encode_members(list(members))
        )
        replication.broadcast(self._state, now)
        replication.commit_by_quorum(self._state)
        return entry.index

    def compact(self, index: int) -> None:
        """Drop entries up to `index`, which a snapshot on disk covers."""
        _, members = self._state.log.members_at(index)
        self._state.log.compact(index, members)

    def snapshot_message(self, data: bytes, now: float) -> SnapshotRequest:
        """Return the message that carries the latest snapshot."""
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
        """Stop to lead once a membership without this replica is committed."""
        state = self._state
        if self.is_leader and not state.is_voter and state.members_index <= state.commit:
            election.follow(state, state.term, "", now)

    def _open_term(self, now: float) -> None:
        """Commit an empty entry at the start of a term, as its first act."""
        state = self._state
        if not self.is_leader or state.log.last_index >= state.term_start_index:
            return
        replication.append_own(state, EntryKind.EMPTY, b"")
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
        self._check_caught_up(changed[0], old, new, now)
        self._check_majority_alive(members, now)

    def _check_majority_alive(self, members: Sequence[Member], now: float) -> None:
        """Refuse a membership that could not decide anything, not even to undo itself."""
        voters = [m.node_id for m in members if m.voting]
        alive = [v for v in voters if self._heard_recently(v, now)]
        if len(alive) <= len(voters) // 2:
            raise MembershipChangeError("no majority of the new voters is reachable")

    def _heard_recently(self, node: str, now: float) -> bool:
        state = self._state
        if node == state.node_id:
            return True
        progress = state.progress.get(node)
        if progress is None:
            return False
        # Not `heard_at`, which a new leader presets to give everyone time.
        return now - progress.acked_sent_at < state.timing.election_max_s

    def _check_caught_up(
        self, node: str, old: dict[str, Member], new: dict[str, Member], now: float
    ) -> None:
        promoted = node in new and new[node].voting and not (node in old and old[node].voting)
        if not promoted:
            return
        state = self._state
        progress = state.progress.get(node)
        recent = self._heard_recently(node, now)
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
