"""Bytes that a server in trouble sends without end, until its connection is closed."""

import asyncio
from dataclasses import dataclass

# Bytes that a server sends at the most, so that a test ends although nobody closes.
SENT_MAX_BYTES = 64 << 20
# Bytes of one write.
PIECE_BYTES = 64 << 10

_OK = b"HTTP/1.1 200 OK\r\n"


@dataclass(frozen=True)
class EndlessBytes:
    """What is sent: a beginning once, and what follows without end.

    Attributes
    ----------
    begin : bytes
        What comes first, after the status line where `head_begins`.
    repeated : bytes
        What is repeated.
    in_head : bool
        Whether the head of the answer never ends; else the body does not.
    """

    begin: bytes
    repeated: bytes
    in_head: bool

    def piece(self) -> bytes:
        """Return what one write sends."""
        return self.repeated * max(1, PIECE_BYTES // len(self.repeated))


ENDLESS_HEADS = {
    "fields": EndlessBytes(_OK, b"X-A: b\r\n", True),
    "field": EndlessBytes(_OK + b"X-A: ", b"a", True),
    "reason": EndlessBytes(b"HTTP/1.1 200 ", b"a", True),
    "empty_lines": EndlessBytes(b"", b"\r\n", True),
    "interim": EndlessBytes(b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", True),
    "no_http": EndlessBytes(b"", b"\x00\xff", True),
}
"""Heads that never end, by what comes without end."""

ENDLESS_BODIES = {
    "chunk_extension": EndlessBytes(b"1;a=", b"a", False),
    "chunk_size": EndlessBytes(b"", b"0", False),
    "trailers": EndlessBytes(b"1\r\na\r\n0\r\n", b"X-A: b\r\n", False),
    "trailer": EndlessBytes(b"1\r\na\r\n0\r\nX-A: ", b"a", False),
    "chunk": EndlessBytes(b"fffffff0\r\n", b"a", False),
    "empty_lines": EndlessBytes(b"1\r\na\r\n", b"\r\n", False),
}
"""Chunked bodies that never end, by what comes without end."""


async def send_endlessly(endless: EndlessBytes, writer: asyncio.StreamWriter) -> int:
    """Send until the other side closes; return how many bytes it took."""
    sent = len(endless.begin)
    piece = endless.piece()
    try:
        writer.write(endless.begin)
        while sent < SENT_MAX_BYTES:
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            # The other side runs in the same process.
            await asyncio.sleep(0)
    except OSError:
        pass
    finally:
        writer.close()
    return sent
