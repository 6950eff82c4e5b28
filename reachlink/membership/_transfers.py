"""Contents on their way in pieces; pure.

An instance behind a small link asks for one piece after the other and keeps what
has come. Whole tables in one answer never arrived once they took longer than the
answer was waited for: 1.05 MB take 1.7 s at 5 Mbit/s and were given up after 1.2 s,
again and again, with every link full (65 instances, one recorded day).
"""

import hashlib
import zlib
from collections import OrderedDict
from collections.abc import Hashable

import msgspec

# One piece holds up the streams of an instance for 26 ms at 5 Mbit/s.
PIECE_BYTES = 16 << 10
# Contents that are kept for those who fetch them: each is what leads from one
# revision to another, and instances differ by a few changes. Eight whole tables of
# 10,000 routes are some 2 MB.
KEPT_CONTENTS = 8
# Higher levels hold the loop up for longer and leave hardly less.
COMPRESSION = 1
# Length of a content's name, in bytes: enough that no two share it by chance.
NAME_BYTES = 16


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """How much of a content has come: its name, and the bytes held."""

    content: str = ""
    held: int = 0


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """Part of a compressed content.

    Attributes
    ----------
    content : str
        Name of the content: a digest of it.
    offset : int
        Where the piece begins, in bytes.
    size : int
        Size of the whole content, in bytes.
    data : bytes
        The piece.
    """

    content: str
    offset: int
    size: int
    data: bytes


class Outbox:
    """Contents that others fetch, each compressed once for all who want the same."""

    def __init__(self) -> None:
        self._contents: OrderedDict[str, bytes] = OrderedDict()
        self._names: dict[Hashable, str] = {}

    def resume(self, progress: Progress) -> Piece | None:
        """Return the next piece of a content, or None if it is not known here.

        What somebody has begun to fetch goes on though there is newer by now: under
        changes that follow each other faster than a whole table arrives, one that
        began anew with each would never have any.
        """
        return self._piece(progress.content, progress.held)

    def first_piece(self, key: Hashable) -> Piece | None:
        """Return the first piece of what was kept under a key, or None."""
        return self._piece(self._names.get(key, ""), 0)

    def keep(self, key: Hashable, raw: bytes) -> Piece:
        """Keep a content under a key and return its first piece."""
        data = zlib.compress(raw, COMPRESSION)
        name = _name_of(data)
        self._contents[name] = data
        self._contents.move_to_end(name)
        if len(self._contents) > KEPT_CONTENTS:
            self._contents.popitem(last=False)
        self._names = {k: n for k, n in self._names.items() if n in self._contents}
        self._names[key] = name
        return Piece(name, 0, len(data), data[:PIECE_BYTES])

    def _piece(self, name: str, offset: int) -> Piece | None:
        data = self._contents.get(name)
        if data is None:
            return None
        self._contents.move_to_end(name)
        return Piece(name, offset, len(data), data[offset : offset + PIECE_BYTES])


class Inbox:
    """The content that is being fetched, as far as it has come."""

    def __init__(self) -> None:
        self._content = ""
        self._data = bytearray()

    @property
    def progress(self) -> Progress:
        """What to ask on from; empty where nothing is being fetched."""
        return Progress(self._content, len(self._data))

    def take(self, piece: Piece) -> bytes | None:
        """Take a piece; return the content once it is whole.

        One that does not go on where this content ends changes nothing, but a first
        piece of another content begins anew: who was asked does not have this one.
        """
        if piece.offset == 0 and piece.content != self._content:
            self._content, self._data = piece.content, bytearray()
        if (piece.content, piece.offset) != (self._content, len(self._data)):
            return None
        self._data += piece.data
        if len(self._data) < piece.size:
            return None
        whole = bytes(self._data)
        self.drop()
        # Pieces of one name that do not belong together are fetched anew.
        return zlib.decompress(whole) if _name_of(whole) == piece.content else None

    def drop(self) -> None:
        """Forget what has come."""
        self._content, self._data = "", bytearray()


def _name_of(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=NAME_BYTES).hexdigest()
