"""Errors of the upstream adapters, distinguished by whether the request may have run."""

from reachlink.kernel import ReachlinkError

__all__ = [
    "AlreadySentError",
    "GenerationUnknownError",
    "UnconfirmedRefusalError",
    "UpstreamBrittleError",
    "UpstreamBrokenError",
    "UpstreamError",
    "UpstreamInvalidError",
    "UpstreamRefusedError",
    "UpstreamBackoffError",
    "UpstreamHeldBackError",
    "UpstreamLimitedError",
    "UpstreamUnreachableError",
]

# Error code of an upstream that takes no requests because it is leaving.
LEAVING_CODE = "leaving"
# Statuses of a request that no replica takes.
INVALID_STATUSES = frozenset({400, 413, 422})


class UpstreamError(ReachlinkError):
    """Base class of the errors of the upstream adapters."""


class UpstreamUnreachableError(UpstreamError):
    """No connection could be made, so nothing was dispatched.

    Parameters
    ----------
    message : str
        What failed.
    replica_away : bool
        Whether the fault is the replica's and not that of the path to it, as far as peers
        can tell.
    """

    def __init__(self, message: str, replica_away: bool = False) -> None:
        super().__init__(message)
        self.replica_away = replica_away


class UpstreamHeldBackError(UpstreamError):
    """The upstream has asked for no requests at this time, so nothing was sent.

    Parameters
    ----------
    remaining_s : float
        Time in seconds until a request may be sent.
    """

    def __init__(self, remaining_s: float) -> None:
        super().__init__(f"the upstream may get nothing for another {remaining_s:.3f} s")
        self.remaining_s = remaining_s


class UpstreamBackoffError(UpstreamHeldBackError):
    """The upstream has asked for a backoff."""


class UpstreamLimitedError(UpstreamHeldBackError):
    """The rate limit that the upstream advertises for all senders together is reached."""


class UpstreamBrittleError(UpstreamHeldBackError):
    """The upstream is brittle and may get no more requests from this instance now."""


class UpstreamRefusedError(UpstreamError):
    """The upstream refused the request and did not run it.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    code : str
        Error code of the upstream, such as ``leaving``.
    message : str
        Error message of the upstream.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(f"{status} {code}: {message}")
        self.status = status
        self.code = code
        self.message = message

    @property
    def leaving(self) -> bool:
        """Whether the upstream refused the request because it is leaving."""
        return self.code == LEAVING_CODE

    @property
    def final(self) -> bool:
        """Whether another replica would refuse the request as well."""
        return self.status in INVALID_STATUSES


class UpstreamInvalidError(UpstreamError):
    """The upstream takes the request for an invalid one, and does not say that it has not run.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    code : str
        Error code of the upstream.
    message : str
        Error message of the upstream.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(f"{status} {code}: {message}")
        self.status = status
        self.code = code
        self.message = message


class UpstreamBrokenError(UpstreamError):
    """The connection failed after dispatch; the request may have run."""


class AlreadySentError(UpstreamBrokenError):
    """The request may run once, was sent before and may have run; it was not sent again."""


class UnconfirmedRefusalError(UpstreamBrokenError):
    """The answer has the status of a refusal, but does not say that the request has not run.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    code : str
        Error code of the upstream, such as ``leaving``; empty if it gave none.
    message : str
        Error message of the upstream.
    """

    def __init__(self, status: int, code: str = "", message: str = "") -> None:
        detail = f" ({code}: {message})" if code else ""
        super().__init__(f"status {status} does not say that the request has not run{detail}")
        self.status = status
        self.code = code
        self.message = message

    @property
    def leaving(self) -> bool:
        """Whether the upstream says that it is leaving."""
        return self.code == LEAVING_CODE


class GenerationUnknownError(UpstreamError):
    """The engine does not know the generation, or no longer knows it."""
