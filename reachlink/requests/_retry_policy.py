"""Limits on the attempts of a request, and the answer after the last one failed."""

from typing import Any

from reachlink.delivery import Outcome
from reachlink.limits import RetryBudget
from reachlink.pacing import HoldReason
from reachlink.requests._attempts import BUDGET_EXEMPT, AttemptFailure, AttemptLog
from reachlink.requests._model import CallerRequest
from reachlink.requests._obstacles import OTHER_ZONE_RETRY_S
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placer import Placer
from reachlink.requests.exceptions import RequestFailedError
from reachlink.routing import Service
from reachlink.scheduling import Refuse
from reachlink.telemetry import get_logger
from reachlink.upstreams import Replica

# Delay in seconds after which a refused caller should retry. The retry reaches another entry
# instance, whose view of the replicas differs.
RETRY_AFTER_S = 0.1


class RetryPolicy:
    """Decides on further attempts, within the retry budget of each service.

    Parameters
    ----------
    parts : RunnerParts
        Dependencies.
    placer : Placer
        Tells why a request finds no replica.
    """

    def __init__(self, parts: RunnerParts, placer: Placer) -> None:
        self._parts = parts
        self._placer = placer
        self._budgets: dict[str, RetryBudget] = {}
        self._log: Any = get_logger()

    def begin(self, request: CallerRequest) -> AttemptLog:
        """Return an empty attempt log; a first attempt adds its share to the retry budget."""
        self._budget(request.service).on_first_attempt(self._parts.retry_limits.share)
        return AttemptLog(request.route.may_repeat, request.route.max_attempts)

    def has_retry_left(self, service: Service) -> bool:
        """Return whether the retry budget of a service allows a retry."""
        return self._budget(service).has_retry

    def may_retry(
        self,
        request: CallerRequest,
        replica: Replica,
        failure: AttemptFailure,
        attempts: AttemptLog,
    ) -> bool:
        """Record a failed attempt; return whether another one may follow.

        The next attempt takes nothing from the retry budget if no replica was reached. After a
        refusal it does, because refusing has a cost for the replica as well.
        """
        attempts.record_failure(failure)
        self._log.info(
            "attempt_failed",
            request_id=request.request_id,
            route=request.route.name,
            replica=replica.name,
            reason=failure.value,
            sent=attempts.sent,
            held_left_s=round(self._remaining_hold_s(replica), 3),
        )
        if not attempts.may_try_another_replica():
            return False
        if failure in BUDGET_EXEMPT or self._budget(request.service).take():
            return True
        attempts.reason = f"{failure.value}_no_budget"
        return False

    def failure(self, request: CallerRequest, attempts: AttemptLog) -> RequestFailedError:
        """Return the final answer after the last attempt failed."""
        if attempts.may_have_run:
            return RequestFailedError(502, attempts.reason, Outcome.UNKNOWN)
        if request.refusal is not None:
            return self._refusal(request, request.refusal)
        obstacle = self._placer.reachable.obstacle(request)
        if obstacle is not None:
            wait = obstacle.retry_after_s
            return RequestFailedError(503, obstacle.value, Outcome.NOT_RUN, wait)
        # Includes the replicas that were tried, since a retry of the caller may go to them.
        hold = self._placer.hold(request, frozenset())
        # A replica may have become available since the last placement; the reason for which the
        # request was held back then is still the one to report.
        hold = hold or request.last_hold
        if hold is not None and hold.reason is not HoldReason.REFUSING:
            wait = max(RETRY_AFTER_S, hold.remaining_s)
            return RequestFailedError(503, hold.reason.value, Outcome.NOT_RUN, wait)
        wait = OTHER_ZONE_RETRY_S if self._parts.cut_off() else RETRY_AFTER_S
        if hold is not None:
            wait = max(wait, hold.remaining_s)
            return RequestFailedError(503, hold.reason.value, Outcome.NOT_RUN, wait)
        return RequestFailedError(503, attempts.reason, Outcome.NOT_RUN, wait)

    def _refusal(self, request: CallerRequest, refused: Refuse) -> RequestFailedError:
        """Return the answer to a request that the owner of the queue refuses."""
        reason, retry_after_s = refused.reason.value, refused.retry_after_s
        self._log.info(
            "refusal_told",
            request_id=request.request_id,
            reason=reason,
            come_back_in_s=round(retry_after_s, 3),
            place_kept=refused.place_reserved,
        )
        return RequestFailedError(503, reason, Outcome.NOT_RUN, retry_after_s)

    def _remaining_hold_s(self, replica: Replica) -> float:
        return self._parts.pacing.remaining_s(replica.address, self._parts.clock())

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = self._budgets[service.name] = RetryBudget()
        # Each instance may save up its share of the burst of all instances.
        budget.max_available = max(
            1.0, self._parts.retry_limits.burst / max(1, self._parts.instance_count())
        )
        budget.available = min(budget.available, budget.max_available)
        return budget
