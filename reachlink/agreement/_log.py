"""In-memory log entries that follow the latest snapshot."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from reachlink.agreement._messages import Entry, EntryKind, Member, decode_members


@dataclass(slots=True)
class Log:
    """Log entries after a snapshot, including membership entries.

    Attributes
    ----------
    snapshot_index, snapshot_term : int
        Index and term of the last entry that the snapshot covers.
    snapshot_members : list of Member
        Membership as of the snapshot.
    entries : list of Entry
        Entries starting at index ``snapshot_index + 1``.
    """

    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_members: list[Member] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if the log does not contain it."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def slice(self, first: int, limit: int) -> list[Entry]:
        """Return at most `limit` entries starting at index `first`."""
        start = first - self.snapshot_index - 1
        return self.entries[start : start + limit]

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries."""
        self.entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all later ones."""
        del self.entries[index - self.snapshot_index - 1 :]

    def compact(self, index: int, members: list[Member]) -> None:
        """Remove the entries up to `index`, which a snapshot covers."""
        term = self.term_at(index)
        if term is None:
            raise ValueError(f"entry {index} is not in the log")
        del self.entries[: index - self.snapshot_index]
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_members = members

    def reset(self, index: int, term: int, members: list[Member]) -> None:
        """Remove all entries and continue after a snapshot."""
        self.entries.clear()
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_members = members

    def members_at(self, index: int) -> tuple[int, list[Member]]:
        """Return the index and members of the latest membership at or before `index`."""
        for entry in reversed(self.entries[: index - self.snapshot_index]):
            if entry.kind is EntryKind.MEMBERS:
                return entry.index, decode_members(entry.data)
        return self.snapshot_index, self.snapshot_members
