"""Failures that no handler knows, as answers to callers."""

from typing import Any

from reachlink.delivery import Outcome
from reachlink.entry.exceptions import RequestError
from reachlink.requests import raised_at


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
        where=raised_at(error),
    )
    message = "the request failed within this instance"
    return RequestError(500, "internal_error", message, Outcome.UNKNOWN)
