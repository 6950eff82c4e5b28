"""Queue and placement of one upstream's requests in this instance.

A request that no replica has room for waits here, where it can still go
anywhere, and not in an engine. Whenever something changes - an answer ends, a
report or a digest arrives - the queue is looked through in its order.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from reachlink.delivery import Outcome
from reachlink.entry._ledger import InFlight
from reachlink.entry.exceptions import RequestError
from reachlink.lengths import LengthKey
from reachlink.limits import FairQueue, FairQueueEntry, QueueThroughput
from reachlink.pacing import Hold, HoldReason
from reachlink.placement import (
    UNLIMITED,
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    Verdict,
)

# Code and message that callers get where all replicas are held back.
_HELD_BACK = {
    HoldReason.BACKOFF: ("replicas_in_backoff", "the replicas are all in backoff"),
    HoldReason.LIMIT: ("replicas_over_limit", "the replicas all get as much as they take"),
    HoldReason.BRITTLE: ("replicas_brittle", "the replicas are brittle and get no more now"),
    HoldReason.REFUSING: ("replicas_refuse", "the replicas all turn requests away"),
}
# How many waiting requests may be passed by a smaller one that fits.
LOOK_AHEAD = 4
POLL_S = 0.1
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that wants a replica.

    Attributes
    ----------
    key : LengthKey
        What its length is learned under.
    request : PlacementRequest
        What placement needs to know of it.
    blocks : tuple of int
        Hashes of its prompt blocks.
    workspace, priority, weight
        For its order in the queue.
    queue_length, service_queue_length : int
        Bounds on waiting requests of its workspace, and of its service.
    deadline : float
        Monotonic seconds until which it may wait.
    excluded : set of str
        Replicas that it must not go to (again).
    version : str
        Model version that the replica must serve; empty for any.
    max_tokens : int
        Longest output that the caller allows.
    only_whole_once : bool
        Whether it may run once, and its answer can't be gone on with elsewhere.
    flight : InFlight, optional
        Its place in the ledger from the moment that it is placed.
    """

    key: LengthKey
    request: PlacementRequest
    blocks: tuple[int, ...]
    workspace: str
    priority: int
    weight: float
    queue_length: int
    service_queue_length: int
    deadline: float
    excluded: set[str] = field(default_factory=set)
    version: str = ""
    max_tokens: int = UNLIMITED
    only_whole_once: bool = False
    flight: InFlight | None = None


@dataclass(slots=True, eq=False)
class _Pending:
    ticket: Ticket
    future: asyncio.Future[Decision]


