"""Refusals of upstreams, with their error bodies."""

import aiohttp
import msgspec

from reachlink.upstreams._conversions import UNREADABLE
from reachlink.upstreams.exceptions import UpstreamBrokenError, UpstreamRefusedError

MAX_ERROR_BYTES = 64 << 10
# Statuses that mean that the upstream did not run the request.
REFUSED_STATUSES = frozenset({400, 404, 409, 413, 422, 429, 503})


class ErrorDetail(msgspec.Struct):
    """Content of the ``error`` field of an error body."""

    code: str | int | None = None
    message: str = ""


class ErrorBody(msgspec.Struct):
    """Error body in the format of OpenAI-compatible servers."""

    error: ErrorDetail = msgspec.field(default_factory=ErrorDetail)


async def raise_refusal(response: aiohttp.ClientResponse) -> None:
    """Raise the upstream error for an error response to a dispatched request."""
    try:
        raw = await response.content.read(MAX_ERROR_BYTES)
        detail = msgspec.json.decode(raw, type=ErrorBody).error
    except UNREADABLE:
        detail = ErrorDetail(message="the upstream's error could not be read")
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamBrokenError(str(error)) from error
    finally:
        response.release()
    if response.status in REFUSED_STATUSES:
        code = str(detail.code or response.status)
        raise UpstreamRefusedError(response.status, code, detail.message)
    raise UpstreamBrokenError(f"upstream failed with status {response.status}: {detail.message}")
