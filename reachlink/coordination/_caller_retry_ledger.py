"""Where the owner of a line knows who comes back, tells who is refused, and logs both."""

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

# Lines that are logged a second at the most; the next tells how many were left out.
MAX_LOG_LINES_PER_S = 20


class CallerRetryLedger:
    """Keeps the promises of a line to those whom it refuses.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.

    Attributes
    ----------
    book : CallerRetryRegistry
        The promises.
    """

    def __init__(self, clock: Callable[[], float] = steady_time) -> None:
        self.book = CallerRetryRegistry()
        self._clock = clock
        self._second = 0
        self._lines_this_second = 0
        self._omitted = 0
        self._log: Any = get_logger()

    def on_arrival(self, question: PlaceQuestion) -> tuple[Need, RetryReservation | None]:
        """Return what a request needs that arrives, and what it had been promised.

        Parameters
        ----------
        question : PlaceQuestion
            The question about it.
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
        """Note what was decided, on arrival or after a wait, and return what is told.

        Parameters
        ----------
        question : PlaceQuestion
            The question.
        need : Need
            What the request needs, as `arrive` returned.
        promise : RetryReservation or None
            What it had been promised, as `arrive` returned.
        start : Start
            What was decided.
        line : QueueState
            What stood between it and room.
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
