"""Bodies of callers that wait to be asked for them."""

from aiohttp import HttpVersion11, web

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
