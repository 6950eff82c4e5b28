"""Placing requests and sending them to replicas."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from reachlink.quarantine import CrashGuard
from reachlink.requests._allocations import Allocations
from reachlink.requests._answer_body import broken_by
from reachlink.requests._copy_order import CopyOrder
from reachlink.requests._model import CallerRequest
from reachlink.requests._outcome_recorder import OutcomeRecorder
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placer import Placer
from reachlink.requests._progress import RequestStage
from reachlink.requests._replica_pace import ReplicaPace
from reachlink.requests._retry_policy import RetryPolicy
from reachlink.requests._stop_limits import StopLimits
from reachlink.requests._wait_limits import ROOM_POLL_INTERVAL_S, may_wait_for_room
from reachlink.requests._waiting_placer import WaitingPlacer
from reachlink.requests._working_replicas import WorkingReplicas
from reachlink.routing import RequestKind
from reachlink.telemetry import get_logger
from reachlink.upstreams import (
    Continuation,
    LoggedSend,
    RelayAdapter,
    RelayAnswer,
    Replica,
    UnconfirmedRefusalError,
    UpstreamHeldBackError,
    UpstreamUnreachableError,
)

# Longest time in seconds that a stream that has lost its replica waits for a permit at the replica
# with its copy. Callers leave after 2 s of silence, of which 0.8 s may have passed before the loss
# was noticed.
CONTINUATION_PERMIT_WAIT_S = 1.0


class RequestDispatcher:
    """Places and sends requests, and gives access to the components that track them.

    Parameters
    ----------
    parts : RunnerParts
        Dependencies.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._placer = Placer(parts)
        self._waiting_placer = WaitingPlacer(parts, self._placer)
        self._guard = CrashGuard(parts.quarantine, self._touch, parts.clock)
        self._allocations = Allocations(parts)
        self._copy_order = CopyOrder(parts)
        self._pace = ReplicaPace(parts)
        self._retry_policy = RetryPolicy(parts, self._placer)
        self._stop_limits = StopLimits()
        self._outcome_recorder = OutcomeRecorder(parts, self._placer, self._guard)
        self._log: Any = get_logger()
        self._background: set[asyncio.Task[None]] = set()

    @property
    def placer(self) -> Placer:
        """Component that chooses replicas."""
        return self._placer

    @property
    def allocations(self) -> Allocations:
        """Requests and copies of this instance at the replicas."""
        return self._allocations

    @property
    def copy_order(self) -> CopyOrder:
        """Component that orders the copies of generations."""
        return self._copy_order

    @property
    def pace(self) -> ReplicaPace:
        """Component that records the pace of replicas."""
        return self._pace

    @property
    def retry_policy(self) -> RetryPolicy:
        """Component that decides on further attempts."""
        return self._retry_policy

    @property
    def outcomes(self) -> OutcomeRecorder:
        """Component that records how requests ended at replicas."""
        return self._outcome_recorder

    @property
    def guard(self) -> CrashGuard:
        """Component that stops requests that crash replicas."""
        return self._guard

    @property
    def stop_limits(self) -> StopLimits:
        """Component that ends requests which a planned stop would cut off."""
        return self._stop_limits

    @property
    def adapter(self) -> RelayAdapter:
        """Client of the replicas."""
        return self._parts.adapter

    @property
    def log(self) -> Any:
        """Logger of the process."""
        return self._log

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._parts.clock()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work in the background that outlasts the request it is for."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def working_replicas(self, request: CallerRequest) -> WorkingReplicas:
        """Return a record of the replicas that may work on the generation of a request."""
        parts = self._parts
        return WorkingReplicas(request.request_id, parts.clock, self._log, parts.on_overlap)

    def random_fraction(self) -> float:
        """Return a random number from 0 to 1."""
        return self._parts.random.random()

    async def place_or_wait(self, request: CallerRequest, tried: set[str]) -> Replica | None:
        """Return the replica for a request, after a short wait if necessary; None without one.

        Raises
        ------
        HeldRequestError
            If the request becomes held in the meantime.
        RequestFailedError
            If a planned stop of this instance would cut it off.
        """
        request.progress.enter(RequestStage.WAITING, self.now())
        async with (
            self._stop_limits.waiting(request),
            self._guard.watched(request.relay.features),
        ):
            return await self._place_or_wait(request, tried)

    async def _place_or_wait(self, request: CallerRequest, tried: set[str]) -> Replica | None:
        full = await self._full_replicas(request, tried)
        if full is None:
            return None
        excluded = tried | full
        refusing = self._likely_to_refuse(request, excluded)
        if refusing:
            replica = await self._waiting_placer.place_or_wait(request, excluded | refusing)
            if replica is not None:
                return replica
        return await self._waiting_placer.place_or_wait(request, excluded)

    async def _full_replicas(
        self, request: CallerRequest, tried: set[str]
    ) -> frozenset[str] | None:
        """Return the replicas whose limit of bytes in flight a request would exceed.

        Waits until a live replica that was not tried has room; returns None if the request may
        wait no longer.
        """
        if not self._parts.scheduling.held_bytes:
            return frozenset()
        size = len(request.relay.body)
        while full := self._allocations.full_replicas(size):
            live = {one.name for one in self._parts.directory.live(request.service.name)}
            if live - tried - full:
                break
            if not may_wait_for_room(request, self.now()):
                self._log_full(request, size)
                return None
            await asyncio.sleep(ROOM_POLL_INTERVAL_S)
        return full

    def _log_full(self, request: CallerRequest, size: int) -> None:
        self._log.info(
            "replicas_hold_enough",
            request_id=request.request_id,
            body_bytes=size,
            service=request.service.name,
        )

    def _likely_to_refuse(self, request: CallerRequest, tried: set[str]) -> set[str]:
        """Return the replicas that are likely to refuse a request, if no retry is left for it."""
        if self._parts.pacing.refusals.is_empty or self._retry_policy.has_retry_left(
            request.service
        ):
            return set()
        return self._placer.refusing_replicas(request, tried)

    async def wait_for_permit(self, request: CallerRequest, replica: Replica) -> bool:
        """Wait for a permit to resume a stream at a replica; return whether there is one."""
        left_s = self.remaining_hold_s(replica)
        if left_s > CONTINUATION_PERMIT_WAIT_S:
            return False
        await asyncio.sleep(left_s)
        try:
            await self._parts.admit(replica.address, CONTINUATION_PERMIT_WAIT_S - left_s)
        except UpstreamHeldBackError:
            return False
        request.relay.admitted = True
        return True

    def remaining_hold_s(self, replica: Replica) -> float:
        """Return for how long pacing forbids requests at a replica, in seconds."""
        return self._parts.pacing.remaining_s(replica.address, self.now())

    async def open(
        self,
        request: CallerRequest,
        replica: Replica,
        continuation: Continuation | None = None,
        backup: Replica | None = None,
    ) -> RelayAnswer:
        """Send a request to a replica, with its remaining time as the timeout.

        Raises
        ------
        HeldRequestError
            If replicas crash under the request; checked on every attempt and continuation.
        UpstreamHeldBackError
            If the replica has asked for a backoff, or its rate limit is used up.
        UpstreamUnreachableError
            If no connection could be made.
        UpstreamBrokenError
            If the connection failed after the request was sent, or in any other way; an
            `UnconfirmedRefusalError` if the answer must not be passed on.
        """
        parts = self._parts
        await self._guard.admit(request.relay.features, request.request_id)
        left = request.deadline - parts.clock()
        sent_at = parts.clock()
        parts.pacing.note_sent(replica.address, sent_at)
        may_have_run, request.may_have_run = request.may_have_run, True
        request.progress.replica = replica.name
        request.progress.enter(RequestStage.SENT, sent_at)
        try:
            with self._logged_send(request, replica) as send:
                answer = await parts.adapter.open(
                    replica, request.relay, left, continuation, backup
                )
                send.note_answer(answer.head.status, answer.head.not_run)
        except (UpstreamHeldBackError, UpstreamUnreachableError):
            request.may_have_run = may_have_run
            raise
        except OSError as error:
            raise broken_by(error) from error
        finally:
            # A permit is valid for one attempt.
            request.relay.admitted = False
        now = parts.clock()
        if answer.head.not_run:
            request.may_have_run = may_have_run
        else:
            request.progress.enter(RequestStage.ANSWERING, now)
            parts.pacing.refusals.note_accepted(replica.address, sent_at)
        if answer.head.load is not None:
            self._pace.note_load(replica, answer.head.load, now)
        self._outcome_recorder.record_leaving(replica, answer.head, now)
        # The caller of a stream that resumes has a status already.
        if continuation is None:
            self._check_refusal(request, replica, answer)
        return answer

    def _check_refusal(self, request: CallerRequest, replica: Replica, answer: RelayAnswer) -> None:
        """Discard an answer whose status would promise more than the replica does.

        Requests that may be repeated get it as it is: it does not decide whether they are.

        Raises
        ------
        UnconfirmedRefusalError
            If the request may run once and may have run.
        """
        head = answer.head
        if head.is_unconfirmed_refusal and not request.route.may_repeat:
            answer.close()
            self._outcome_recorder.record_answer(replica, succeeded=False)
            raise UnconfirmedRefusalError(head.status)

    def _logged_send(self, request: CallerRequest, replica: Replica) -> LoggedSend:
        record, may_repeat = request.relay.record, request.route.may_repeat
        # A stream is sent again where it resumes.
        record.once = request.route.kind is RequestKind.ONCE
        return LoggedSend(self._log, request.request_id, replica.name, record, may_repeat)

    async def _touch(self, replica: Replica) -> None:
        """Probe a replica; raises an `UpstreamError` if it does not answer."""
        await self._parts.adapter.touch(replica)
