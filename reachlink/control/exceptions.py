"""Errors of the control layer."""

from reachlink.kernel import ReachlinkError

__all__ = [
    "ControlError",
    "ControlUnavailableError",
    "OperatorError",
    "OutdatedRequestError",
    "OutcomeUnknownError",
    "UnknownZoneError",
]


class ControlError(ReachlinkError):
    """Base class of the errors of this layer."""


class ControlUnavailableError(ControlError):
    """No control instance could take the request; nothing was done."""


class OutdatedRequestError(ControlUnavailableError):
    """The sender of a request no longer waits for its answer; nothing was done."""


class OutcomeUnknownError(ControlError):
    """The request was handed over but its answer was lost.

    Sending it again under the same identifier gives the first answer.
    """


class UnknownZoneError(ControlError):
    """An order names an availability zone that does not exist."""


class OperatorError(ControlError):
    """A request of an operator that cannot be done.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Short code for programs.
    message : str
        Sentence for people.
    details : dict, optional
        More, in JSON types.
    """

    def __init__(
        self, status: int, code: str, message: str, details: dict[str, object] | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.details = details or {}
