"""Framing of records on disk: magic, length, checksum, payload."""

import struct
import zlib
from collections.abc import Iterator

import msgspec

from reachlink.agreement._messages import Entry, Member
from reachlink.agreement.exceptions import CorruptLogError

_MAGIC = b"RLK1"
_FRAME = struct.Struct("<4sII")


class HardRecord(msgspec.Struct, tag="h", array_like=True):
    """Term and vote."""

    term: int
    voted_for: str


class CutRecord(msgspec.Struct, tag="c", array_like=True):
    """Entries from `index` on are no longer part of the log."""

    index: int


class EntryRecord(msgspec.Struct, tag="e", array_like=True):
    """An entry of the log."""

    entry: Entry


class SnapshotRecord(msgspec.Struct, tag="s", array_like=True):
    """A whole state and the membership at that point."""

    index: int
    term: int
    members: list[Member]
    data: bytes


Record = HardRecord | CutRecord | EntryRecord | SnapshotRecord

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def frame(record: Record) -> bytes:
    """Return a record as it stands on disk."""
    payload = _encode(record)
    return _FRAME.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def read_records(data: bytes) -> Iterator[tuple[int, Record]]:
    """Yield each record with the position after it, up to the first damaged one.

    Raises
    ------
    CorruptLogError
        If a whole record follows a damaged one: then this is not a torn
        tail but damage to what was synced.
    """
    position = 0
    while True:
        found = _read_at(data, position)
        if found is None:
            break
        position, record = found
        yield position, record
    if _intact_after(data, position):
        raise CorruptLogError(f"damaged record at byte {position}, intact ones behind it")


def _read_at(data: bytes, position: int) -> tuple[int, Record] | None:
    start = position + _FRAME.size
    if start > len(data):
        return None
    magic, length, checksum = _FRAME.unpack_from(data, position)
    payload = data[start : start + length]
    if magic != _MAGIC or len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return start + length, _decode(payload)


def _intact_after(data: bytes, position: int) -> bool:
    candidate = data.find(_MAGIC, position + 1)
    while candidate != -1:
        if _read_at(data, candidate) is not None:
            return True
        candidate = data.find(_MAGIC, candidate + 1)
    return False
