"""Replication of entries and snapshots; pure."""

from reachlink.agreement._election import hear_leader
from reachlink.agreement._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    SnapshotRequest,
)
from reachlink.agreement._state import Progress, ReplicaState

MAX_ENTRIES = 256
SNAPSHOT_RETRY_S = 2.0


def append_own(state: ReplicaState, kind: EntryKind, data: bytes) -> Entry:
    """Add an entry of this term to the leader's own log."""
    entry = Entry(state.log.last_index + 1, state.term, kind, data)
    state.log.append([entry])
    state.effects.append.append(entry)
    if kind is EntryKind.MEMBERS:
        state.refresh_members()
        _track_members(state)
    return entry


def broadcast(state: ReplicaState, now: float) -> None:
    """Send every follower what it lacks, or a heartbeat."""
    state.heartbeat_due = now + state.timing.heartbeat_s
    for node in state.progress:
        send_append(state, node, now)


def send_append(state: ReplicaState, node: str, now: float) -> None:
    """Send one follower what it lacks, or a heartbeat."""
    progress = state.progress[node]
    prev_index = progress.next_index - 1
    prev_term = state.log.term_at(prev_index)
    entries = state.log.slice(progress.next_index, MAX_ENTRIES)
    if prev_term is None:
        # What it lacks is behind the snapshot; heartbeats go on meanwhile.
        if now - progress.snapshot_sent_at >= SNAPSHOT_RETRY_S:
            progress.snapshot_sent_at = now
            state.effects.snapshot_to.append(node)
        prev_index, prev_term, entries = state.log.last_index, state.log.last_term, []
    request = AppendRequest(
        state.term, state.node_id, prev_index, prev_term, entries, state.commit, now
    )
    state.send(node, request)
    if entries:
        progress.next_index = entries[-1].index + 1


def on_append(state: ReplicaState, request: AppendRequest, now: float) -> None:
    """Take entries or a heartbeat."""
    if request.term < state.term:
        reply = AppendReply(state.term, False, 0, request.sent_at)
        state.send(request.leader, reply)
        return
    hear_leader(state, request.term, request.leader, now)
    ok, index = _merge(state, request)
    if ok:
        advance_commit(state, min(request.commit, index))
    state.send(request.leader, AppendReply(state.term, ok, index, request.sent_at))


def on_append_reply(state: ReplicaState, sender: str, reply: AppendReply, now: float) -> None:
    """A follower acknowledged entries, or says where to go on."""
    progress = state.progress.get(sender)
    if progress is None or reply.term != state.term:
        return
    progress.heard_at = now
    progress.acked_sent_at = max(progress.acked_sent_at, reply.sent_at)
    if not reply.ok:
        progress.next_index = max(progress.match_index + 1, min(reply.index, state.log.last_index))
        if state.log.term_at(progress.next_index - 1) is not None:
            send_append(state, sender, now)
        return
    if reply.index > progress.match_index:
        progress.match_index = reply.index
        progress.next_index = max(progress.next_index, reply.index + 1)
        before = state.commit
        commit_by_quorum(state)
        if state.commit > before:
            # Followers serve watchers too: they need not wait for a heartbeat.
            broadcast(state, now)
            return
    if progress.next_index <= state.log.last_index:
        send_append(state, sender, now)


def on_snapshot(state: ReplicaState, request: SnapshotRequest, now: float) -> None:
    """Take a whole state in place of the log, unless it is older than what is held."""
    if request.term < state.term:
        state.send(request.leader, AppendReply(state.term, False, 0, request.sent_at))
        return
    hear_leader(state, request.term, request.leader, now)
    if state.log.term_at(request.index) == request.index_term:
        # The log has all of it and maybe more, which was acknowledged: keep it.
        advance_commit(state, request.index)
    elif request.index > state.commit:
        state.log.reset(request.index, request.index_term, request.members)
        state.commit = request.index
        state.refresh_members()
        state.effects.install = request
        state.effects.cut_from = None
        state.effects.append.clear()
        state.effects.committed.clear()
    state.send(request.leader, AppendReply(state.term, True, state.commit, request.sent_at))


def commit_by_quorum(state: ReplicaState) -> None:
    """Commit what a majority of voters has on disk, in this term."""
    matched = [p.match_index for node, p in state.progress.items() if node in state.voters]
    if state.is_voter:
        matched.append(state.log.last_index)
    matched.sort(reverse=True)
    if len(matched) < state.quorum():
        return
    index = matched[state.quorum() - 1]
    # Entries of older terms are committed only along with one of this term.
    if state.log.term_at(index) == state.term:
        advance_commit(state, index)


def advance_commit(state: ReplicaState, index: int) -> None:
    """Hand newly committed entries to the shell."""
    if index <= state.commit:
        return
    state.effects.committed.extend(state.log.slice(state.commit + 1, index - state.commit))
    state.commit = index


def _merge(state: ReplicaState, request: AppendRequest) -> tuple[bool, int]:
    """Return whether the entries fit, and the match or where to try next."""
    log = state.log
    if request.prev_index < log.snapshot_index:
        return True, state.commit
    if log.term_at(request.prev_index) != request.prev_term:
        hint = min(request.prev_index, log.last_index + 1)
        return False, max(hint, state.commit + 1)
    fresh = [e for e in request.entries if log.term_at(e.index) != e.term]
    if fresh:
        _replace_tail(state, request.entries, fresh[0].index)
    return True, request.prev_index + len(request.entries)


def _replace_tail(state: ReplicaState, entries: list[Entry], first: int) -> None:
    log = state.log
    if first <= state.commit:
        raise AssertionError(f"a leader would replace committed entry {first}")
    if first <= log.last_index:
        log.cut_from(first)
        _cut_effects(state, first)
    added = [entry for entry in entries if entry.index >= first]
    log.append(added)
    state.effects.append.extend(added)
    if any(e.kind is EntryKind.MEMBERS for e in added) or first <= state.members_index:
        state.refresh_members()


def _cut_effects(state: ReplicaState, first: int) -> None:
    effects = state.effects
    effects.append = [entry for entry in effects.append if entry.index < first]
    effects.cut_from = first if effects.cut_from is None else min(first, effects.cut_from)


def _track_members(state: ReplicaState) -> None:
    """Follow the members of the latest membership, and nobody else."""
    wanted = {m.node_id for m in state.members} - {state.node_id}
    for node in wanted - state.progress.keys():
        state.progress[node] = Progress(state.log.last_index + 1)
    for node in state.progress.keys() - wanted:
        del state.progress[node]
