"""What follows an attempt that brought no answer; pure."""

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch

from reachlink.delivery import Outcome
from reachlink.pacing import HoldReason
from reachlink.upstreams import UpstreamHeldBackError, UpstreamLimitedError


class AttemptFailure(Enum):
    """Why an attempt brought no answer."""

    UNREACHABLE = "unreachable"
    GONE = "gone"
    BACKOFF = HoldReason.BACKOFF.value
    LIMITED = HoldReason.LIMIT.value
    NOT_RUN = HoldReason.REFUSING.value
    BROKEN = "broken"
    FAILED = "failed"
    SLOW = "slow"


# The replica may get the request a little later.
_PACED = frozenset({AttemptFailure.BACKOFF, AttemptFailure.LIMITED})
_DID_NOT_RUN = _PACED | {AttemptFailure.UNREACHABLE, AttemptFailure.GONE, AttemptFailure.NOT_RUN}
# The replica that was meant did not get the request.
_NOT_SENT = _PACED | {AttemptFailure.UNREACHABLE, AttemptFailure.GONE}
# Nor did any other: another attempt is no repeat.
BUDGET_EXEMPT = _PACED | {AttemptFailure.UNREACHABLE}


@singledispatch
def pacing_failure(error: UpstreamHeldBackError) -> AttemptFailure:
    """Return what it means that a replica may get nothing now."""
    return AttemptFailure.BACKOFF


@pacing_failure.register
def _rate_limit_failure(error: UpstreamLimitedError) -> AttemptFailure:
    return AttemptFailure.LIMITED


@dataclass(slots=True)
class AttemptLog:
    """The attempts of one request so far.

    Attributes
    ----------
    may_repeat : bool
        Whether it may run more than once.
    max_attempts : int
        Most replicas that it may be sent to.
    sent : int
        Replicas that it was sent to.
    may_have_run : bool
        Whether one of them may have run it.
    reason : str
        Why there is no answer so far, as a short code for logs and metrics.
    """

    may_repeat: bool
    max_attempts: int
    sent: int = 0
    may_have_run: bool = False
    reason: str = "no_replica"

    @property
    def outcome(self) -> Outcome:
        """What can be said of the request."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    def record_failure(self, failure: AttemptFailure) -> None:
        """An attempt ended without an answer to give."""
        self.reason = failure.value
        if failure not in _NOT_SENT:
            self.sent += 1
        if failure not in _DID_NOT_RUN:
            self.may_have_run = True

    def may_try_another_replica(self) -> bool:
        """Return whether another replica may get the request."""
        if self.sent >= self.max_attempts:
            return False
        return self.may_repeat or not self.may_have_run
