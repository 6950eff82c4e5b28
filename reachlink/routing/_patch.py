"""What changed from one published table to the next; pure.

A document is cut behind each closing brace, so that a route, a service or a
workspace is a part of its own in any format that writes them as objects. A patch
names the parts that are kept and holds the others. Whoever applies it comes to the
same document, character for character, or is told that the patch does not fit.
"""

import hashlib
import re
from dataclasses import dataclass

import msgspec

from reachlink.routing._formats import PublishedTable
from reachlink.routing.exceptions import PatchMismatchError

_PART = re.compile(r"[^}]*\}|[^}]+")
# Enough that two documents of one number never share a digest by chance.
DIGEST_BYTES = 16
# What a run of kept parts takes in a patch, in bytes at most.
KEPT_BYTES = 10

Kept = tuple[int, int]
"""Parts of the older document that stay: position of the first, and how many."""


class TablePatch(msgspec.Struct, frozen=True, array_like=True):
    """Turns the table of one number into that of a later one.

    Attributes
    ----------
    base : int
        Number of the table that it changes.
    number : int
        Number of the table that it makes.
    format : str
        Format of the document.
    digest : bytes
        Digest of the document that it makes.
    parts : list of tuple or str
        Runs of kept parts, and text that is new, in order.
    """

    base: int
    number: int
    format: str
    digest: bytes
    parts: list[Kept | str]

    @property
    def size(self) -> int:
        """About how large it is, in bytes."""
        texts = sum(len(part) for part in self.parts if isinstance(part, str))
        return DIGEST_BYTES + KEPT_BYTES * len(self.parts) + texts

    def apply(self, table: PublishedTable | None) -> PublishedTable:
        """Return the later table.

        Raises
        ------
        PatchMismatchError
            If it was made for another table than this one.
        """
        if table is None or table.number != self.base:
            held = table.number if table else None
            raise PatchMismatchError(f"changes table {self.base}, {held} is held")
        old = _split(table.document)
        text = "".join(_text(part, old) for part in self.parts)
        if _digest(text) != self.digest:
            raise PatchMismatchError(f"does not make table {self.number} of what is held")
        return PublishedTable(self.number, self.format, text)


def patch_between(old: PublishedTable, new: PublishedTable) -> TablePatch:
    """Return what turns one table into another."""
    parts = _Parts(_split(old.document))
    for text in _split(new.document):
        parts.add(text)
    return TablePatch(old.number, new.number, new.format, _digest(new.document), parts.finish())


@dataclass(slots=True)
class _Run:
    """Parts of the older document that follow each other there."""

    first: int
    count: int = 1

    @property
    def next(self) -> int:
        return self.first + self.count


class _Parts:
    """Collects a patch's parts, those of the newer document in their order."""

    def __init__(self, old: list[str]) -> None:
        self._old = old
        self._place = {text: position for position, text in enumerate(old)}
        self._parts: list[Kept | str] = []
        self._run: _Run | None = None
        self._new: list[str] = []

    def add(self, text: str) -> None:
        """Take the next part of the newer document."""
        run = self._run
        if run is not None and run.next < len(self._old) and self._old[run.next] == text:
            run.count += 1
            return
        self._close_run()
        place = self._place.get(text)
        if place is None:
            self._new.append(text)
            return
        self._close_text()
        self._run = _Run(place)

    def finish(self) -> list[Kept | str]:
        """Return the parts of the patch."""
        self._close_run()
        self._close_text()
        return self._parts

    def _close_run(self) -> None:
        if self._run is not None:
            self._parts.append((self._run.first, self._run.count))
        self._run = None

    def _close_text(self) -> None:
        if self._new:
            self._parts.append("".join(self._new))
        self._new = []


def _split(document: str) -> list[str]:
    return _PART.findall(document)


def _text(part: Kept | str, old: list[str]) -> str:
    if isinstance(part, str):
        return part
    first, count = part
    return "".join(old[first : first + count])


def _digest(document: str) -> bytes:
    return hashlib.blake2b(document.encode(), digest_size=DIGEST_BYTES).digest()
