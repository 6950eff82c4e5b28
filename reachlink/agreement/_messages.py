"""Entries of the replicated log and messages between replicas."""

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """Content type of a log entry."""

    EMPTY = 0
    COMMAND = 1
    MEMBERS = 2


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


class Member(msgspec.Struct, array_like=True, frozen=True):
    """Member of the replica group; a non-voting member only receives the log."""

    node_id: str
    address: str
    availability_zone: str
    voting: bool


class VoteRequest(msgspec.Struct, tag="vote", array_like=True, frozen=True):
    """Request for a vote, or for a pre-vote if `pre_vote` is set.

    A pre-vote tells whether the receiver would grant a vote; it changes no state.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(msgspec.Struct, tag="voted", array_like=True, frozen=True):
    """Reply to `VoteRequest`."""

    term: int
    granted: bool
    pre_vote: bool


class AppendRequest(msgspec.Struct, tag="append", array_like=True, frozen=True):
    """Entries that follow entry (`prev_index`, `prev_term`); a heartbeat if empty.

    `sent_at` is the leader's monotonic time in seconds; the reply repeats it.
    """

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit: int
    sent_at: float


class AppendReply(msgspec.Struct, tag="appended", array_like=True, frozen=True):
    """Reply to `AppendRequest` or `SnapshotRequest`.

    If `ok`, `index` is the last entry known to match the leader's log; else it
    is the index from which the leader should send entries.
    """

    term: int
    ok: bool
    index: int
    sent_at: float


class SnapshotRequest(msgspec.Struct, tag="snapshot", array_like=True, frozen=True):
    """Snapshot of the state that replaces the receiver's log up to `index`."""

    term: int
    leader: str
    index: int
    index_term: int
    members: list[Member]
    data: bytes
    sent_at: float


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest

encode_members = msgspec.msgpack.Encoder().encode
decode_members = msgspec.msgpack.Decoder(list[Member]).decode
