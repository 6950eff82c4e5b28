"""Sending a request to a replica."""

import asyncio
from typing import Any

from reachlink.quarantine import CrashGuard
from reachlink.requests._copy_order import CopyOrder
from reachlink.requests._flights import Flights
from reachlink.requests._model import CallerRequest
from reachlink.requests._outcome_recorder import OutcomeRecorder
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placing import Placing
from reachlink.requests._replica_pace import ReplicaPace
from reachlink.requests._retry_policy import RetryPolicy
from reachlink.requests._timely_placing import TimelyPlacing
from reachlink.requests._wait_limits import ROOM_POLL_INTERVAL_S, may_wait_for_room
from reachlink.telemetry import get_logger
from reachlink.upstreams import (
    Continuation,
    RelayAdapter,
    RelayAnswer,
    Replica,
    UpstreamHeldBackError,
)

# How long a stream that has lost its replica waits for its permit at the one with its copy, in
# seconds: callers leave after two seconds of silence, of which 0.8 may have
# passed before the loss was noticed.
CONTINUATION_PERMIT_WAIT_S = 1.0


class RequestDispatcher:
    """Places and sends requests, and knows who keeps account of them.

    Parameters
    ----------
    parts : RunnerParts
        What it works with.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._placing = Placing(parts)
        self._timely = TimelyPlacing(parts, self._placing)
        self._guard = CrashGuard(parts.quarantine, self._touch, parts.clock)
        self._flights = Flights(parts)
        self._copy_order = CopyOrder(parts)
        self._pace = ReplicaPace(parts)
        self._retry_policy = RetryPolicy(parts, self._placing)
        self._outcome_recorder = OutcomeRecorder(parts, self._placing, self._guard)
        self._log: Any = get_logger()

    @property
    def placing(self) -> Placing:
        """Chooses replicas."""
        return self._placing

    @property
    def flights(self) -> Flights:
        """Knows which requests are where."""
        return self._flights

    @property
    def copy_order(self) -> CopyOrder:
        """Orders the copies of generations."""
        return self._copy_order

    @property
    def pace(self) -> ReplicaPace:
        """Notes how fast replicas work."""
        return self._pace

    @property
    def retry_policy(self) -> RetryPolicy:
        """Judges whether to try again."""
        return self._retry_policy

    @property
    def outcomes(self) -> OutcomeRecorder:
        """Notes how requests ended at replicas."""
        return self._outcome_recorder

    @property
    def guard(self) -> CrashGuard:
        """Keeps requests under which replicas crash away from replicas."""
        return self._guard

    @property
    def adapter(self) -> RelayAdapter:
        """Speaks with replicas."""
        return self._parts.adapter

    @property
    def log(self) -> Any:
        """Logger of the process."""
        return self._log

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._parts.clock()

    def random_fraction(self) -> float:
        """Return a random number from 0 to 1."""
        return self._parts.random.random()

    async def place_or_wait(self, request: CallerRequest, tried: set[str]) -> Replica | None:
        """Return the replica that a request should go to, after a short wait if need be."""
        full = await self._full(request, tried)
        if full is None:
            return None
        excluded = tried | full
        refusing = self._likely_to_refuse(request, excluded)
        if refusing:
            replica = await self._timely.place_or_wait(request, excluded | refusing)
            if replica is not None:
                return replica
        return await self._timely.place_or_wait(request, excluded)

    async def _full(self, request: CallerRequest, tried: set[str]) -> frozenset[str] | None:
        """Return the replicas that hold too much to get a request; None where all do for long."""
        if not self._parts.scheduling.held_bytes:
            return frozenset()
        size = len(request.relay.body)
        while full := self._flights.full(size):
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
        """Return the replicas that would likely refuse a request, which could not be repeated."""
        if self._parts.pacing.refusals.is_empty or self._retry_policy.has_retry_left(
            request.service
        ):
            return set()
        return self._placing.refusing(request, tried)

    async def wait_for_permit(self, request: CallerRequest, replica: Replica) -> bool:
        """Return whether a replica may get a request, after a wait that callers bear."""
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
        """Return how long a replica may get nothing by what it has asked for, in seconds."""
        return self._parts.pacing.remaining_s(replica.address, self.now())

    async def open(
        self,
        request: CallerRequest,
        replica: Replica,
        continuation: Continuation | None = None,
        backup: Replica | None = None,
    ) -> RelayAnswer:
        """Send a request to a replica, with what remains of its time.

        Raises
        ------
        HeldRequestError
            If replicas crash under it: whatever attempt, copy or repeat this is.
        UpstreamHeldBackError
            If the replica may get nothing now by what it has asked for.
        """
        parts = self._parts
        await self._guard.admit(request.relay.fingerprint, request.request_id)
        left = request.deadline - parts.clock()
        sent_at = parts.clock()
        parts.pacing.note_sent(replica.address, sent_at)
        try:
            answer = await parts.adapter.open(replica, request.relay, left, continuation, backup)
        finally:
            # A permit is for one send.
            request.relay.admitted = False
        now = parts.clock()
        if not answer.head.not_run:
            parts.pacing.refusals.note_accepted(replica.address, sent_at)
        if answer.head.load is not None:
            self._pace.note_load(replica, answer.head.load, now)
        self._outcome_recorder.record_leaving(replica, answer.head, now)
        return answer

    async def _touch(self, replica: Replica) -> None:
        """Make sure that a replica is there."""
        await self._parts.adapter.touch(replica)
