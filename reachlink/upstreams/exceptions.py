"""Errors of the upstream adapters, told apart by whether the request may have run."""

from reachlink.kernel import ReachlinkError

__all__ = [
    "GenerationUnknownError",
    "UpstreamBrokenError",
    "UpstreamError",
    "UpstreamRefusedError",
    "UpstreamBackoffError",
    "UpstreamHeldBackError",
    "UpstreamLimitedError",
    "UpstreamUnreachableError",
]


class UpstreamError(ReachlinkError):
    """Base class of the errors of this layer."""


class UpstreamUnreachableError(UpstreamError):
    """No connection could be made, so nothing was dispatched."""


class UpstreamHeldBackError(UpstreamError):
    """The upstream may get nothing now by what it has asked for, so nothing was sent.

    Parameters
    ----------
    remaining_s : float
        Time until it may, in seconds.
    """

    def __init__(self, remaining_s: float) -> None:
        super().__init__(f"the upstream may get nothing for another {remaining_s:.3f} s")
        self.remaining_s = remaining_s


class UpstreamBackoffError(UpstreamHeldBackError):
    """The upstream has asked for a backoff."""


class UpstreamLimitedError(UpstreamHeldBackError):
    """The upstream gets as much from all together as it takes."""


class UpstreamRefusedError(UpstreamError):
    """The upstream answered that it did not run the request.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    code : str
        The upstream's short code, such as ``leaving``.
    message : str
        The upstream's own words.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(f"{status} {code}: {message}")
        self.status = status
        self.code = code
        self.message = message

    @property
    def leaving(self) -> bool:
        """Whether the refusal tells that the upstream is leaving."""
        return self.code == "leaving"

    @property
    def final(self) -> bool:
        """Whether another replica would refuse the request as well."""
        return self.status in (400, 413, 422)


class UpstreamBrokenError(UpstreamError):
    """The connection failed after dispatch: the request may have run."""


class GenerationUnknownError(UpstreamError):
    """The engine does not know the generation (any more)."""
