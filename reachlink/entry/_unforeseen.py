"""Failures that no handler knows, as answers to callers."""

import traceback
from typing import Any

from aiohttp import web

from reachlink.delivery import Outcome
from reachlink.entry.exceptions import RequestError


def caller_is_gone(request: web.BaseRequest) -> bool:
    """Return whether the connection that a request came on is closed.

    An exception does not tell: connections to replicas and peers raise the same ones.
    """
    transport = request.transport
    return transport is None or transport.is_closing()


def unforeseen_error(log: Any, request_id: str, error: BaseException) -> RequestError:
    """Log a failure that no handler knows and return the error that its caller gets.

    Parameters
    ----------
    log : structlog logger
        Logger of the process.
    request_id : str
        The request.
    error : BaseException
        What came out of its handler.

    Returns
    -------
    RequestError
        An error that leaves open whether the request has run.
    """
    log.error(
        "request_failed",
        request_id=request_id,
        error=type(error).__name__,
        reason=str(error),
        where=_where(error),
    )
    message = "the request failed within this instance"
    return RequestError(500, "internal_error", message, Outcome.UNKNOWN)


def _where(error: BaseException) -> str:
    """Return the innermost place that an exception came through, as ``module:line``."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    name = frames[-1].filename.rpartition("/")[2]
    return f"{name}:{frames[-1].lineno}"
