"""Replication of entries and snapshots; no I/O."""

from reachlink.agreement._election import record_leader_contact
from reachlink.agreement._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    SnapshotRequest,
)
from reachlink.agreement._state import Progress, ReplicaState

MAX_ENTRIES_PER_REQUEST = 256
# Minimum interval between two sendings of a snapshot to the same follower, in seconds.
SNAPSHOT_RETRY_S = 2.0


def append_entry(state: ReplicaState, kind: EntryKind, data: bytes) -> Entry:
    """Append an entry of the current term to the leader's log."""
    entry = Entry(state.log.last_index + 1, state.term, kind, data)
    state.log.append([entry])
    state.effects.append.append(entry)
    if kind is EntryKind.MEMBERS:
        state.refresh_members()
        _sync_progress(state)
    return entry


def broadcast(state: ReplicaState, now: float) -> None:
    """Send every follower its missing entries, or a heartbeat."""
    state.heartbeat_due = now + state.timing.heartbeat_s
    for node in state.progress:
        send_append(state, node, now)


def send_append(state: ReplicaState, node: str, now: float) -> None:
    """Send a follower its missing entries or a snapshot, and a heartbeat if no entries."""
    progress = state.progress[node]
    prev_index = progress.next_index - 1
    prev_term = state.log.term_at(prev_index)
    entries = state.log.slice(progress.next_index, MAX_ENTRIES_PER_REQUEST)
    if prev_term is None:
        # The missing entries are compacted: send the snapshot, and heartbeats meanwhile.
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
    """Process entries or a heartbeat from the leader."""
    if request.term < state.term:
        reply = AppendReply(state.term, False, 0, request.sent_at)
        state.send(request.leader, reply)
        return
    record_leader_contact(state, request.term, request.leader, now)
    ok, index = _append_from_leader(state, request)
    if ok:
        advance_commit(state, min(request.commit, index))
    state.send(request.leader, AppendReply(state.term, ok, index, request.sent_at))


def on_append_reply(state: ReplicaState, sender: str, reply: AppendReply, now: float) -> None:
    """Update the progress of a follower from its reply and send further entries."""
    progress = state.progress.get(sender)
    if progress is None or reply.term != state.term:
        return
    progress.last_reply_at = now
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
            # Followers serve watchers too: send them the new commit index without
            # waiting for the next heartbeat.
            broadcast(state, now)
            return
    if progress.next_index <= state.log.last_index:
        send_append(state, sender, now)


def on_snapshot(state: ReplicaState, request: SnapshotRequest, now: float) -> None:
    """Replace the log by a snapshot, unless the log already covers it."""
    if request.term < state.term:
        state.send(request.leader, AppendReply(state.term, False, 0, request.sent_at))
        return
    record_leader_contact(state, request.term, request.leader, now)
    if state.log.term_at(request.index) == request.index_term:
        # The log contains the snapshot and possibly later acknowledged entries: keep them.
        advance_commit(state, request.index)
    elif request.index > state.commit:
        state.log.reset(request.index, request.index_term, request.members)
        state.commit = request.index
        state.refresh_members()
        state.effects.install_snapshot = request
        state.effects.truncate_from = None
        state.effects.append.clear()
        state.effects.committed.clear()
    state.send(request.leader, AppendReply(state.term, True, state.commit, request.sent_at))


def commit_by_quorum(state: ReplicaState) -> None:
    """Commit the entries that a majority of voters has on disk."""
    matched = [p.match_index for node, p in state.progress.items() if node in state.voters]
    if state.is_voter:
        matched.append(state.log.last_index)
    matched.sort(reverse=True)
    if len(matched) < state.quorum():
        return
    index = matched[state.quorum() - 1]
    # Raft commits entries of earlier terms only together with one of the current term.
    if state.log.term_at(index) == state.term:
        advance_commit(state, index)


def advance_commit(state: ReplicaState, index: int) -> None:
    """Advance the commit index and add the newly committed entries to the effects."""
    if index <= state.commit:
        return
    state.effects.committed.extend(state.log.slice(state.commit + 1, index - state.commit))
    state.commit = index


def _append_from_leader(state: ReplicaState, request: AppendRequest) -> tuple[bool, int]:
    """Append the entries of a request to the log if they are consistent with it.

    Returns the `ok` and `index` fields of the reply.
    """
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
        raise AssertionError(f"append request conflicts with committed entry {first}")
    if first <= log.last_index:
        log.truncate_from(first)
        _truncate_effects(state, first)
    added = [entry for entry in entries if entry.index >= first]
    log.append(added)
    state.effects.append.extend(added)
    if any(e.kind is EntryKind.MEMBERS for e in added) or first <= state.members_index:
        state.refresh_members()


def _truncate_effects(state: ReplicaState, first: int) -> None:
    effects = state.effects
    effects.append = [entry for entry in effects.append if entry.index < first]
    effects.truncate_from = (
        first if effects.truncate_from is None else min(first, effects.truncate_from)
    )


def _sync_progress(state: ReplicaState) -> None:
    """Track the progress of exactly the other members of the latest membership."""
    wanted = {m.node_id for m in state.members} - {state.node_id}
    for node in wanted - state.progress.keys():
        state.progress[node] = Progress(state.log.last_index + 1)
    for node in state.progress.keys() - wanted:
        del state.progress[node]
