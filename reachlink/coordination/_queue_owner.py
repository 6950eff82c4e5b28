"""Queues of requests that wait for room, and the granting of places in their order.

Queries are long polls, so that the cost is bounded under overload: the reply to a query about a
queued request is held until there is room, which costs one message and its reply in each
`QUEUE_POLL_TIMEOUT_S`.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from msgspec import structs

from reachlink.coordination._queue_grants import QueueGrants
from reachlink.coordination._queue_outcomes import QueueOutcomes
from reachlink.coordination._service_queue import HeldQuery, ServiceQueue
from reachlink.kernel import steady_time
from reachlink.membership import ReplicaDirectory
from reachlink.requests import (
    PeerLoad,
    PlacementQuery,
    PlacementReply,
    Placer,
    ReplicaTracker,
)
from reachlink.routing import Service
from reachlink.scheduling import (
    Begin,
    CallerRetryCounts,
    Need,
    QueuedRequest,
    RefusalReason,
    Refuse,
    Start,
    Wait,
    expected_wait_s,
)
from reachlink.telemetry import get_logger

# Longest time for which a reply is held, in seconds.
MAX_HOLD_S = 1.0
# Time for which a request stays queued after a reply until the next query about it, in seconds.
LEASE_MARGIN_S = 0.3
# Longest and shortest time between two scans for room, in seconds.
MAX_SCAN_INTERVAL_S = 0.05
MIN_SCAN_INTERVAL_S = 0.02
# A queued request is refused if its forecast wait is this many times the time that it has left:
# forecasts vary, and the request has already waited.
HOPELESS_WAIT_FACTOR = 3.0


class QueueOwner:
    """Owns the queues of services and replies to queries about their requests.

    Parameters
    ----------
    name : str
        Name of this instance.
    placer : Placer
        Chooses the replica for a request.
    tracker : ReplicaTracker
        Notifies this instance of changes of its own requests at the replicas.
    peer_load : PeerLoad
        Load of the other instances, to which grants are added.
    directory : ReplicaDirectory
        Replicas that exist.
    services : callable
        Returns the services that are served by model engines.
    count : callable
        Called with a service and the outcome of a request: ``"granted"``, ``"left"`` or the
        reason of a refusal.
    clock : callable
        Returns the monotonic time in seconds.
    random : random.Random, optional
        Adds jitter to the retry times of refused requests, and draws the requests for which
        replicas are compared.
    is_stopping : callable
        Returns whether a planned stop of this instance has begun.
    """

    def __init__(
        self,
        name: str,
        placer: Placer,
        tracker: ReplicaTracker,
        peer_load: PeerLoad,
        directory: ReplicaDirectory,
        services: Callable[[], list[Service]],
        count: Callable[[str, str], None] = lambda service, outcome: None,
        clock: Callable[[], float] = steady_time,
        random: Random | None = None,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_stopping = is_stopping
        self._name = name
        self._placer = placer
        self._peer_load = peer_load
        self._directory = directory
        self._services = services
        self._clock = clock
        random = random or Random()
        self._outcomes = QueueOutcomes(count, clock, random)
        self._grants = QueueGrants(
            name, placer, tracker, peer_load, directory, self._outcomes, clock, random
        )
        self._queues: dict[str, ServiceQueue] = {}
        self._changed = asyncio.Event()
        self._scan_task: asyncio.Task[None] | None = None
        tracker.add_listener(self.wake)
        self._log: Any = get_logger()

    @property
    def caller_retry_counts(self) -> CallerRetryCounts:
        """Outcomes of the requests that were refused here and of their retries."""
        return self._outcomes.caller_retry_counts

    @property
    def waiting_counts(self) -> dict[str, int]:
        """Number of queued requests by service."""
        return {name: len(queue.requests) for name, queue in self._queues.items()}

    @property
    def oldest_wait_s(self) -> dict[str, float]:
        """Time in seconds since the oldest queued request joined, by service."""
        now = self._clock()
        return {name: queue.requests.oldest_wait_s(now) for name, queue in self._queues.items()}

    def wake(self) -> None:
        """Scan for room soon, as the load of the replicas may have changed."""
        if self._scan_task is not None:
            self._changed.set()

    async def answer(self, query: PlacementQuery) -> PlacementReply:
        """Return the placement of a request once there is room, or when the hold time is over.

        Parameters
        ----------
        query : PlacementQuery
            Query with `hold_s` and `need`.
        """
        service = self._service(query.service)
        need = query.need
        if service is None or need is None or not _fits_empty_replica(service, need):
            return PlacementReply(ready=True)
        queue = self._queues.setdefault(service.name, ServiceQueue(service.name))
        if queue.requests.find(query.request_id) is None:
            query, need = self._outcomes.record_arrival(queue, query)
        begun = self._grants.start_immediately(queue, service, query, need)
        return begun or await self._enqueue(queue, service, query, need)

    async def answer_local(self, query: PlacementQuery) -> PlacementReply:
        """Return the placement of a request of this instance; see `answer`."""
        try:
            reply = await self.answer(structs.replace(query, instance=self._name))
        except asyncio.CancelledError:
            self.leave(query.service, query.request_id, self._is_stopping())
            raise
        # From here on the allocation of the request counts instead of the grant.
        self._peer_load.forget(self._name)
        return reply

    def leave(self, service: str, request_id: str, instance_stops: bool = False) -> None:
        """Remove a request from the queue, as its caller is gone or its instance stops.

        Parameters
        ----------
        service : str
            Name of the request's service.
        request_id : str
            Id of the request.
        instance_stops : bool
            Whether its instance stops: its retry through another one keeps its age.
        """
        queue = self._queues.get(service)
        if queue is None:
            return
        waiting = queue.requests.leave(request_id, self._clock())
        if waiting is not None:
            self._outcomes.record_left(queue, waiting, "stopping" if instance_stops else "gone")
        queue.answer_without_place(request_id, Wait(0.0))

    def _service(self, name: str) -> Service | None:
        return next((s for s in self._services() if s.name == name), None)

    async def _enqueue(
        self, queue: ServiceQueue, service: Service, query: PlacementQuery, need: Need
    ) -> PlacementReply:
        now = self._clock()
        hold_s = min(query.hold_s or 0.0, MAX_HOLD_S)
        was_queued = queue.requests.find(query.request_id) is not None
        lease_s = hold_s + LEASE_MARGIN_S
        waiting = queue.requests.join(query.request_id, query.instance, need, now, lease_s)
        self._shed_excess(queue, now)
        if queue.requests.find(query.request_id) is None:
            return self._outcomes.refuse(queue, waiting, RefusalReason.LINE_FULL, now)
        start = self._forecast(queue, service, query, waiting, now)
        if isinstance(start, Begin):
            replica = self._grants.record_grant(queue, waiting, query, start.replica, now)
            if replica is not None:
                return PlacementReply(ready=True, replica=replica)
        if isinstance(start, Refuse) and (not was_queued or self._is_hopeless(queue, waiting, now)):
            reply = self._outcomes.refuse(queue, waiting, start.reason, now)
            queue.requests.leave(waiting.request_id, now)
            return reply
        if not was_queued:
            self._outcomes.record_joined(queue, waiting, now)
        self._start_scanning()
        if hold_s <= 0.0:
            return self._wait_reply(queue, waiting, now)
        return await self._hold(queue, query, waiting, hold_s)

    def _forecast(
        self,
        queue: ServiceQueue,
        service: Service,
        query: PlacementQuery,
        waiting: QueuedRequest,
        now: float,
    ) -> Start:
        """Return the forecast start of a queued request."""
        state = queue.requests.state_ahead_of(waiting, now)
        reserved_tokens = self._outcomes.reserved_tokens(queue.service, now)
        state = replace(state, reserved_tokens=reserved_tokens)
        current_query = structs.replace(query, need=waiting.need_at(now))
        start = self._placer.start(service, current_query, state)
        refused = isinstance(start, Refuse) and state.ahead > 0
        if refused and self._grants.has_room(queue, service, current_query, now):
            return Wait(expected_wait_s(waiting.need, state), state.ahead)
        return start

    def _is_hopeless(self, queue: ServiceQueue, waiting: QueuedRequest, now: float) -> bool:
        """Return whether the forecast wait of a queued request far exceeds the time it has left."""
        state = queue.requests.state_ahead_of(waiting, now)
        return expected_wait_s(waiting.need, state) >= HOPELESS_WAIT_FACTOR * (
            waiting.latest_start_at - now
        )

    async def _hold(
        self, queue: ServiceQueue, query: PlacementQuery, waiting: QueuedRequest, hold_s: float
    ) -> PlacementReply:
        """Return the reply once there is one, or the expected wait after the hold time."""
        # An earlier query about the request has timed out at its sender: end it first.
        queue.answer_without_place(query.request_id, Wait(0.0))
        future: asyncio.Future[PlacementReply] = asyncio.get_running_loop().create_future()
        held = HeldQuery(query, self._clock() + hold_s, future)
        queue.held_queries[query.request_id] = held
        try:
            await asyncio.wait({future}, timeout=hold_s)
        finally:
            if queue.held_queries.get(query.request_id) is held:
                del queue.held_queries[query.request_id]
        return future.result() if future.done() else self._wait_reply(queue, waiting, self._clock())

    def _wait_reply(
        self, queue: ServiceQueue, waiting: QueuedRequest, now: float
    ) -> PlacementReply:
        state = queue.requests.state_ahead_of(waiting, now)
        in_s = expected_wait_s(waiting.need, state)
        return PlacementReply(ready=True, wait_or_refuse=Wait(in_s, state.ahead))

    def _shed_excess(self, queue: ServiceQueue, now: float) -> None:
        while (shed := queue.requests.shed(now)) is not None:
            reply = self._outcomes.refuse(queue, shed, RefusalReason.LINE_FULL, now)
            queue.answer(shed.request_id, reply)

    def _start_scanning(self) -> None:
        """Scan for room as long as requests are queued."""
        self._changed.set()
        if self._scan_task is None or self._scan_task.done():
            self._scan_task = asyncio.get_running_loop().create_task(self._scan_loop())
            self._scan_task.add_done_callback(self._on_scan_ended)

    def _on_scan_ended(self, task: asyncio.Task[None]) -> None:
        if self._scan_task is task:
            self._scan_task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.error("line_failed", error=repr(error))

    async def _scan_loop(self) -> None:
        while any(len(queue.requests) for queue in self._queues.values()):
            self._changed.clear()
            for queue in self._queues.values():
                self._scan(queue)
            await asyncio.sleep(MIN_SCAN_INTERVAL_S)
            try:
                async with asyncio.timeout(MAX_SCAN_INTERVAL_S - MIN_SCAN_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                # Updates of other instances and new replicas may make room without a notification.
                continue

    def _scan(self, queue: ServiceQueue) -> None:
        """Drop expired requests and grant the room that there is in the order of the queue."""
        now = self._clock()
        self._drop_expired(queue, now)
        service = self._service(queue.service)
        if service is None or not self._directory.live(service.name):
            queue.requests.pause_grant_rates(now)
            return
        self._grants.grant_in_order(queue, service, now)

    def _drop_expired(self, queue: ServiceQueue, now: float) -> None:
        for waiting in queue.requests.expire(now):
            if waiting.request_id in queue.held_queries and now >= waiting.latest_start_at:
                reply = self._outcomes.refuse(queue, waiting, RefusalReason.NO_ROOM, now)
                queue.answer(waiting.request_id, reply)
            else:
                self._outcomes.record_left(queue, waiting, "lease")
                # If a query is held, this process was paused for longer than the lease. A caller
                # that is still there sends another query.
                queue.answer_without_place(waiting.request_id, Wait(0.0))


def _fits_empty_replica(service: Service, need: Need) -> bool:
    """Return whether a request fits into an empty replica."""
    engine = service.engine
    return engine is not None and need.tokens <= engine.kv_capacity_tokens
