"""Whole answers, which take memory until their callers have read them."""

import asyncio

from aiohttp import web


def answer_bytes(response: web.StreamResponse) -> int:
    """Return the size in bytes of an answer that is written at once; 0 for a stream."""
    if isinstance(response, web.Response) and isinstance(response.body, bytes):
        return len(response.body)
    return 0


async def write_read(
    request: web.BaseRequest, response: web.StreamResponse, timeout_s: float
) -> bool:
    """Write a whole answer, and wait until its caller has read most of it.

    The connection of a caller that does not in time is broken off.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    response : aiohttp.web.StreamResponse
        Its answer.
    timeout_s : float
        Longest time in seconds.

    Returns
    -------
    bool
        Whether the caller has read it in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await response.prepare(request)
            await response.write_eof()
            await request.writer.drain()
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
        return False
    return True
