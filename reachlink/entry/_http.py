"""What all HTTP handlers of the entry daemon share: errors, keys, bodies."""

import asyncio
import math
import uuid
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, TypeVar

from aiohttp import web

from reachlink.control import ControlUnavailableError, OutcomeUnknownError
from reachlink.delivery import InvalidPositionError, Outcome
from reachlink.entry._caller_state import is_open
from reachlink.entry._final_answers import is_broken_off
from reachlink.entry._node import EntryNode
from reachlink.entry._unforeseen import unforeseen_error
from reachlink.entry.exceptions import (
    HeldOverBudgetError,
    RequestError,
    SettingsUnconfirmedError,
)
from reachlink.ingress import (
    FEW_JSON_VALUES,
    JSON_VALUE_BYTES,
    MAX_JSON_VALUES,
    BodyLimits,
    BodyOverBudgetError,
    BodyTooLargeError,
    BodyTooSlowError,
    IncomingBodies,
    answer_bytes,
    count_json_values,
    note_body_read,
    write_read,
)
from reachlink.kernel import bearer_key, json_response, steady_time
from reachlink.limits import MAX_SHORT_BYTES, BufferKind, CallerBuffer
from reachlink.settings import hash_key

REQUEST_HEADER = "X-Request-Id"
BODY_TIMEOUT_S = 30.0
# Time in seconds in which a caller must read a long answer.
ANSWER_TIMEOUT_S = 60.0
# Hard bound before a workspace is known; settings may say less.
MAX_BODY_BYTES = 16 << 20
# Statuses of refusals that rest on something that the settings do not have.
SETTINGS_REFUSALS = (401, 403, 404)

# How long a refusal waits for the settings to be confirmed, in seconds.
CONFIRMATION_WAIT_S = 1.0

_Found = TypeVar("_Found")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def error_body(error: RequestError, request_id: str) -> dict[str, Any]:
    """Return an error in the shape that OpenAI-compatible clients read."""
    detail: dict[str, Any] = {
        "message": error.message,
        "type": "invalid_request_error" if error.status < 429 else "server_error",
        "code": error.code,
        "param": error.param,
        "outcome": error.outcome.value,
        "request_id": request_id,
    }
    if error.retry_after_s is not None:
        detail["retry_after"] = round(error.retry_after_s, 3)
    return {"error": detail}


def error_response(error: RequestError, request_id: str) -> web.Response:
    """Return an error response."""
    headers = {REQUEST_HEADER: request_id}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return json_response(error_body(error, request_id), error.status, headers)


def _last_response(error: RequestError, request_id: str) -> web.Response:
    """Return an error response after which nothing else is read on the connection."""
    response = error_response(error, request_id)
    response.force_close()
    return response


def error_middleware(node: EntryNode) -> Any:
    """Return the middleware that names requests and turns errors into responses."""

    @web.middleware
    async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
        held = request["held"] = CallerBuffer(node.held)
        request["bodies"] = node.bodies
        try:
            response = await _answer(node, request, handler)
            await _count_until_read(node, request, response)
            return response
        finally:
            held.release()

    return middleware


async def _answer(node: EntryNode, request: web.Request, handler: Handler) -> web.StreamResponse:
    """Return the answer of a handler, or of its error."""
    request_id = f"req-{uuid.uuid4().hex}"
    request["request_id"] = request_id
    started_at = steady_time()
    node.running_requests += 1
    try:
        async with node.final_answers.scope(request):
            response = await handler(request)
        # Here, since the server closes the connection where a header field cannot be sent.
        await response.prepare(request)
        return response
    except HeldOverBudgetError as error:
        node.on_body_refused(request_id, error.size)
        return _last_response(error, request_id)
    except web.RequestPayloadError as error:
        reason = f"the body cannot be read: {error.args[0]}"
        return _last_response(RequestError(400, "invalid_body", reason, param="body"), request_id)
    except RequestError as error:
        if is_broken_off(request):
            return _last_response(error, request_id)
        _log_refusal(node, request_id, error)
        return error_response(error, request_id)
    except web.HTTPException as error:
        code = (error.reason or "error").lower().replace(" ", "_")
        wrapped = RequestError(error.status, code, error.text or error.reason or "")
        return error_response(wrapped, request_id)
    except InvalidPositionError as error:
        return error_response(
            RequestError(400, "invalid_event_id", str(error), param="Last-Event-ID"),
            request_id,
        )
    except ControlUnavailableError as error:
        wrapped = RequestError(503, "control_unavailable", str(error), retry_after_s=1.0)
        return error_response(wrapped, request_id)
    except OutcomeUnknownError as error:
        wrapped = RequestError(
            504, "outcome_unknown", str(error), Outcome.UNKNOWN, retry_after_s=1.0
        )
        return error_response(wrapped, request_id)
    except (asyncio.CancelledError, Exception) as error:
        if not is_open(request):
            node.log.info(
                "caller_left",
                request_id=request_id,
                reason=str(error) or type(error).__name__,
                ran_ms=round((steady_time() - started_at) * 1000.0),
                draining=node.draining,
            )
            raise
        return error_response(unforeseen_error(node.log, request_id, error), request_id)
    finally:
        node.running_requests -= 1


