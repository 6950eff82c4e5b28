"""Errors that no part of the request lifecycle expects."""

import asyncio
from pathlib import Path
from traceback import extract_tb
from typing import Any

INTERNAL_ERROR = "internal_error"
"""Reason of a final answer that is given because of such an error."""


def is_cancelled(error: BaseException) -> bool:
    """Return whether an error is the cancellation of the running task itself.

    A task that awaits something that was cancelled elsewhere gets the same error, although
    nobody has asked it to end.
    """
    task = asyncio.current_task()
    return isinstance(error, asyncio.CancelledError) and task is not None and task.cancelling() > 0


def raised_at(error: BaseException) -> str:
    """Return the file and line that raised an error, as ``file:line``; empty if unknown."""
    frames = extract_tb(error.__traceback__)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""


def log_internal_error(log: Any, request_id: str, error: BaseException, may_have_run: bool) -> None:
    """Log the error that a request ended by.

    Parameters
    ----------
    log : object
        Logger of the process.
    request_id : str
        Request id that the caller gave.
    error : BaseException
        The error.
    may_have_run : bool
        Whether a replica may have run the request.
    """
    log.error(
        "request_error",
        request_id=request_id,
        error=type(error).__name__,
        message=str(error),
        at=raised_at(error),
        may_have_run=may_have_run,
    )
