"""State that the records of the log segments add up to; no I/O."""

from functools import singledispatchmethod

from reachlink.agreement._messages import Entry
from reachlink.agreement._records import (
    BatchRecord,
    EntryRecord,
    HardStateRecord,
    Record,
    TruncateRecord,
)
from reachlink.agreement.exceptions import CorruptLogError


class Replay:
    """Hard state and entries after the records applied so far.

    Entries that the snapshot covers are kept until the end: whether the later
    ones follow the snapshot depends on the entry at its index.

    Parameters
    ----------
    snapshot_index, snapshot_term : int
        Index and term of the last entry that the snapshot covers.
    """

    def __init__(self, snapshot_index: int, snapshot_term: int) -> None:
        self._snapshot_index = snapshot_index
        self._snapshot_term = snapshot_term
        self._entries: list[Entry] = []
        self._hard_state = HardStateRecord(0, "")
        self._segment_has_entry = False

    @property
    def hard_state(self) -> HardStateRecord:
        """Latest term and vote."""
        return self._hard_state

    def begin_segment(self) -> None:
        """Note that the next record is the first of a segment, which follows a snapshot."""
        self._segment_has_entry = False

    @singledispatchmethod
    def apply(self, record: Record) -> None:
        """Apply the next record.

        Raises
        ------
        CorruptLogError
            If the record cannot stand in the log at this place.
        """
        raise CorruptLogError(f"a {type(record).__name__} stands in the log")

    @apply.register
    def _(self, record: HardStateRecord) -> None:
        self._hard_state = record

    @apply.register
    def _(self, record: TruncateRecord) -> None:
        self._truncate_from(record.index)

    @apply.register
    def _(self, record: EntryRecord) -> None:
        entry = record.entry
        self._begin_entries(entry.index)
        self._truncate_from(entry.index)
        if self._entries and entry.index != self._entries[-1].index + 1:
            self._skip_covered()
        self._entries.append(entry)

    @apply.register
    def _(self, record: BatchRecord) -> None:
        for each in record.records:
            self.apply(each)

    def entries_after_snapshot(self) -> list[Entry]:
        """Return the entries that follow the snapshot.

        If the entry at the index of the snapshot differs from the one that the
        snapshot covers, another leader's log replaced it and all later ones.

        Raises
        ------
        CorruptLogError
            If entries between the snapshot and the log are missing.
        """
        if not self._entries or self._entries[-1].index <= self._snapshot_index:
            return []
        at = self._snapshot_index - self._entries[0].index
        if at < -1:
            raise CorruptLogError(f"entry {self._snapshot_index + 1} is missing")
        if at >= 0 and self._entries[at].term != self._snapshot_term:
            return []
        return self._entries[at + 1 :]

    def _begin_entries(self, index: int) -> None:
        """Drop the entries of earlier segments if the snapshot covers all before `index`.

        A received snapshot may have replaced them, so that they say nothing about this entry.
        """
        if not self._segment_has_entry and index <= self._snapshot_index + 1:
            self._entries.clear()
        self._segment_has_entry = True

    def _truncate_from(self, index: int) -> None:
        if self._entries:
            del self._entries[max(0, index - self._entries[0].index) :]

    def _skip_covered(self) -> None:
        """Drop the entries before a gap, which the snapshot must cover."""
        last = self._entries[-1].index
        if last >= self._snapshot_index:
            raise CorruptLogError(f"entry {last + 1} is missing")
        self._entries.clear()
