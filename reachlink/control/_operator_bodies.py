"""Bodies and answers of operators' requests, within the memory that a process has for them."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from aiohttp import web

from reachlink.control.exceptions import OperatorError
from reachlink.ingress import (
    BodyLimits,
    BodyOverBudgetError,
    BodyTooLargeError,
    BodyTooSlowError,
    IncomingBodies,
    answer_bytes,
    buffer_bytes,
    note_body_read,
    write_read,
)
from reachlink.kernel import json_response
from reachlink.limits import MAX_SHORT_BYTES, BufferBudget, BufferKind, CallerBuffer
from reachlink.telemetry import get_logger

# Largest body that operators may send, in bytes: a routing table of some tens of thousands of
# routes.
MAX_BODY_BYTES = 16 << 20
# Time in seconds within which a body must arrive, and an answer be read.
BODY_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 30.0
# Share of the memory for bodies that is used here: a table is held as bytes and as text.
OPERATOR_SHARE = 0.5
# Share of that which one operator may take.
CALLER_SHARE = 0.75
# Time in seconds after which a request that finds no room may come again.
RETRY_S = 0.3
# Keys of a request: what its sender holds, and the bodies that are arriving.
HELD_KEY, BODIES_KEY = "held", "bodies"

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


async def read_operator_body(request: web.Request, limit: int = MAX_BODY_BYTES) -> bytes:
    """Return the body of an operator's request.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request.
    limit : int
        Largest size in bytes.

    Raises
    ------
    OperatorError
        If it is too large or comes too slowly, or there is no room for it.
    """
    if not request.body_exists:
        return b""
    bodies: IncomingBodies = request[BODIES_KEY]
    bounds = BodyLimits(limit, BODY_TIMEOUT_S, BODY_TIMEOUT_S)
    try:
        return await bodies.receive(
            request.content,
            request.content_length,
            request[HELD_KEY],
            bounds,
            partial(note_body_read, request),
        )
    except BodyTooLargeError as error:
        raise OperatorError(413, "body_too_large", str(error)) from error
    except BodyTooSlowError as error:
        raise OperatorError(408, "body_too_slow", str(error)) from error
    except BodyOverBudgetError as error:
        raise OperatorError(503, "held_over_budget", str(error)) from error


class OperatorBuffers:
    """Accounts for what operators' requests and answers hold of a process.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may take, in MB; 0 for that of the machine.
    """

    def __init__(self, memory_mb: float) -> None:
        self._budget = BufferBudget(int(buffer_bytes(memory_mb) * OPERATOR_SHARE), CALLER_SHARE)
        self._bodies = IncomingBodies(self._budget)
        self._log: Any = get_logger()

    @property
    def budget(self) -> BufferBudget:
        """Budget of all bodies and answers."""
        return self._budget

    def middleware(self) -> Any:
        """Return the middleware of an application whose requests and answers count."""

        @web.middleware
        async def middleware(request: web.Request, handler: _Handler) -> web.StreamResponse:
            held = request[HELD_KEY] = CallerBuffer(self._budget)
            request[BODIES_KEY] = self._bodies
            try:
                return await self._answer(request, await handler(request), held)
            finally:
                held.release()

        return middleware

    async def _answer(
        self, request: web.Request, response: web.StreamResponse, held: CallerBuffer
    ) -> web.StreamResponse:
        """Write an answer while its bytes count, if there is room for it."""
        size = answer_bytes(response)
        if size > MAX_SHORT_BYTES and not held.reserve(BufferKind.ANSWER, size):
            self._note(request, "no_room", size)
            response = refused_for_room()
        if not await write_read(request, response, ANSWER_TIMEOUT_S):
            self._note(request, "not_read_in_time", size)
        return response

    def _note(self, request: web.Request, reason: str, size: int) -> None:
        self._log.info(
            "operator_answer_dropped",
            path=request.path,
            source=request.remote,
            reason=reason,
            answer_bytes=size,
            held_bytes=self._budget.total,
            limit=self._budget.limit,
        )


def refused_for_room() -> web.Response:
    """Return the answer to a request for which there is no room; nothing was done."""
    body = {"error": {"code": "held_over_budget", "message": "there is no room for this now"}}
    response = json_response(body, 503, {"Retry-After": f"{RETRY_S:.3f}"})
    response.force_close()
    return response


def refused_body(request: web.Request, error: OperatorError) -> web.Response:
    """Return the answer to a request whose body was not read, for borders of their own form."""
    get_logger().info(
        "operator_body_refused", path=request.path, source=request.remote, reason=error.code
    )
    response = json_response({"error": error.message}, error.status)
    if error.status == 503:
        response.headers["Retry-After"] = f"{RETRY_S:.3f}"
        # The rest of the body is not read.
        response.force_close()
    return response
