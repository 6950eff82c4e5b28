"""Reservations of a queue's owner for the retries of refused callers, with their log events."""

from collections.abc import Callable
from typing import Any

from reachlink.kernel import steady_time
from reachlink.quarantine import fingerprint_text
from reachlink.requests import PlaceQuestion
from reachlink.scheduling import (
    CallerRetryRegistry,
    Need,
    QueueState,
    Refuse,
    RetryReservation,
    Start,
    with_caller_retry,
)
from reachlink.telemetry import get_logger

# Most log lines in a second; the next line has the number of lines that were omitted.
MAX_LOG_LINES_PER_S = 20


class CallerRetryLedger:
    """Keeps and logs the reservations for the retries of callers that a queue refused.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    book : CallerRetryRegistry
        Reservations for retries.
    """

    def __init__(self, clock: Callable[[], float] = steady_time) -> None:
        self.book = CallerRetryRegistry()
        self._clock = clock
        self._second = 0
        self._lines_this_second = 0
        self._omitted = 0
        self._log: Any = get_logger()

    def on_arrival(self, question: PlaceQuestion) -> tuple[Need, RetryReservation | None]:
        """Return the need of a request that arrives, and the reservation that it claims.

        Parameters
        ----------
        question : PlaceQuestion
            First query about the request.
        """
        now = self._clock()
        need = question.need or Need(tokens=question.tokens)
        promise = self.book.claim(question.fingerprint, now)
        if promise is None:
            return need, None
        need = with_caller_retry(need, promise, now)
        self._log_limited(
            "return_found",
            request_id=question.request_id,
            fingerprint=fingerprint_text(question.fingerprint),
            service=question.service,
            age_s=round(need.waited_s, 3),
            after_due_s=round(now - promise.retry_at, 3),
            place_kept=promise.place_reserved,
        )
        return need, promise

    def record_decision(
        self,
        question: PlaceQuestion,
        need: Need,
        promise: RetryReservation | None,
        start: Start,
        line: QueueState,
    ) -> Start:
        """Record a decision, on arrival or after a wait, and return it as the caller gets it.

        Parameters
        ----------
        question : PlaceQuestion
            Query about the request.
        need : Need
            Need of the request, as `on_arrival` returned it.
        promise : RetryReservation or None
            Reservation that the request claimed, as `on_arrival` returned it.
        start : Start
            Decision.
        line : QueueState
            State of the queue ahead of the request.
        """
        told = self.book.record_outcome(
            promise, question.fingerprint, question.service, need, start, self._clock()
        )
        if isinstance(told, Refuse):
            self._log_limited(
                "refused",
                request_id=question.request_id,
                service=question.service,
                workspace=need.workspace,
                reason=told.reason.value,
                come_back_in_s=round(told.retry_after_s, 3),
                place_kept=told.place_reserved,
                returner=need.is_announced_retry,
                ahead=line.ahead,
                ahead_tokens=line.ahead_tokens,
                told_tokens=line.reserved_tokens,
                drain_tokens_per_s=round(line.granted_tokens_per_s),
            )
        return told

    def _log_limited(self, event: str, **fields: Any) -> None:
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines_this_second = second, 0
        if self._lines_this_second >= MAX_LOG_LINES_PER_S:
            self._omitted += 1
            return
        self._lines_this_second += 1
        self._log.info(event, left_out=self._omitted, **fields)
        self._omitted = 0
