"""Bodies of callers, read piece by piece within their bounds."""

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

from aiohttp import HttpVersion11, web

from reachlink.entry.exceptions import RequestError

# How long a body may come in, as a multiple of how long it may rest meanwhile: one that
# trickles in would be held for as long as its sender likes.
IDLE_TIMES = 4.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyContent(Protocol):
    """What a body is read from."""

    async def readany(self) -> bytes:
        """Return what has come; nothing at its end."""


async def body_pieces(
    content: BodyContent, max_bytes: int, idle_timeout_s: float
) -> AsyncIterator[bytes]:
    """Give the pieces of a body as they come in.

    Parameters
    ----------
    content : BodyContent
        Where they come in.
    max_bytes : int
        Size of the longest body that is taken.
    idle_timeout_s : float
        How long a body may rest between two pieces, in seconds; in all it may take
        `IDLE_TIMES` as long.

    Raises
    ------
    RequestError
        If it is too large or comes too slowly.
    """
    size = 0
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + idle_timeout_s * IDLE_TIMES
    try:
        while True:
            async with asyncio.timeout_at(min(loop.time() + idle_timeout_s, ends_at)):
                piece = await content.readany()
            if not piece:
                return
            size += len(piece)
            if size > max_bytes:
                message = f"the body is larger than {max_bytes} bytes"
                raise RequestError(413, "body_too_large", message, param="body")
            yield piece
    except TimeoutError as error:
        raise RequestError(408, "body_too_slow", "the body came too slowly") from error


async def ask_for_body(request: web.BaseRequest) -> None:
    """Tell a caller that waits with its body to send it (RFC 9110, section 10.1.1)."""
    if request.headers.get("Expect", "").lower() != "100-continue":
        return
    if request.version < HttpVersion11:
        return
    writer = request.writer
    await writer.write(_CONTINUE)
    # The final answer has not begun.
    writer.output_size = 0
