"""Failures of attempts and what they imply for further attempts. No I/O."""

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch

from reachlink.delivery import Outcome
from reachlink.pacing import HoldReason
from reachlink.upstreams import UpstreamBrittleError, UpstreamHeldBackError, UpstreamLimitedError


class AttemptFailure(Enum):
    """Why an attempt got no answer that can be given to the caller."""

    UNREACHABLE = "unreachable"
    GONE = "gone"
    BACKOFF = HoldReason.BACKOFF.value
    LIMITED = HoldReason.LIMIT.value
    BRITTLE = HoldReason.BRITTLE.value
    NOT_RUN = HoldReason.REFUSING.value
    BROKEN = "broken"
    FAILED = "failed"
    # The replica answered like one that refuses, but did not say that the request has not run.
    UNCONFIRMED_REFUSAL = "unconfirmed_refusal"
    SLOW = "slow"


# Pacing does not allow the request at this replica now; it may be sent there later.
_PACED = frozenset({AttemptFailure.BACKOFF, AttemptFailure.LIMITED, AttemptFailure.BRITTLE})
_DID_NOT_RUN = _PACED | {AttemptFailure.UNREACHABLE, AttemptFailure.GONE, AttemptFailure.NOT_RUN}
# The chosen replica did not receive the request.
_NOT_SENT = _PACED | {AttemptFailure.UNREACHABLE, AttemptFailure.GONE}
# No replica received the request, so that another attempt needs no retry budget. A request
# that reached the wrong replica (GONE) does need it.
BUDGET_EXEMPT = _PACED | {AttemptFailure.UNREACHABLE}


@singledispatch
def pacing_failure(error: UpstreamHeldBackError) -> AttemptFailure:
    """Return the failure for a request that pacing keeps from being sent."""
    return AttemptFailure.BACKOFF


@pacing_failure.register
def _rate_limit_failure(error: UpstreamLimitedError) -> AttemptFailure:
    return AttemptFailure.LIMITED


@pacing_failure.register
def _brittle_failure(error: UpstreamBrittleError) -> AttemptFailure:
    return AttemptFailure.BRITTLE


@dataclass(slots=True)
class AttemptLog:
    """Record of the attempts of one request.

    Attributes
    ----------
    may_repeat : bool
        Whether the request may run more than once.
    max_attempts : int
        Maximum number of replicas that the request may be sent to.
    sent : int
        Number of replicas that received the request.
    may_have_run : bool
        Whether one of these replicas may have run the request.
    reason : str
        Short code of the last failure, for logs and metrics.
    """

    may_repeat: bool
    max_attempts: int
    sent: int = 0
    may_have_run: bool = False
    reason: str = "no_replica"

    @property
    def outcome(self) -> Outcome:
        """Whether the request may have run."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    def record_failure(self, failure: AttemptFailure) -> None:
        """Record that an attempt got no answer for the caller."""
        self.reason = failure.value
        if failure not in _NOT_SENT:
            self.sent += 1
        if failure not in _DID_NOT_RUN:
            self.may_have_run = True

    def may_try_another_replica(self) -> bool:
        """Return whether the request may be sent to another replica."""
        if self.sent >= self.max_attempts:
            return False
        return self.may_repeat or not self.may_have_run
