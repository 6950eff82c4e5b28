"""Outcomes of queued requests, which are recorded, counted and logged."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from msgspec import structs

from reachlink.coordination._caller_retry_ledger import CallerRetryLedger
from reachlink.coordination._service_queue import ServiceQueue
from reachlink.requests import PlacementQuery, PlacementReply
from reachlink.scheduling import (
    Begin,
    CallerRetryCounts,
    Need,
    QueuedRequest,
    QueueState,
    RefusalReason,
    Refuse,
    make_refusal,
)
from reachlink.telemetry import get_logger


class QueueOutcomes:
    """Records the requests that arrive, get a place, are refused or leave the queue.

    Parameters
    ----------
    count : callable
        Called with a service and the outcome of a request: ``"granted"``, ``"left"`` or the
        reason of a refusal.
    clock : callable
        Returns the monotonic time in seconds.
    random : random.Random
        Adds jitter to the retry times of refused requests.
    """

    def __init__(
        self, count: Callable[[str, str], None], clock: Callable[[], float], random: Random
    ) -> None:
        self._ledger = CallerRetryLedger(clock)
        self._count = count
        self._clock = clock
        self._random = random
        self._log: Any = get_logger()

    @property
    def caller_retry_counts(self) -> CallerRetryCounts:
        """Outcomes of the requests that were refused here and of their retries."""
        return self._ledger.registry.counts

    def reserved_tokens(self, service: str, now: float) -> int:
        """Return the memory reserved for announced retries at a service, in tokens."""
        return self._ledger.registry.reserved_tokens(service, now)

    def record_arrival(
        self, queue: ServiceQueue, query: PlacementQuery
    ) -> tuple[PlacementQuery, Need]:
        """Record the first query about a request; return it and the need, with its reservation."""
        need, reservation = self._ledger.on_arrival(query)
        query = structs.replace(query, need=need)
        queue.arrivals[query.request_id] = query, reservation
        return query, need

    def record_decision(
        self,
        queue: ServiceQueue,
        request_id: str,
        need: Need,
        start: Begin | Refuse,
        queue_state: QueueState,
    ) -> Refuse | None:
        """Record the decision about a request; return the refusal that its caller gets, if any."""
        arrived = queue.arrivals.pop(request_id, None)
        if arrived is None:
            return start if isinstance(start, Refuse) else None
        query, reservation = arrived
        decision = self._ledger.record_decision(query, need, reservation, start, queue_state)
        return decision if isinstance(decision, Refuse) else None

    def refuse(
        self, queue: ServiceQueue, waiting: QueuedRequest, reason: RefusalReason, now: float
    ) -> PlacementReply:
        """Refuse a request that was queued; return the reply to it."""
        state = queue.requests.state_ahead_of(waiting, now)
        need = waiting.need_at(now)
        state = replace(state, reserved_tokens=self.reserved_tokens(queue.service, now))
        found = make_refusal(need, state, reason, self._random)
        decision = self.record_decision(queue, waiting.request_id, need, found, state)
        self._count(queue.service, reason.value)
        self.record_left(queue, waiting, reason.value)
        return PlacementReply(ready=True, wait_or_refuse=decision)

    def record_joined(self, queue: ServiceQueue, waiting: QueuedRequest, now: float) -> None:
        """Record that a request has joined the queue."""
        state = queue.requests.state_ahead_of(waiting, now)
        self._log.info(
            "line_joined",
            request_id=waiting.request_id,
            service=queue.service,
            instance=waiting.instance,
            need_tokens=waiting.need.tokens,
            ahead=state.ahead,
            ahead_tokens=state.ahead_tokens,
            drain=round(state.granted_tokens_per_s),
            left_ms=round((waiting.latest_start_at - now) * 1000.0),
            priority=waiting.need.priority,
        )

    def record_granted(
        self,
        queue: ServiceQueue,
        waiting: QueuedRequest,
        replica: str,
        state: QueueState,
        now: float,
    ) -> None:
        """Record that a queued request is granted a place at a replica."""
        self.record_decision(queue, waiting.request_id, waiting.need, Begin(replica), state)
        self._count(queue.service, "granted")
        self._log.info(
            "line_granted",
            request_id=waiting.request_id,
            service=queue.service,
            replica=replica,
            waited_ms=round((now - waiting.joined_at) * 1000.0),
            behind=state.ahead,
            drain=round(state.granted_tokens_per_s),
            late=waiting.is_late(now),
            priority=waiting.need.priority,
        )

    def record_left(self, queue: ServiceQueue, waiting: QueuedRequest, reason: str) -> None:
        """Record that a request has left the queue without a place, and why."""
        now, registry = self._clock(), self._ledger.registry
        query, reservation = queue.arrivals.pop(waiting.request_id, (None, None))
        if reason in ("lease", "stopping") and reservation is not None:
            registry.restore(reservation, now)
        elif reason == "stopping" and query is not None:
            need = waiting.need_at(now)
            registry.reserve(query.fingerprint, queue.service, need, Refuse(0.0), now)
        if reason in ("gone", "lease", "stopping"):
            self._count(queue.service, "left")
        self._log.info(
            "line_left",
            request_id=waiting.request_id,
            service=queue.service,
            reason=reason,
            waited_ms=round((self._clock() - waiting.joined_at) * 1000.0),
            waiting=len(queue.requests),
        )
