"""An order to one replica to stop a generation, repeated until it is known to have stopped.

A closed connection shows only that this instance no longer reads: a replica may run the generation
on. Only the replica's own answer shows that the generation has stopped there.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass

from reachlink.requests._model import CallerRequest
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._stop_results import StopOutcome, StopResult, result_of
from reachlink.requests._working_replicas import WorkingReplicas
from reachlink.upstreams import (
    Replica,
    UpstreamError,
    UpstreamHeldBackError,
    UpstreamUnreachableError,
)

# Intervals in seconds between two orders: at first and while a transfer is in progress, then, and
# the longest one to a replica that is out of reach.
REPEAT_INTERVAL_S = 0.05
MAX_REPEAT_INTERVAL_S = 0.15
MAX_UNREACHABLE_INTERVAL_S = 1.0
# Time in seconds for which the first interval applies: callers' rules allow both replicas to work
# for 0.4 s.
FIRST_ORDERS_S = 0.7
# Time in seconds after which another order is sent beside one that is not answered, and the
# largest number of orders at a time.
UNANSWERED_INTERVAL_S = 0.15
MAX_PENDING = 2
# Time in seconds without an answer after which a replica gets no more orders: it has ended, or is
# out of reach for long.
GIVE_UP_AFTER_S = 10.0
# Interval in seconds between two reports of a replica that is ordered again and again.
REPORT_INTERVAL_S = 0.3
# Longest time in seconds for a replica's report.
REPORT_TIMEOUT_S = 0.3
# Time for which a generation must not have run for a replica's report, which is some hundred
# milliseconds old, to show whether it waits there.
REPORT_DELAY_S = 0.6

# Number of consecutive reports that must show no waiting generation, of a replica that takes no
# orders.
MIN_IDLE_REPORTS = 2

# Nothing works on the generation at a replica of which this is known.
_NOT_WORKING = frozenset({StopOutcome.STOPPED, StopOutcome.NOT_RUNNING, StopOutcome.UNREACHABLE})
# The generation may resume elsewhere at once if this is known.
_SETTLED = frozenset({StopOutcome.STOPPED, StopOutcome.UNREACHABLE})


@dataclass(slots=True, frozen=True)
class Patience:
    """Longest times to wait before the generation resumes elsewhere, in seconds.

    Attributes
    ----------
    unanswered_s : float
        For an answer.
    held_back_s : float
        Until pacing allows an order.
    waiting_s : float
        For a generation that waits at the replica for memory.
    in_progress_s : float
        For the end of a transfer. The replica works on the generation meanwhile.
    """

    unanswered_s: float
    held_back_s: float
    waiting_s: float
    in_progress_s: float = math.inf

    def of(self, outcome: StopOutcome) -> float:
        """Return the longest time to wait while this is known, in seconds."""
        if outcome is StopOutcome.UNANSWERED:
            return self.unanswered_s
        if outcome is StopOutcome.HELD_BACK:
            return self.held_back_s
        if outcome in (StopOutcome.WAITING, StopOutcome.NOT_RUNNING):
            return self.waiting_s
        return self.in_progress_s


def _never() -> bool:
    return False


@dataclass(slots=True, frozen=True)
class LeftGeneration:
    """What is known of a generation at the replica that it leaves, before an order to stop it.

    Attributes
    ----------
    ran : bool
        Whether it ran just before its connection broke: if it does not run then, it was dropped,
        and not preempted.
    not_running_since : float, optional
        Monotonic time in seconds since when the replica has answered that it does not run it.
    is_transferring : callable
        Returns whether a transfer of its memory is in progress, during which the replica refuses
        orders.
    """

    ran: bool = False
    not_running_since: float | None = None
    is_transferring: Callable[[], bool] = _never


NOTHING_KNOWN = LeftGeneration()


class StopOrder:
    """Has one replica stop one generation.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Gives access to the replicas.
    request : CallerRequest
        Request of the generation.
    working : WorkingReplicas
        Replicas that may work on the generation.
    replica : Replica
        Replica that may run the generation.
    target : Replica
        Replica that its memory is moved to.
    after_event : int
        Number of the last event that the caller got.
    known : LeftGeneration
        What is known of the generation.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        request: CallerRequest,
        working: WorkingReplicas,
        replica: Replica,
        target: Replica,
        after_event: int,
        known: LeftGeneration = NOTHING_KNOWN,
    ) -> None:
        self._known = known
        self._dispatcher = dispatcher
        self._request = request
        self._working = working
        self._replica = replica
        self._target = target
        self._after_event = after_event
        # Monotonic time in seconds at which a transfer was last seen in progress.
        self._transferring_at = -math.inf
        # Monotonic time in seconds since when the replica has answered that it does not run the
        # generation; None if it may run it.
        self._not_running_since = known.not_running_since
        # Monotonic time in seconds at which the last report was asked for.
        self._reported_at = -math.inf
        # Number of consecutive reports without a waiting generation.
        self._idle_reports = 0
        engine = request.service.engine
        self._takes_orders = engine is not None and engine.moves
        self._born = dispatcher.placer.born(replica)
        self._begun_at = dispatcher.now()
        self._result = StopResult(StopOutcome.UNANSWERED)
        self._logged: StopOutcome | None = None
        # Whether the generation has ended at the replica, as far as reports can show.
        self._ended = False
        self._changed = asyncio.Event()
        # Monotonic time in seconds since when no order was answered; None after an answer.
        self._unanswered_since: float | None = None
        self._repeating = False
        # Monotonic time in seconds at which the oldest order was sent that is not answered.
        self._pending_since: float | None = None
        self._withdrawn = False
        # Whether the memory of the stopped generation is of no use any more.
        self._abandoned = False

    @property
    def replica(self) -> Replica:
        """Replica that gets the order."""
        return self._replica

    @property
    def result(self) -> StopResult:
        """What is known of the generation at the replica."""
        return self._result

    @property
    def settled(self) -> bool:
        """Whether the generation may resume elsewhere."""
        if self._ended or self._result.outcome in _SETTLED:
            return True
        return self._known.ran and self._result.outcome is StopOutcome.NOT_RUNNING

    def start(self) -> None:
        """Repeat the order in the background until the generation has stopped."""
        self._withdrawn = False
        if self._takes_orders and not self._repeating:
            self._begun_at = self._dispatcher.now()
            self._repeating = True
            self._dispatcher.spawn(self._repeat())

    def withdraw(self) -> None:
        """Send no more orders: the generation stays at the replica."""
        self._withdrawn = True

    def abandon(self) -> None:
        """Free the memory of the generation once it stops; it is not needed any more."""
        if self._abandoned:
            return
        self._abandoned = True
        if self._result.stopped:
            self._dispatcher.spawn(self._release(self._result))

    async def settle(self, patience: Patience) -> StopResult:
        """Wait until the generation may resume elsewhere, for some time; return what is known."""
        while not self.settled and self._repeating:
            now = self._dispatcher.now()
            left_s = self._waits_until(patience) - now
            if self._known.is_transferring():
                self._transferring_at = now
                left_s = REPEAT_INTERVAL_S
            if left_s <= 0.0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s if left_s < math.inf else None):
                    await changed.wait()
        return self._result

    def _waits_until(self, patience: Patience) -> float:
        """Return the monotonic time in seconds until which the generation may not resume."""
        outcome = self._result.outcome
        begun_at = self._begun_at
        if outcome is StopOutcome.MOVE_IN_PROGRESS and self._pending_since is not None:
            # An order that is not answered after refused ones is being carried out.
            outcome, begun_at = StopOutcome.UNANSWERED, self._pending_since
        if outcome is StopOutcome.UNANSWERED:
            # The replica refuses orders during a transfer.
            begun_at = max(begun_at, self._transferring_at)
        return begun_at + patience.of(outcome)

    async def check(self, timeout_s: float) -> StopResult:
        """Send the order once, and wait for some time; return what is known."""
        order = asyncio.create_task(self._order())
        done, _ = await asyncio.wait({order}, timeout=timeout_s)
        if done:
            await self._note(*order.result())
        else:
            # The answer may name memory that is to be freed.
            self._dispatcher.spawn(self._note_late(order))
            self._result = StopResult(StopOutcome.UNANSWERED)
            self._log("no answer yet")
        return self._result

    async def _note_late(self, order: "asyncio.Task[tuple[StopResult, str]]") -> None:
        await self._note(*await order)

    async def _repeat(self) -> None:
        # In the order in which they were sent.
        pending: list[asyncio.Task[tuple[StopResult, str]]] = []
        try:
            while self._is_wanted():
                if len(pending) < MAX_PENDING:
                    pending.append(asyncio.create_task(self._order()))
                    self._note_sent()
                done, _ = await asyncio.wait(
                    pending,
                    timeout=UNANSWERED_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                oldest = pending[0]
                pending = [order for order in pending if order not in done]
                if oldest in done:
                    self._pending_since = None
                for order in done:
                    result, reason = order.result()
                    # The generation may have ended by the order before, whose answer is to come.
                    if order is oldest or result.outcome is not StopOutcome.NOT_RUNNING:
                        await self._note(result, reason)
                if done and self._is_wanted():
                    await asyncio.sleep(self._interval_s())
        finally:
            self._repeating = False
            self._wake()
            for order in pending:
                self._dispatcher.spawn(self._note_late(order))

    def _note_sent(self) -> None:
        if self._pending_since is None:
            self._pending_since = self._dispatcher.now()
            self._wake()

    def _is_wanted(self) -> bool:
        """Return whether the replica may run the generation by what is known of it."""
        if self._withdrawn or self._ended or self._result.stopped:
            return False
        if self._gives_up():
            return False
        if self._dispatcher.placer.is_gone(self._replica, self._born):
            self._end()
            return False
        return self._dispatcher.now() < self._request.deadline

    def _gives_up(self) -> bool:
        """Return whether the replica has not answered for long."""
        if self._unanswered_since is None:
            return False
        if not self._dispatcher.placer.stays(self._replica):
            # One that leaves has most probably ended.
            return True
        return self._dispatcher.now() - self._unanswered_since >= GIVE_UP_AFTER_S

    def _interval_s(self) -> float:
        """Return the time until the next order, in seconds."""
        age_s = self._dispatcher.now() - self._begun_at
        if self._result.outcome is StopOutcome.UNREACHABLE:
            return min(max(REPEAT_INTERVAL_S, age_s), MAX_UNREACHABLE_INTERVAL_S)
        if self._result.outcome is StopOutcome.MOVE_IN_PROGRESS or age_s < FIRST_ORDERS_S:
            return REPEAT_INTERVAL_S
        return MAX_REPEAT_INTERVAL_S

    async def _order(self) -> tuple[StopResult, str]:
        """Send the order; return its result and the error."""
        if not self._takes_orders:
            return StopResult(StopOutcome.NOT_RUNNING, self._target), ""
        try:
            moved = await self._dispatcher.adapter.move(
                self._replica, self._request.request_id, self._target, True
            )
        except UpstreamHeldBackError as error:
            return StopResult(StopOutcome.HELD_BACK), str(error)
        except UpstreamUnreachableError as error:
            return StopResult(StopOutcome.UNREACHABLE), str(error)
        except (UpstreamError, TimeoutError) as error:
            return StopResult(StopOutcome.UNANSWERED), str(error) or type(error).__name__
        return result_of(moved, self._target), ""

    async def _note(self, result: StopResult, reason: str) -> None:
        """Take the result of an order."""
        if self._result.stopped:
            return
        self._count(result.outcome)
        if result.outcome in _NOT_WORKING and self._takes_orders:
            self._working.end(self._replica.name)
        if result.outcome is StopOutcome.NOT_RUNNING:
            result = await self._examine(result)
        else:
            self._not_running_since = None
        self._result = result
        self._log(reason)
        self._wake()
        if result.stopped and self._abandoned:
            await self._release(result)

    def _count(self, outcome: StopOutcome) -> None:
        if outcome not in (StopOutcome.UNANSWERED, StopOutcome.UNREACHABLE):
            self._unanswered_since = None
        elif self._unanswered_since is None:
            self._unanswered_since = self._dispatcher.now()

    async def _examine(self, result: StopResult) -> StopResult:
        """Return whether the generation waits at a replica that does not run it."""
        now = self._dispatcher.now()
        if self._not_running_since is None:
            self._not_running_since = now
        not_running_s = now - self._not_running_since
        if self._known.ran and not_running_s < REPORT_DELAY_S:
            return result
        if self._repeating and now - self._reported_at < REPORT_INTERVAL_S:
            return self._result
        self._reported_at = now
        outcome = await self._outcome_by_report()
        self._idle_reports = self._idle_reports + 1 if outcome is StopOutcome.NOT_RUNNING else 0
        if self._takes_orders:
            self._ended = self._idle_reports > 0 and not_running_s >= REPORT_DELAY_S
        else:
            self._ended = self._idle_reports >= MIN_IDLE_REPORTS
        return StopResult(outcome, result.target)

    async def _outcome_by_report(self) -> StopOutcome:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await self._dispatcher.adapter.report(self._replica)
        except UpstreamHeldBackError:
            return StopOutcome.HELD_BACK
        except (UpstreamError, TimeoutError) as error:
            self._dispatcher.log.info(
                "report_unanswered",
                request_id=self._request.request_id,
                replica=self._replica.name,
                reason=str(error) or type(error).__name__,
            )
            return StopOutcome.UNANSWERED
        return StopOutcome.WAITING if report.waiting else StopOutcome.NOT_RUNNING

    def _end(self) -> None:
        self._ended = True
        self._working.end(self._replica.name)

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _release(self, result: StopResult) -> None:
        """Free memory that nobody resumes from."""
        if result.memory is None:
            return
        try:
            await self._dispatcher.adapter.release(result.memory)
        except UpstreamError as error:
            # The replicas drop it by themselves after some time.
            self._dispatcher.log.info(
                "release_failed", request_id=self._request.request_id, reason=str(error)
            )

    def _log(self, reason: str) -> None:
        result = self._result
        if result.outcome is self._logged:
            return
        self._logged = result.outcome
        self._dispatcher.log.info(
            "generation_stopped" if result.stopped else "generation_not_stopped",
            request_id=self._request.request_id,
            source=self._replica.name,
            target=self._target.name,
            after_event=self._after_event,
            outcome=result.outcome.value,
            arrived=result.arrived,
            age_s=round(self._dispatcher.now() - self._begun_at, 3),
            reason=reason,
        )
