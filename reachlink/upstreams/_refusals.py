"""Refusals of upstreams, with their error bodies."""

import aiohttp
import msgspec

from reachlink.upstreams._conversions import UNREADABLE
from reachlink.upstreams._statuses import NOT_RUN_STATUSES
from reachlink.upstreams.exceptions import (
    INVALID_STATUSES,
    UnconfirmedRefusalError,
    UpstreamBrokenError,
    UpstreamInvalidError,
    UpstreamRefusedError,
)

# Header field of an answer in which an upstream states that it has not run the request and will
# not run it later.
NOT_RUN_HEADER = "X-Fleet-Not-Run"
MAX_ERROR_BYTES = 64 << 10
# The upstream does not serve the target at all, so that even a request that may run once may be
# sent elsewhere (RFC 9110, section 15.5.20).
_MISDIRECTED = 421


class ErrorDetail(msgspec.Struct):
    """Content of the ``error`` field of an error body."""

    code: str | int | None = None
    message: str = ""


class ErrorBody(msgspec.Struct):
    """Error body in the format of OpenAI-compatible servers."""

    error: ErrorDetail = msgspec.field(default_factory=ErrorDetail)


async def raise_call_refusal(response: aiohttp.ClientResponse) -> None:
    """Raise the upstream error for an answer to a call whose status promises that it has not run.

    The status alone is no proof: services and proxies give it for failures after a run, too.

    Raises
    ------
    UpstreamRefusedError
        If the upstream confirms that it has not run the call.
    UnconfirmedRefusalError
        If it does not.
    """
    detail = await _read_detail(response)
    code = str(detail.code or response.status)
    if _is_confirmed(response):
        raise UpstreamRefusedError(response.status, code, detail.message)
    raise UnconfirmedRefusalError(response.status, code, detail.message)


async def raise_refusal(response: aiohttp.ClientResponse) -> None:
    """Raise the upstream error for an error response to a dispatched request.

    Raises
    ------
    UpstreamRefusedError
        If the upstream confirms that it has not run the request.
    UpstreamInvalidError
        If no replica takes the request.
    UnconfirmedRefusalError
        If the status promises that it has not run, and the upstream does not confirm it.
    UpstreamBrokenError
        If the upstream failed in another way.
    """
    detail = await _read_detail(response)
    status, code = response.status, str(detail.code or response.status)
    if _is_confirmed(response):
        raise UpstreamRefusedError(status, code, detail.message)
    if status in INVALID_STATUSES:
        raise UpstreamInvalidError(status, code, detail.message)
    if status in NOT_RUN_STATUSES:
        raise UnconfirmedRefusalError(status, code, detail.message)
    raise UpstreamBrokenError(f"upstream failed with status {status}: {detail.message}")


def _is_confirmed(response: aiohttp.ClientResponse) -> bool:
    """Return whether an upstream states that it has not run the request."""
    return NOT_RUN_HEADER in response.headers or response.status == _MISDIRECTED


async def _read_detail(response: aiohttp.ClientResponse) -> ErrorDetail:
    """Return what an error body tells."""
    try:
        raw = await response.content.read(MAX_ERROR_BYTES)
        return msgspec.json.decode(raw, type=ErrorBody).error
    except UNREADABLE:
        return ErrorDetail(message="the upstream's error could not be read")
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamBrokenError(str(error)) from error
    finally:
        response.release()
