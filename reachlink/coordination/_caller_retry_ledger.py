"""Reservations of a queue's owner for the retries of refused callers, with their log events."""

from collections.abc import Callable
from typing import Any

from reachlink.kernel import steady_time
from reachlink.quarantine import fingerprint_text
from reachlink.requests import PlacementQuery
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
    registry : CallerRetryRegistry
        Reservations for retries.
    """

    def __init__(self, clock: Callable[[], float] = steady_time) -> None:
        self.registry = CallerRetryRegistry()
        self._clock = clock
        self._second = 0
        self._lines_this_second = 0
        self._omitted = 0
        self._log: Any = get_logger()

    def on_arrival(self, query: PlacementQuery) -> tuple[Need, RetryReservation | None]:
        """Return the need of a request that arrives, and the reservation that it claims.

        Parameters
        ----------
        query : PlacementQuery
            First query about the request.
        """
        now = self._clock()
        need = query.need or Need(tokens=query.tokens)
        reservation = self.registry.claim(query.fingerprint, now)
        if reservation is None:
            return need, None
        need = with_caller_retry(need, reservation, now)
        self._log_limited(
            "return_found",
            request_id=query.request_id,
            fingerprint=fingerprint_text(query.fingerprint),
            service=query.service,
            age_s=round(need.waited_s, 3),
            after_due_s=round(now - reservation.retry_at, 3),
            place_kept=reservation.place_reserved,
        )
        return need, reservation

    def record_decision(
        self,
        query: PlacementQuery,
        need: Need,
        reservation: RetryReservation | None,
        start: Start,
        queue_state: QueueState,
    ) -> Start:
        """Record a decision, on arrival or after a wait, and return it as the caller gets it.

        Parameters
        ----------
        query : PlacementQuery
            Query about the request.
        need : Need
            Need of the request, as `on_arrival` returned it.
        reservation : RetryReservation or None
            Reservation that the request claimed, as `on_arrival` returned it.
        start : Start
            Decision.
        queue_state : QueueState
            State of the queue ahead of the request.
        """
        decision = self.registry.record_outcome(
            reservation, query.fingerprint, query.service, need, start, self._clock()
        )
        if isinstance(decision, Refuse):
            self._log_limited(
                "refused",
                request_id=query.request_id,
                service=query.service,
                workspace=need.workspace,
                reason=decision.reason.value,
                come_back_in_s=round(decision.retry_after_s, 3),
                place_kept=decision.place_reserved,
                returner=need.is_announced_retry,
                ahead=queue_state.ahead,
                ahead_tokens=queue_state.ahead_tokens,
                told_tokens=queue_state.reserved_tokens,
                drain_tokens_per_s=round(queue_state.granted_tokens_per_s),
            )
        return decision

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
