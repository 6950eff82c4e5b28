"""The audit trail: bounded, with chained digests."""

import hashlib
from collections import deque
from collections.abc import Iterable

import msgspec

from reachlink.control._commands import AuditRecord

GENESIS = "0" * 64

_encode = msgspec.json.Encoder(order="sorted").encode


def chain_digest(previous: str, record: AuditRecord) -> str:
    """Return the digest of a record that follows one with digest `previous`."""
    bare = msgspec.structs.replace(record, digest="")
    return hashlib.sha256(previous.encode() + _encode(bare)).hexdigest()


def check_chain(records: list[AuditRecord]) -> int | None:
    """Return the sequence number of the first record that does not follow its predecessor.

    Parameters
    ----------
    records : list of AuditRecord
        Part of a trail, oldest first. The first one is taken as given unless
        it has sequence number 1.

    Returns
    -------
    int or None
        None where every record follows the one before.
    """
    previous = GENESIS if records and records[0].sequence == 1 else None
    expected = records[0].sequence if records else 0
    for record in records:
        if record.sequence != expected:
            return record.sequence
        if previous is not None and chain_digest(previous, record) != record.digest:
            return record.sequence
        previous = record.digest
        expected += 1
    return None


class AuditTrail:
    """The latest records.

    Parameters
    ----------
    records : iterable of AuditRecord
        Records held so far, oldest first.
    keep : int
        How many are kept.
    """

    def __init__(self, records: Iterable[AuditRecord] = (), keep: int = 1) -> None:
        self._records: deque[AuditRecord] = deque(records)
        self.keep = keep

    @property
    def records(self) -> list[AuditRecord]:
        """Everything that is held, oldest first."""
        return list(self._records)

    def add(self, record: AuditRecord) -> AuditRecord:
        """Chain a record to the last one and return it with its number and digest."""
        last = self._records[-1] if self._records else None
        sequence = last.sequence + 1 if last else 1
        numbered = msgspec.structs.replace(record, sequence=sequence)
        digest = chain_digest(last.digest if last else GENESIS, numbered)
        chained = msgspec.structs.replace(numbered, digest=digest)
        self._records.append(chained)
        while len(self._records) > self.keep:
            self._records.popleft()
        return chained

    def since(self, sequence: int, limit: int) -> list[AuditRecord]:
        """Return up to `limit` records after a sequence number."""
        return [r for r in self._records if r.sequence > sequence][:limit]
