"""Connections to callers that this instance aborts: which, how many, and for which reason."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from reachlink.requests import CallerGoneError, RequestFailedError, StreamCutError

ABORTED_DESCRIPTION = "Connections to callers that were aborted, by reason."


@dataclass(slots=True, frozen=True)
class ConnectionAbort:
    """A connection to a caller that is aborted in place of an end of its answer.

    Attributes
    ----------
    request_id : str
        Request id that the caller gave.
    error : BaseException
        Why the answer cannot be given or completed.
    answer_begun : bool
        Whether a part of the answer was written.
    connection_open : bool
        Whether the connection was still open.
    """

    request_id: str
    error: BaseException
    answer_begun: bool
    connection_open: bool


@singledispatch
def abort_reason(error: BaseException) -> str:
    """Return the short code of an error for logs and metrics; its type if it has none."""
    return type(error).__name__


@abort_reason.register
def _failure_reason(error: RequestFailedError) -> str:
    return error.reason


@abort_reason.register
def _cut_reason(error: StreamCutError) -> str:
    return error.reason


@abort_reason.register
def _gone_reason(error: CallerGoneError) -> str:
    return error.reason


class ConnectionAborts:
    """Counts and logs the connections to callers that are aborted.

    Parameters
    ----------
    count : callable
        Called with the reason of each.
    log : object
        Logger of the process.
    """

    def __init__(self, count: Callable[[str], None], log: Any) -> None:
        self._count = count
        self._log = log

    def note(self, abort: ConnectionAbort) -> None:
        """Note that a connection is aborted."""
        reason = abort_reason(abort.error)
        self._count(reason)
        self._log.info(
            "caller_connection_aborted",
            request_id=abort.request_id,
            reason=reason,
            error=type(abort.error).__name__,
            message=str(abort.error),
            answer_begun=abort.answer_begun,
            connection_open=abort.connection_open,
        )