class Dispatcher:
    """Placement of one upstream's requests.

    Parameters
    ----------
    policy : PlacementPolicy
        Chooses replicas.
    candidates : callable
        Returns the replicas that a ticket may go to now.
    reserve : callable
        Called with a ticket and a replica's name the moment it is placed, so
        that the next decision sees it.
    random : random.Random
        Source of tie-breaks.
    clock : callable
        Monotonic time in seconds.
    hold : callable
        Returns why and until when all replicas that a ticket may go to are held back by what
        they have asked for; None where not all of them are.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        candidates: Callable[[Ticket], Sequence[Candidate]],
        reserve: Callable[[Ticket, str], None],
        random: Random,
        clock: Callable[[], float],
        hold: Callable[[Ticket], Hold | None] = lambda ticket: None,
    ) -> None:
        self._hold = hold
        self._policy = policy
        self._candidates = candidates
        self._reserve = reserve
        self._random = random
        self._clock = clock
        self._queue: FairQueue[_Pending] = FairQueue()
        self._throughput = QueueThroughput()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    async def place(self, ticket: Ticket) -> Decision:
        """Return where a request runs, after waiting if it must.

        Raises
        ------
        RequestError
            If it cannot be placed in time; nothing was dispatched.
        """
        if not self._queue or self._would_be_first(ticket):
            decision = self._try(ticket)
            if decision.verdict is Verdict.PLACE:
                return decision
            if decision.verdict is Verdict.NONE_ALIVE:
                self._check_hold(ticket)
        pending = _Pending(ticket, asyncio.get_running_loop().create_future())
        waiting = self._enqueue(pending)
        self._arm()
        try:
            return await pending.future
        finally:
            self._queue.remove(waiting)

    def pump(self) -> None:
        """Look through the queue: something has changed."""
        now = self._clock()
        for waiting in self._queue.expired(now):
            _refuse(waiting.item, self._overloaded("no replica had room in time"))
        self._throughput.on_busy(now)
        skipped = 0
        for waiting in self._queue.ordered(now):
            try:
                decision = self._try(waiting.item.ticket)
            except Exception as error:  # noqa: BLE001 - it concerns one request, not all that wait
                self._queue.remove(waiting)
                _refuse(waiting.item, error)
                continue
            if decision.verdict is Verdict.PLACE:
                self._queue.take(waiting)
                self._throughput.on_served(now)
                _resolve(waiting.item, decision)
                continue
            if decision.verdict is Verdict.NONE_ALIVE:
                self._check_pending(waiting)
                continue
            skipped += 1
            if skipped >= LOOK_AHEAD:
                break
        if not len(self._queue):
            self._throughput.on_idle(now)

    def refuse(self, refusal: Callable[[Ticket], RequestError | None]) -> None:
        """Refuse the waiting requests for which there is a refusal."""
        for waiting in self._queue.ordered(self._clock()):
            error = refusal(waiting.item.ticket)
            if error is not None:
                self._queue.remove(waiting)
                _refuse(waiting.item, error)

    def expected_wait_s(self, position: int) -> float:
        """Return how long a request at a position in the queue will wait."""
        return self._throughput.expected_wait_s(position, self._clock())

    def _check_pending(self, waiting: FairQueueEntry[_Pending]) -> None:
        """Refuse a waiting request that no replica will take in time."""
        try:
            self._check_hold(waiting.item.ticket)
        except RequestError as error:
            self._queue.remove(waiting)
            _refuse(waiting.item, error)

    def _check_hold(self, ticket: Ticket) -> None:
        """Make sure that a ticket without any replica only waits for one that is held back.

        Raises
        ------
        RequestError
            If there is none, or all are held back beyond its deadline.
        """
        hold = self._hold(ticket)
        if hold is None:
            raise no_replica()
        if self._clock() + hold.remaining_s > ticket.deadline:
            raise replicas_held_back(hold)

    def _try(self, ticket: Ticket) -> Decision:
        decision = self._policy.choose(ticket.request, self._candidates(ticket), self._random)
        if decision.verdict is Verdict.PLACE:
            self._reserve(ticket, decision.replica)
        return decision

    def _would_be_first(self, ticket: Ticket) -> bool:
        ordered = self._queue.ordered(self._clock())
        return ordered[0].priority < ticket.priority

    def _enqueue(self, pending: _Pending) -> FairQueueEntry[_Pending]:
        ticket = pending.ticket
        now = self._clock()
        self._check_bounds(ticket, now)
        waiting = FairQueueEntry(
            pending,
            ticket.workspace,
            ticket.priority,
            ticket.weight,
            max(1.0, ticket.request.expected_tokens),
            now,
            ticket.deadline,
        )
        self._queue.push(waiting)
        self._throughput.on_busy(now)
        self._check_wait(waiting, now)
        return waiting

    def _check_bounds(self, ticket: Ticket, now: float) -> None:
        if self._queue.count(ticket.workspace) >= ticket.queue_length:
            raise self._overloaded("the queue of this workspace is full")
        if len(self._queue) < ticket.service_queue_length:
            return
        last = self._queue.ordered(now)[-1] if len(self._queue) else None
        if last is None or last.priority >= ticket.priority:
            raise self._overloaded("the queue is full")
        self._queue.remove(last)
        _refuse(last.item, self._overloaded("displaced by a request of higher priority"))

    def _check_wait(self, waiting: FairQueueEntry[_Pending], now: float) -> None:
        """Refuse at once what would wait past its deadline."""
        position = self._queue.ordered(now).index(waiting) + 1
        if now + self.expected_wait_s(position) > waiting.deadline:
            self._queue.remove(waiting)
            raise self._overloaded("the wait would be too long")

    def _overloaded(self, message: str) -> RequestError:
        wait = self.expected_wait_s(len(self._queue) + 1)
        retry = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
        return RequestError(503, "overloaded", message, Outcome.NOT_RUN, retry)

    def _arm(self) -> None:
        if self._timer is None and len(self._queue):
            self._timer = asyncio.get_running_loop().call_later(POLL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.pump()
        self._arm()


def no_replica() -> RequestError:
    """Return the error for an upstream without a live replica."""
    return RequestError(
        503, "no_replica", "no replica of this service is live", Outcome.NOT_RUN, 2.0
    )


def replicas_held_back(hold: Hold) -> RequestError:
    """Return the error for an upstream whose replicas may all get nothing now."""
    code, message = _HELD_BACK[hold.reason]
    return RequestError(503, code, message, Outcome.NOT_RUN, hold.remaining_s)


def _resolve(pending: _Pending, decision: Decision) -> None:
    if not pending.future.done():
        pending.future.set_result(decision)


def _refuse(pending: _Pending, error: Exception) -> None:
    if not pending.future.done():
        pending.future.set_exception(error)
