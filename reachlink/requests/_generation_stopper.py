"""Stopping a generation at a replica that may still run it.

A closed connection shows only that this instance no longer reads: a replica may run the generation
on. Only the replica's own answer to an order shows that the generation has stopped there.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from reachlink.requests._model import CallerRequest
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._working_replicas import WorkingReplicas
from reachlink.upstreams import (
    MovedMemory,
    MoveFailure,
    MoveResult,
    Replica,
    UpstreamError,
    UpstreamHeldBackError,
)

# Time in seconds between two orders while another transfer of the generation is in progress.
RETRY_INTERVAL_S = 0.05
# Intervals in seconds between two orders to a replica that has not confirmed that the generation
# has stopped, while it runs at another one: the first, and the longest.
FIRST_REPEAT_INTERVAL_S = 0.05
MAX_REPEAT_INTERVAL_S = 1.0
# Number of consecutive orders without an answer after which a replica gets no more: it has ended,
# or is out of reach for long.
MAX_UNANSWERED = 6
# Longest time in seconds for a replica's report.
REPORT_TIMEOUT_S = 0.3
# Age in seconds that a connection's end must have for a replica's report, which is some hundred
# milliseconds old, to show whether the replica has dropped the request.
REPORT_DELAY_S = 0.6


class StopOutcome(Enum):
    """What is known of a generation after an order to stop it; the value appears in log lines."""

    STOPPED = "stopped"
    # The replica does not run it now: it has ended there, or was preempted and waits.
    NOT_RUNNING = "not_running"
    # It was preempted and waits for memory, as far as the replica's report shows.
    WAITING = "waiting"
    # Pacing does not allow an order at this time.
    HELD_BACK = "held_back"
    # The replica executes only one move of a generation at a time.
    MOVE_IN_PROGRESS = "move_in_progress"
    UNANSWERED = "unanswered"


_NOT_WORKING = frozenset({StopOutcome.STOPPED, StopOutcome.NOT_RUNNING})


@dataclass(slots=True, frozen=True)
class StopResult:
    """Result of an order to stop a generation.

    Attributes
    ----------
    outcome : StopOutcome
        What is known of the generation at the replica.
    target : Replica, optional
        Replica that the memory was to be moved to; None if no order was sent.
    memory : MovedMemory, optional
        Memory from which the stopped generation can resume, if any.
    arrived : bool
        Whether `target` has received the memory; if not, the stopped replica keeps it.
    """

    outcome: StopOutcome
    target: Replica | None = None
    memory: MovedMemory | None = None
    arrived: bool = False

    @property
    def stopped(self) -> bool:
        """Whether the replica has confirmed that the generation has stopped."""
        return self.outcome is StopOutcome.STOPPED

    def options(self, primary: Replica) -> list[tuple[Replica, MovedMemory]]:
        """Return where the generation may resume from the memory of the stopped primary."""
        if self.memory is None or self.target is None:
            return []
        # A replica that has stopped resumes from its own memory.
        return [(self.target if self.arrived else primary, self.memory)]


class GenerationStopper:
    """Stops one generation at a replica, which keeps the memory or moves it.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Gives access to the replicas.
    request : CallerRequest
        Request of the generation.
    working : WorkingReplicas
        Replicas that may work on the generation.
    """

    def __init__(
        self, dispatcher: RequestDispatcher, request: CallerRequest, working: WorkingReplicas
    ) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._working = working
        # Outcome of the last order that was logged; None after events from the replica.
        self._logged: StopOutcome | None = None

    @property
    def can_stop(self) -> bool:
        """Whether the replicas of the service stop a generation on request."""
        engine = self._request.service.engine
        return engine is not None and engine.moves

    def reset(self) -> None:
        """Log the outcome of the next order, whatever it is."""
        self._logged = None

    async def stop(
        self, primary: Replica, target: Replica | None, after_event: int, timeout_s: float
    ) -> StopResult:
        """Order a replica to stop the generation, and to move its memory.

        A replica that does not run it is asked whether it lets it wait.

        Parameters
        ----------
        primary : Replica
            Replica that may still run the generation.
        target : Replica, optional
            Replica with room for its memory; any other one is named if there is none.
        after_event : int
            Number of the last event that the caller got.
        timeout_s : float
            Longest time in seconds for the answer.
        """
        target = target or self._any_other(primary)
        if target is None:
            return StopResult(StopOutcome.UNANSWERED)
        result, reason = StopResult(StopOutcome.NOT_RUNNING), ""
        if self.can_stop:
            result, reason = await self._order(primary, target, timeout_s)
        if result.outcome is StopOutcome.NOT_RUNNING:
            result = StopResult(await self._outcome_by_report(primary))
        if result.outcome is not self._logged:
            self._logged = result.outcome
            self._log(primary, target, after_event, result, reason)
        return result

    async def _outcome_by_report(self, primary: Replica) -> StopOutcome:
        """Return whether generations wait at a replica that does not run this one.

        The report is some hundred milliseconds old.
        """
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await self._dispatcher.adapter.report(primary)
        except UpstreamHeldBackError:
            return StopOutcome.HELD_BACK
        except (UpstreamError, TimeoutError) as error:
            self._dispatcher.log.info(
                "report_unanswered",
                request_id=self._request.request_id,
                replica=primary.name,
                reason=str(error) or type(error).__name__,
            )
            return StopOutcome.UNANSWERED
        return StopOutcome.WAITING if report.waiting else StopOutcome.NOT_RUNNING

    def keep_stopping(self, previous: Replica, current: Replica, after_event: int) -> None:
        """Repeat the order in the background until the generation has stopped at a replica.

        Parameters
        ----------
        previous : Replica
            Replica that may run the generation.
        current : Replica
            Replica at which the generation runs now.
        after_event : int
            Number of the last event that the caller got.
        """
        if self.can_stop:
            self._dispatcher.spawn(self._keep_stopping(previous, current, after_event))

    async def _keep_stopping(self, previous: Replica, current: Replica, after_event: int) -> None:
        begun_at = self._dispatcher.now()
        born = self._dispatcher.placer.born(previous)
        interval_s = FIRST_REPEAT_INTERVAL_S
        logged: StopOutcome | None = None
        unanswered = 0
        # One that leaves has most probably ended.
        most_unanswered = MAX_UNANSWERED if self._dispatcher.placer.stays(previous) else 1
        while unanswered < most_unanswered and self._may_run_at(previous, born):
            result, reason = await self._order(previous, current, MAX_REPEAT_INTERVAL_S)
            if result.outcome is not logged:
                self._log(previous, current, after_event, result, reason)
                logged = result.outcome
            unanswered = unanswered + 1 if result.outcome is StopOutcome.UNANSWERED else 0
            if result.stopped:
                await self._release(result)
                return
            if await self._was_dropped(previous, result, begun_at):
                return
            await asyncio.sleep(interval_s)
            interval_s = min(2.0 * interval_s, MAX_REPEAT_INTERVAL_S)

    def _may_run_at(self, replica: Replica, born: int) -> bool:
        """Return whether a replica may run the generation by what is known of it."""
        if self._dispatcher.now() >= self._request.deadline:
            return False
        return not self._dispatcher.placer.is_gone(replica, born)

    async def _was_dropped(self, replica: Replica, result: StopResult, closed_at: float) -> bool:
        """Return whether a replica neither runs the generation nor lets it wait."""
        if result.outcome is not StopOutcome.NOT_RUNNING:
            return False
        if self._dispatcher.now() - closed_at < REPORT_DELAY_S:
            return False
        return await self._outcome_by_report(replica) is StopOutcome.NOT_RUNNING

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

    def _any_other(self, primary: Replica) -> Replica | None:
        reachable = self._dispatcher.placer.reachable
        live = reachable.live(self._request.service.name, self._dispatcher.now())
        return next((replica for replica in live if replica.name != primary.name), None)

    async def _order(
        self, primary: Replica, target: Replica, timeout_s: float
    ) -> tuple[StopResult, str]:
        """Send the order until no other move is in progress; return its result and the error."""
        ends_at = self._dispatcher.now() + timeout_s
        while True:
            try:
                async with asyncio.timeout(ends_at - self._dispatcher.now()):
                    moved = await self._dispatcher.adapter.move(
                        primary, self._request.request_id, target, True
                    )
            except UpstreamHeldBackError as error:
                return StopResult(StopOutcome.HELD_BACK), str(error)
            except (UpstreamError, TimeoutError) as error:
                return StopResult(StopOutcome.UNANSWERED), str(error) or type(error).__name__
            result = _result_of(moved, target)
            if result.outcome in _NOT_WORKING:
                self._working.end(primary.name)
            if result.outcome is not StopOutcome.MOVE_IN_PROGRESS:
                return result, ""
            if self._dispatcher.now() + RETRY_INTERVAL_S >= ends_at:
                return result, ""
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _log(
        self, primary: Replica, target: Replica, after_event: int, result: StopResult, reason: str
    ) -> None:
        self._dispatcher.log.info(
            "generation_stopped" if result.stopped else "generation_not_stopped",
            request_id=self._request.request_id,
            source=primary.name,
            target=target.name,
            after_event=after_event,
            outcome=result.outcome.value,
            arrived=result.arrived,
            reason=reason,
        )


def _result_of(moved: MoveResult, target: Replica) -> StopResult:
    """Return what the answer to an order to stop shows."""
    if moved.arrived or moved.memory is not None:
        return StopResult(StopOutcome.STOPPED, target, moved.memory, moved.arrived)
    if moved.failure is MoveFailure.NOT_RUNNING:
        return StopResult(StopOutcome.NOT_RUNNING, target)
    if moved.failure is MoveFailure.MOVE_IN_PROGRESS:
        return StopResult(StopOutcome.MOVE_IN_PROGRESS, target)
    # Without a handle it is not known whether the generation has stopped.
    return StopResult(StopOutcome.UNANSWERED, target)
