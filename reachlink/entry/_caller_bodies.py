"""Bodies of callers: asked for where they wait for that, and read within their bounds."""

from functools import partial

from aiohttp import HttpVersion11, web

from reachlink.entry._borders import RelayHost
from reachlink.entry.exceptions import HELD_RETRY_S, RequestRefusedError
from reachlink.ingress import (
    BodyLimits,
    BodyOverBudgetError,
    BodyTooLargeError,
    BodyTooSlowError,
    note_body_read,
)
from reachlink.limits import CallerBuffer
from reachlink.routing import CallerLimits

# How long a body may come in, as a multiple of how long it may rest meanwhile: one that
# trickles in would be held for as long as its sender likes.
IDLE_TIMES = 4.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


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


async def receive_body(
    host: RelayHost,
    request: web.BaseRequest,
    limits: CallerLimits,
    held: CallerBuffer,
    request_id: str,
) -> bytes:
    """Return a caller's body once it has arrived whole.

    Parameters
    ----------
    host : RelayHost
        What the border serves.
    request : aiohttp.web.BaseRequest
        The caller's request.
    limits : CallerLimits
        Limits on requests that are in force.
    held : CallerBuffer
        Accounts for the body.
    request_id : str
        Request id that the caller gave.

    Raises
    ------
    RequestRefusedError
        If it is too large or comes too slowly, or there is no room for it.
    """
    bodies, size = host.bodies, request.content_length
    idle_s = limits.idle_timeout_s
    bounds = BodyLimits(limits.max_body_bytes, idle_s, idle_s * IDLE_TIMES)
    try:
        bodies.check(size, held, bounds)
        await ask_for_body(request)
        on_read = partial(note_body_read, request)
        return await bodies.receive(request.content, size, held, bounds, on_read)
    except BodyTooLargeError as error:
        raise RequestRefusedError(413, "body_too_large") from error
    except BodyTooSlowError as error:
        raise RequestRefusedError(408, "body_too_slow") from error
    except BodyOverBudgetError as error:
        host.on_body_refused(request_id, error.size)
        raise RequestRefusedError(503, "held_over_budget", HELD_RETRY_S, closes=True) from error
