"""On-disk records, framed as magic number, length, checksum and payload."""

import struct
import zlib
from collections.abc import Iterator

import msgspec

from reachlink.agreement._messages import Entry, Member
from reachlink.agreement.exceptions import CorruptLogError

_MAGIC = b"RLK1"
_FRAME = struct.Struct("<4sII")


class HardStateRecord(msgspec.Struct, tag="h", array_like=True):
    """Raft hard state: current term and vote."""

    term: int
    voted_for: str


class TruncateRecord(msgspec.Struct, tag="c", array_like=True):
    """Removal of the entry at `index` and all later ones from the log."""

    index: int


class EntryRecord(msgspec.Struct, tag="e", array_like=True):
    """Log entry."""

    entry: Entry


class SnapshotRecord(msgspec.Struct, tag="s", array_like=True):
    """Snapshot of the state, with the membership as of `index`."""

    index: int
    term: int
    members: list[Member]
    data: bytes


LogRecord = HardStateRecord | TruncateRecord | EntryRecord


class BatchRecord(msgspec.Struct, tag="b", array_like=True):
    """Records of one write.

    They share a checksum: after a loss of power either all of them are there or none,
    whatever part of the write reached the disk.
    """

    records: list[LogRecord]


Record = LogRecord | SnapshotRecord | BatchRecord

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def frame(record: Record) -> bytes:
    """Return the on-disk encoding of a record."""
    payload = _encode(record)
    return _FRAME.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def read_records(data: bytes) -> Iterator[tuple[int, Record]]:
    """Yield the end position and content of each record up to the first damaged one.

    Raises
    ------
    CorruptLogError
        If an intact record follows a damaged one. This is not an incomplete
        last write but corruption of synced data.
    """
    position = 0
    while True:
        found = _read_at(data, position)
        if found is None:
            break
        position, record = found
        yield position, record
    if _has_intact_record_after(data, position):
        raise CorruptLogError(f"damaged record at byte {position}, followed by intact records")


def _read_at(data: bytes, position: int) -> tuple[int, Record] | None:
    start = position + _FRAME.size
    if start > len(data):
        return None
    magic, length, checksum = _FRAME.unpack_from(data, position)
    payload = data[start : start + length]
    if magic != _MAGIC or len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return start + length, _decode(payload)


def _has_intact_record_after(data: bytes, position: int) -> bool:
    candidate = data.find(_MAGIC, position + 1)
    while candidate != -1:
        if _read_at(data, candidate) is not None:
            return True
        candidate = data.find(_MAGIC, candidate + 1)
    return False
