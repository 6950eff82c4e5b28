"""Choice of a replica for a request that may wait for room or for a permit."""

import asyncio
from typing import Any

from reachlink.pacing import Hold, HoldReason
from reachlink.quarantine import fingerprint_text
from reachlink.requests._model import CallerRequest
from reachlink.requests._needs import need_tokens
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placer import Placer
from reachlink.requests._queue_placer import QueuePlacer
from reachlink.requests._wait_limits import (
    ROOM_POLL_INTERVAL_S,
    first_list_deadline,
    max_permit_wait_s,
    may_wait_for_room,
    poll_delay_s,
)
from reachlink.scheduling import Refuse
from reachlink.telemetry import get_logger
from reachlink.upstreams import Replica, UpstreamHeldBackError


class WaitingPlacer:
    """Chooses replicas for requests that may wait for a limited time.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    placer : Placer
        Chooses a replica without waiting.
    """

    def __init__(self, parts: RunnerParts, placer: Placer) -> None:
        self._parts = parts
        self._placer = placer
        self._line = QueuePlacer(parts, placer)
        self._log: Any = get_logger()

    async def place_or_wait(self, request: CallerRequest, tried: set[str]) -> Replica | None:
        """Return the replica that a request should be sent to, after a short wait if needed."""
        parts = self._parts
        request.relay.admitted = False
        request.refusal = None
        request.last_hold = None
        while True:
            was_whole = parts.directory.is_whole
            avoid_resuming = may_wait_for_room(request, parts.clock())
            hold = self._placer.hold(request, tried)
            replica = await self._try_place(request, tried, avoid_resuming, hold)
            if replica is not None:
                self._log_placed(request, replica)
                return replica
            pause_s = None
            if request.refusal is None and self._placer.reachable.obstacle(request) is None:
                # The hold may have changed during the placement.
                hold = self._placer.hold(request, tried) or hold
                held_s = hold.remaining_s if hold is not None else None
                pause_s = poll_delay_s(request, parts.clock(), held_s)
            if pause_s is not None:
                await asyncio.sleep(pause_s)
                continue
            if request.refusal is None:
                if not was_whole and await self._wait_for_first_list(request):
                    continue
                request.last_hold = hold
            self._log_no_room(request, tried)
            return None

    async def _try_place(
        self, request: CallerRequest, tried: set[str], avoid_resuming: bool, hold: Hold | None
    ) -> Replica | None:
        """Return a replica that a request may be sent to now, using the queue if it has one."""
        if hold is None and self._line.uses_queue(request):
            found = await self._line.place(request, tried)
            if isinstance(found, Refuse):
                request.refusal = found
                return None
            return found
        replica = await self._placer.place(request, tried, avoid_resuming)
        if replica is None and hold is not None and hold.reason is HoldReason.LIMIT:
            return await self._place_with_permit(request, tried, avoid_resuming, hold.remaining_s)
        return replica

    async def _wait_for_first_list(self, request: CallerRequest) -> bool:
        """Wait for the first whole list of replicas; return whether this instance has one."""
        parts = self._parts
        while not parts.directory.is_whole:
            if parts.clock() >= first_list_deadline(request):
                return False
            await asyncio.sleep(ROOM_POLL_INTERVAL_S)
        return True

    async def _place_with_permit(
        self, request: CallerRequest, tried: set[str], avoid_resuming: bool, left_s: float
    ) -> Replica | None:
        """Return the replica whose rate limit gives the earliest permit, after waiting for it.

        All replicas are held, the first one for `left_s` seconds. The permit is reserved
        before the wait. If requests checked again only after the wait, other requests could
        overtake them, and callers would be served in random order instead of arrival order.
        """
        parts = self._parts
        patience_s = max_permit_wait_s(request, parts.clock())
        if left_s >= patience_s:
            return None
        replica = await self._placer.place(request, tried, avoid_resuming, left_s)
        if replica is None:
            return None
        try:
            await parts.admit(replica.address, patience_s)
        except UpstreamHeldBackError:
            # Other requests have reserved the permits until after this request's time limit.
            # The next check takes that into account.
            return None
        if not self._placer.takes_work(replica):
            # The replica was found to be leaving, or its zone was taken out of service.
            return None
        request.relay.admitted = True
        return replica

    def _log_placed(self, request: CallerRequest, replica: Replica) -> None:
        if request.service.engine is None:
            return
        self._log.info(
            "generation_placed",
            request_id=request.request_id,
            fingerprint=fingerprint_text(request.relay.features.fingerprint),
            replica=replica.name,
            near=self._placer.reachable.is_near(replica),
            need_tokens=need_tokens(request),
            waited_ms=round((self._parts.clock() - request.arrived_at) * 1000.0),
            priority=request.relay.priority,
            replicas=self._placer.options.describe(request.service, set()),
        )

    def _log_no_room(self, request: CallerRequest, tried: set[str]) -> None:
        self._log.info(
            "no_room",
            request_id=request.request_id,
            need_tokens=need_tokens(request),
            tried=len(tried),
            replicas=self._placer.options.describe(request.service, tried),
        )
