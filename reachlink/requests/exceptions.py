"""Errors of the request lifecycle."""

from reachlink.delivery import Outcome
from reachlink.kernel import ReachlinkError
from reachlink.upstreams import check_promise

__all__ = ["CallerGoneError", "RequestFailedError", "RequestsError", "StreamCutError"]


class RequestsError(ReachlinkError):
    """Base class of the errors of the request lifecycle."""


class RequestFailedError(RequestsError):
    """The request failed, and reachlink itself gives its final answer.

    Parameters
    ----------
    status : int
        HTTP status; those in `NOT_RUN_STATUSES` guarantee that the request did not run.
    reason : str
        Short code for logs and metrics, for example ``no_replica``.
    outcome : Outcome
        Whether the request may have run.
    retry_after_s : float, optional
        Time in seconds after which the caller should retry.
    message : str, optional
        Message in the body of the answer; `reason` if empty.

    Raises
    ------
    ValueError
        If the status guarantees more than the outcome says.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
        message: str = "",
    ) -> None:
        check_promise(status, outcome is Outcome.NOT_RUN)
        super().__init__(f"{status} {reason}")
        self.message = message or reason
        self.status = status
        self.reason = reason
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class StreamCutError(RequestsError):
    """A started stream cannot be completed, so its connection must be aborted.

    A regular end of the body would make the stream look complete.

    Parameters
    ----------
    reason : str
        Short code for logs and metrics.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class CallerGoneError(RequestsError):
    """The caller has closed its connection, so that no answer can be given.

    Only the state of the caller's own connection leads to this error. Other errors of sockets
    and files say nothing about the caller, who is still owed an answer.
    """

    def __init__(self) -> None:
        super().__init__("caller_gone")
        self.reason = "caller_gone"
