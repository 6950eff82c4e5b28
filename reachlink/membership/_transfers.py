"""Transfer of large content in pieces; does no I/O.

An instance behind a slow link requests one piece after the other and keeps those that
have arrived. A routing table in a single answer never arrives if its transfer takes
longer than the timeout of the request: 1.05 MB take 1.7 s at 5 Mbit/s, and with a timeout
of 1.2 s the requests of 65 instances failed repeatedly and saturated every link.
"""

import hashlib
import zlib
from collections import OrderedDict
from collections.abc import Hashable

import msgspec

# Size of a piece in bytes. One piece blocks the streams of an instance for 26 ms at
# 5 Mbit/s.
PIECE_BYTES = 16 << 10
# Number of contents kept for further requests. Each one leads from one revision to
# another, and the revisions of instances differ by a few changes. Eight complete tables
# of 10,000 routes take about 2 MB.
KEPT_CONTENTS = 8
# Compression level of zlib. Higher levels block the event loop for longer and compress
# hardly better.
COMPRESSION = 1
# Digest length in bytes of a content's name, long enough to make collisions negligible.
NAME_BYTES = 16


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a transfer: name of the content and number of bytes received."""

    content: str = ""
    held: int = 0


class Piece(msgspec.Struct, frozen=True, array_like=True):
    """Part of a compressed content.

    Attributes
    ----------
    content : str
        Name of the content, its digest.
    offset : int
        Offset of the piece in the compressed content, in bytes.
    size : int
        Size of the complete compressed content, in bytes.
    data : bytes
        Bytes of the piece.
    """

    content: str
    offset: int
    size: int
    data: bytes


class Outbox:
    """Contents that other instances fetch, each compressed once for all of them."""

    def __init__(self) -> None:
        self._contents: OrderedDict[str, bytes] = OrderedDict()
        self._names: dict[Hashable, str] = {}

    def resume(self, progress: Progress) -> Piece | None:
        """Return the next piece of a content, or None if the content is not stored here.

        A transfer continues even if newer content exists: if changes follow each other
        faster than a complete table is transferred, a transfer that restarts with each
        change never ends.
        """
        return self._piece(progress.content, progress.held)

    def first_piece(self, key: Hashable) -> Piece | None:
        """Return the first piece of the content stored under a key, or None."""
        return self._piece(self._names.get(key, ""), 0)

    def keep(self, key: Hashable, raw: bytes) -> Piece:
        """Store a content under a key and return its first piece."""
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
    """Received part of the content that is being fetched."""

    def __init__(self) -> None:
        self._content = ""
        self._data = bytearray()

    @property
    def progress(self) -> Progress:
        """Progress to send with the next request; empty if nothing is being fetched."""
        return Progress(self._content, len(self._data))

    def take(self, piece: Piece) -> bytes | None:
        """Append a piece; return the content once it is complete.

        A piece that does not continue the received part is ignored, except for the first
        piece of another content. That one restarts the transfer, since the instance asked
        does not have the previous content.
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
        # Content whose digest does not match its name is discarded and fetched again.
        return zlib.decompress(whole) if _name_of(whole) == piece.content else None

    def drop(self) -> None:
        """Discard the received part."""
        self._content, self._data = "", bytearray()


def _name_of(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=NAME_BYTES).hexdigest()
