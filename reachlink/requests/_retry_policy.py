"""How often a request is tried, and what its caller is told after the last try."""

from typing import Any

from reachlink.delivery import Outcome
from reachlink.limits import RetryBudget
from reachlink.pacing import HoldReason
from reachlink.requests._attempts import BUDGET_EXEMPT, AttemptFailure, AttemptLog
from reachlink.requests._model import CallerRequest
from reachlink.requests._obstacles import ELSEWHERE_AFTER_S
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placing import Placing
from reachlink.requests.exceptions import RequestFailedError
from reachlink.routing import Service
from reachlink.scheduling import Refuse
from reachlink.telemetry import get_logger
from reachlink.upstreams import Replica

# When to come back after a refusal, in seconds: the next attempt reaches
# another entry instance, whose view of the replicas differs.
RETRY_AFTER_S = 0.1


class RetryPolicy:
    """Judges whether a request may be tried again, within what each service may spend.

    Parameters
    ----------
    parts : RunnerParts
        What it works with.
    placing : Placing
        Knows why a request finds no replica.
    """

    def __init__(self, parts: RunnerParts, placing: Placing) -> None:
        self._parts = parts
        self._placing = placing
        self._budgets: dict[str, RetryBudget] = {}
        self._log: Any = get_logger()

    def begin(self, request: CallerRequest) -> AttemptLog:
        """Return the empty log of a request's attempts, which earns its share of retries."""
        self._budget(request.service).on_first_attempt(self._parts.retry_limits.share)
        return AttemptLog(request.route.may_repeat, request.route.max_attempts)

    def has_retry_left(self, service: Service) -> bool:
        """Return whether a request of a service could be sent once more."""
        return self._budget(service).has_retry

    def may_retry(
        self,
        request: CallerRequest,
        replica: Replica,
        failure: AttemptFailure,
        attempts: AttemptLog,
    ) -> bool:
        """Note an attempt that brought no answer; return whether another may follow.

        An attempt that reached no replica takes nothing from the retry budget. One that was
        turned away does: it has cost a replica something.
        """
        attempts.record_failure(failure)
        self._log.info(
            "attempt_failed",
            request_id=request.request_id,
            route=request.route.name,
            replica=replica.name,
            reason=failure.value,
            sent=attempts.sent,
            held_left_s=round(self._held_left_s(replica), 3),
        )
        if not attempts.may_try_another_replica():
            return False
        if failure in BUDGET_EXEMPT or self._budget(request.service).take():
            return True
        attempts.reason = f"{failure.value}_no_budget"
        return False

    def failure(self, request: CallerRequest, attempts: AttemptLog) -> RequestFailedError:
        """Return the final answer after the last attempt."""
        if attempts.may_have_run:
            return RequestFailedError(502, attempts.reason, Outcome.UNKNOWN)
        if request.refusal is not None:
            return self._refusal(request, request.refusal)
        obstacle = self._placing.reachable.obstacle(request)
        if obstacle is not None:
            wait = obstacle.come_back_in_s
            return RequestFailedError(503, obstacle.value, Outcome.NOT_RUN, wait)
        # Those that it was sent to, too: who comes back may go there.
        hold = self._placing.hold(request, frozenset())
        # One may have become free since the last look; why it was refused holds all the same.
        hold = hold or request.last_hold
        if hold is not None and hold.reason is not HoldReason.REFUSING:
            wait = max(RETRY_AFTER_S, hold.remaining_s)
            return RequestFailedError(503, hold.reason.value, Outcome.NOT_RUN, wait)
        wait = ELSEWHERE_AFTER_S if self._parts.cut_off() else RETRY_AFTER_S
        if hold is not None:
            wait = max(wait, hold.remaining_s)
            return RequestFailedError(503, hold.reason.value, Outcome.NOT_RUN, wait)
        return RequestFailedError(503, attempts.reason, Outcome.NOT_RUN, wait)

    def _refusal(self, request: CallerRequest, refused: Refuse) -> RequestFailedError:
        """Return the answer to one that is refused by who owns the line."""
        reason, come_back_in_s = refused.reason.value, refused.retry_after_s
        self._log.info(
            "refusal_told",
            request_id=request.request_id,
            reason=reason,
            come_back_in_s=round(come_back_in_s, 3),
            place_kept=refused.place_reserved,
        )
        return RequestFailedError(503, reason, Outcome.NOT_RUN, come_back_in_s)

    def _held_left_s(self, replica: Replica) -> float:
        return self._parts.pacing.remaining_s(replica.address, self._parts.clock())

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = self._budgets[service.name] = RetryBudget()
        # Each instance saves up its part of what all may spend at one time.
        budget.most = max(
            1.0, self._parts.retry_limits.burst / max(1, self._parts.instance_count())
        )
        budget.saved = min(budget.saved, budget.most)
        return budget