async def _count_until_read(
    node: EntryNode, request: web.Request, response: web.StreamResponse
) -> None:
    """Count a long answer for the caller until it has read it."""
    size = answer_bytes(response)
    if size <= MAX_SHORT_BYTES:
        return
    # It is there already, whether or not there is room for it.
    request["held"].set_size(BufferKind.ANSWER, size)
    try:
        was_read = await write_read(request, response, ANSWER_TIMEOUT_S)
    except ConnectionError:
        was_read = False
    if not was_read:
        node.log.info("answer_unread", request_id=request["request_id"], answer_bytes=size)


def _log_refusal(node: EntryNode, request_id: str, error: RequestError) -> None:
    """Log a refusal that rests on something that the settings do not have."""
    if error.status not in SETTINGS_REFUSALS:
        return
    node.log.info(
        "request_refused",
        request_id=request_id,
        status=error.status,
        reason=error.code,
        outcome=error.outcome.value,
        revision=node.tree.revision,
        confirmed_age_s=round(node.confirmation.age_s, 3),
    )


async def find_in_settings(
    node: EntryNode, find: Callable[[], _Found | None], missing: RequestError
) -> _Found:
    """Return what is found in the settings in force.

    Parameters
    ----------
    node : EntryNode
        The entry instance.
    find : callable
        Looks for it in the settings; None if they do not have it.
    missing : RequestError
        Told where the newest settings do not have it.

    Raises
    ------
    RequestError
        If this instance does not serve now, or the settings do not have it.
    """
    if not node.ready:
        raise RequestError(503, "not_ready", node.not_ready_reason, retry_after_s=1.0)
    found = find()
    if found is not None:
        return found
    confirmed = await node.settings_confirmed(CONFIRMATION_WAIT_S)
    found = find()
    if found is not None:
        return found
    raise missing if confirmed else SettingsUnconfirmedError(missing)


async def require_workspace(node: EntryNode, request: web.Request) -> str:
    """Return the workspace whose key a request carries.

    Raises
    ------
    RequestError
        If this instance does not serve now, or the key is nobody's.
    """
    key = hash_key(bearer_key(request))
    unknown = RequestError(401, "invalid_key", "the bearer key is not known", param="Authorization")
    return await find_in_settings(node, lambda: node.tree.workspace_by_key.get(key), unknown)


async def read_body(request: web.Request, limit: int) -> bytes:
    """Read a body within its size limit and the time for slow senders.

    Raises
    ------
    RequestError
        If it is too large or comes too slowly, or the instance has no room for it.
    """
    if not request.body_exists:
        return b""
    bodies: IncomingBodies = request["bodies"]
    bounds = BodyLimits(limit, BODY_TIMEOUT_S, BODY_TIMEOUT_S)
    try:
        return await bodies.receive(
            request.content,
            request.content_length,
            request["held"],
            bounds,
            partial(note_body_read, request),
        )
    except BodyTooLargeError as error:
        raise RequestError(413, "body_too_large", str(error), param="body") from error
    except BodyTooSlowError as error:
        raise RequestError(408, "body_too_slow", str(error)) from error
    except BodyOverBudgetError as error:
        raise HeldOverBudgetError(error.size) from error


async def read_json_body(request: web.Request, limit: int) -> bytes:
    """Read a body that is to be decoded, if there is room for its decoded values as well.

    Raises
    ------
    RequestError
        As `read_body`, or if it has too many values.
    """
    raw = await read_body(request, limit)
    values = count_json_values(raw)
    if values > MAX_JSON_VALUES:
        reason = f"{values} values, the limit is {MAX_JSON_VALUES}"
        raise RequestError(400, "invalid_body", reason, param="body")
    size = values * JSON_VALUE_BYTES
    if values > FEW_JSON_VALUES and not request["held"].reserve(BufferKind.REQUEST, size):
        raise HeldOverBudgetError(size)
    return raw
