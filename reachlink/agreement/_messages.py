"""Entries of the replicated log and messages between its replicas."""

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """What an entry holds."""

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
    """A replica in the membership; one that does not vote only follows."""

    node_id: str
    address: str
    availability_zone: str
    voting: bool


class VoteRequest(msgspec.Struct, tag="vote", array_like=True, frozen=True):
    """Ask for a vote, or with `trial` whether one would be given (pre-vote)."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    trial: bool


class VoteReply(msgspec.Struct, tag="voted", array_like=True, frozen=True):
    """Answer to `VoteRequest`."""

    term: int
    granted: bool
    trial: bool


class AppendRequest(msgspec.Struct, tag="append", array_like=True, frozen=True):
    """Entries that follow (`prev_index`, `prev_term`); without entries a heartbeat.

    `sent_at` is the leader's monotonic clock in seconds, echoed by the reply.
    """

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit: int
    sent_at: float


class AppendReply(msgspec.Struct, tag="appended", array_like=True, frozen=True):
    """Answer to `AppendRequest`; `index` is the match, or where to try next."""

    term: int
    ok: bool
    index: int
    sent_at: float


class SnapshotRequest(msgspec.Struct, tag="snapshot", array_like=True, frozen=True):
    """A whole state that replaces the receiver's log up to `index`."""

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
