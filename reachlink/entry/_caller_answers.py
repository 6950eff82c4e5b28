"""From a caller's request to its answer, whatever goes wrong on the way."""

import asyncio
from collections.abc import Awaitable

from aiohttp import web

from reachlink.delivery import Outcome
from reachlink.entry._borders import RelayHost
from reachlink.entry._caller_sink import CallerSink
from reachlink.entry._caller_state import is_open
from reachlink.entry._connection_aborts import ConnectionAbort
from reachlink.entry._final_answers import set_outcome
from reachlink.entry.exceptions import RequestError, RequestRefusedError
from reachlink.requests import (
    INTERNAL_ERROR,
    STOPPING,
    CallerGoneError,
    CallerRequest,
    RequestFailedError,
    StreamCutError,
    is_cancelled,
    log_internal_error,
)

# Time to come back after an error of this instance, in seconds: the caller's next attempt may
# reach another one.
INTERNAL_RETRY_S = 0.1


async def decoded_or_refused(
    host: RelayHost,
    request: web.BaseRequest,
    decoding: Awaitable[CallerRequest],
    request_id: str,
) -> CallerRequest:
    """Return a decoded request, which surely has not run if that fails.

    Parameters
    ----------
    host : RelayHost
        What the border serves.
    request : aiohttp.web.BaseRequest
        The caller's request.
    decoding : awaitable
        Reads and decodes it.
    request_id : str
        Request id that the caller gave.

    Raises
    ------
    RequestRefusedError
        If it is refused, a planned stop ends before it is decoded, or an error occurs that no
        part expects.
    """
    set_outcome(request, lambda: Outcome.NOT_RUN)
    try:
        async with host.final_answers.scope(request):
            return await decoding
    except RequestRefusedError:
        raise
    except RequestError as error:
        # The rest of a body may not have been read.
        raise RequestRefusedError(
            error.status, STOPPING, error.retry_after_s, closes=True
        ) from error
    except (Exception, asyncio.CancelledError) as error:
        if is_cancelled(error):
            raise
        log_internal_error(host.log, request_id, error, may_have_run=False)
        raise RequestRefusedError(503, INTERNAL_ERROR, INTERNAL_RETRY_S) from error


async def give_answer(
    host: RelayHost, request: web.BaseRequest, caller_request: CallerRequest
) -> web.StreamResponse:
    """Run a request to its end and give the caller its answer.

    Parameters
    ----------
    host : RelayHost
        What the border serves.
    request : aiohttp.web.BaseRequest
        The caller's request.
    caller_request : CallerRequest
        The same, decoded.

    Raises
    ------
    RequestFailedError
        If nothing was written yet; holds the final answer to give.
    """
    sink = CallerSink(request, caller_request.request_id, host)
    sink.ends_at = caller_request.deadline
    try:
        await host.runner.run(caller_request, sink)
    except RequestFailedError as error:
        if not sink.begun:
            raise
        _abort(host, request, sink, error)
    except (StreamCutError, CallerGoneError) as error:
        _abort(host, request, sink, error)
    return sink.response or web.Response(status=500)


def _abort(host: RelayHost, request: web.BaseRequest, sink: CallerSink, error: Exception) -> None:
    """Break a connection off, so that what was sent does not look complete."""
    abort = ConnectionAbort(sink.request_id, error, sink.begun, is_open(request))
    host.on_connection_aborted(abort)
    if request.transport is not None:
        request.transport.abort()
