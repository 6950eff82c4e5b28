"""Errors of the entry daemon, in the form that callers see."""

from reachlink.delivery import Outcome
from reachlink.kernel import ReachlinkError
from reachlink.pacing import Hold
from reachlink.quarantine import HELD, HeldRequestError
from reachlink.requests import STOPPING_RETRY_S
from reachlink.upstreams import NOT_RUN_STATUSES, check_promise

# Time to come back where the instance holds as much as it may, in seconds.
HELD_RETRY_S = 0.3
# Code of the final answers of an instance that stops.
INSTANCE_STOPPING = "instance_stopping"
# Time to come back where nobody confirms the settings, in seconds.
UNCONFIRMED_RETRY_S = 0.5

__all__ = [
    "EntryError",
    "HeldOverBudgetError",
    "RequestError",
    "RequestRefusedError",
    "SettingsUnconfirmedError",
    "held_request",
    "stopping_error",
]


class EntryError(ReachlinkError):
    """Base class of the errors of this layer."""


class RequestError(EntryError):
    """A request that ends with an error.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Short code for programs.
    message : str
        Sentence for people.
    outcome : Outcome
        Whether the request has run.
    retry_after_s : float, optional
        When a retry makes sense, in seconds.
    param : str, optional
        Path of the field that is wrong.

    Raises
    ------
    ValueError
        If the status promises more than the outcome says.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
        param: str | None = None,
    ) -> None:
        check_promise(status, outcome is Outcome.NOT_RUN)
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.param = param


# When to come back after every attempt has failed, in seconds: a replica that fails is
# left alone for as long at first.
FAILED_RETRY_S = 1.0
# Status that promises that a request has not run.
_NOT_RUN_STATUS = 503


def upstream_failed(reason: str, outcome: Outcome, hold: Hold | None) -> RequestError:
    """Return the final answer after every attempt has failed.

    Parameters
    ----------
    reason : str
        Why the last one did.
    outcome : Outcome
        What is known of all of them. What has surely not run gets the status that
        promises so: with 502 callers have to take it for run.
    hold : Hold, optional
        Until when all replicas are held back by what they have asked for, if so.
    """
    status = _NOT_RUN_STATUS if outcome is Outcome.NOT_RUN else 502
    retry_s = FAILED_RETRY_S if hold is None else hold.remaining_s
    return RequestError(status, "upstream_failed", reason, outcome, retry_s)


def after_dispatch(error: RequestError) -> RequestError:
    """Return an error for a request of which an earlier attempt may have run.

    Parameters
    ----------
    error : RequestError
        What ended the last attempt, which by itself may not have run.

    Returns
    -------
    RequestError
        The error without the promise that the request has not run, be it by its outcome or by its
        status.
    """
    if error.outcome is not Outcome.NOT_RUN:
        return error
    status, code = error.status, error.code
    if status in NOT_RUN_STATUSES:
        status, code = 502, "upstream_failed"
    return RequestError(
        status, code, error.message, Outcome.UNKNOWN, error.retry_after_s, error.param
    )


def stopping_error(outcome: Outcome) -> RequestError:
    """Return the final answer of an instance that stops before a request is done.

    Parameters
    ----------
    outcome : Outcome
        What is known of the request. Only what has surely not run gets the status that
        promises so.
    """
    if outcome is Outcome.NOT_RUN:
        message = "this instance stops before the request could end; another one takes it"
        return RequestError(_NOT_RUN_STATUS, INSTANCE_STOPPING, message, outcome, STOPPING_RETRY_S)
    message = "this instance stops before the answer was whole"
    return RequestError(504, INSTANCE_STOPPING, message, outcome, STOPPING_RETRY_S)


class HeldOverBudgetError(RequestError):
    """A body that the instance has no room for; what is left of it is not read.

    Parameters
    ----------
    size : int
        Its bytes as announced, or as many as had come.
    """

    def __init__(self, size: int) -> None:
        super().__init__(
            503,
            "held_over_budget",
            "this instance holds as much as it may for callers",
            retry_after_s=HELD_RETRY_S,
        )
        self.size = size


def no_room_error() -> RequestError:
    """Return the error of a request for which there is no room beside the others."""
    return RequestError(
        503,
        "connections_over_budget",
        "this instance handles as many requests as it may",
        Outcome.NOT_RUN,
        retry_after_s=HELD_RETRY_S,
    )


def held_request(error: HeldRequestError, sent: bool) -> RequestError:
    """Return the final answer to a held request, which was sent to a replica before or not."""
    if error.whole or sent:
        # Not 503, which would promise that the same request, sent before, has not run.
        return RequestError(502, HELD, error.describe(True), Outcome.UNKNOWN)
    return RequestError(503, HELD, error.describe(False), Outcome.NOT_RUN, error.ends_in_s)


class SettingsUnconfirmedError(RequestError):
    """Something is not in the settings, and nobody confirms that these are the newest.

    Parameters
    ----------
    missing : RequestError
        What the request would be told if they were.
    """

    def __init__(self, missing: RequestError) -> None:
        super().__init__(
            503,
            "settings_unconfirmed",
            f"{missing.message}, and no control instance confirms that nothing was added",
            retry_after_s=UNCONFIRMED_RETRY_S,
        )


class RequestRefusedError(EntryError):
    """A request that gets a final answer of a callers' border, as it surely has not run.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Short code for logs and metrics, and the body of the answer.
    retry_after_s : float, optional
        Time in seconds after which the caller should come back.
    closes : bool
        Whether the connection is closed after the answer.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None, closes: bool = False
    ) -> None:
        super().__init__(reason)
        self.closes = closes
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
