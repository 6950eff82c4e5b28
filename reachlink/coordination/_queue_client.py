"""Placement of this instance's requests by the owner of a service's queue."""

import asyncio
from collections.abc import Callable, Set
from typing import Any

from msgspec import structs

from reachlink.coordination._asking import REPLY_TIMEOUT_S, ask_in_order
from reachlink.coordination._coordinator_selector import CoordinatorSelector
from reachlink.coordination._messages import CHANNEL_PLACE, CHANNEL_QUEUE_LEFT, QueueLeft
from reachlink.coordination._queue_owner import QueueOwner
from reachlink.kernel import steady_time
from reachlink.membership import InstanceRecord
from reachlink.messaging import Bus, CallTimeoutError, MessagingError, decode, encode
from reachlink.requests import PlacementQuery, PlacementReply
from reachlink.scheduling import Refuse, Wait
from reachlink.telemetry import get_logger

# Most owners for which an event is kept that ends held queries if the owner is lost, about 200 B
# each: more than a zone has coordinators.
MAX_TRACKED_OWNERS = 64


class _LostMeanwhileError(CallTimeoutError):
    """Another query has shown that the owner is lost."""


class QueueClient:
    """Asks the owners of the queues to place this instance's requests.

    Parameters
    ----------
    selector : CoordinatorSelector
        Returns the owner of each queue.
    name : str
        Name of this instance.
    bus : Bus
        Message bus to the owners.
    own : QueueOwner
        Queues that this instance owns, also used if no owner can be reached.
    is_ready : callable
        Returns whether this instance is a coordinator that is ready to decide.
    count : callable
        Called with the outcome of each query: ``"placed"``, ``"waits"``, ``"refused"``,
        ``"no_room"`` or ``"silent"``.
    silent_zones : callable, optional
        Returns the zones that this one seems to be cut off from, if all reachable zones share
        one queue; None if each zone has its own.
    clock : callable
        Returns the monotonic time in seconds.
    is_stopping : callable
        Returns whether a planned stop of this instance has begun.
    """

    def __init__(
        self,
        selector: CoordinatorSelector,
        name: str,
        bus: Bus,
        own: QueueOwner,
        is_ready: Callable[[], bool],
        count: Callable[[str], None],
        silent_zones: Callable[[], Set[str]] | None = None,
        clock: Callable[[], float] = steady_time,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_stopping = is_stopping
        self._selector = selector
        self._name = name
        self._bus = bus
        self._own = own
        self._is_ready = is_ready
        self._count = count
        self._silent_zones = silent_zones
        self._clock = clock
        # Events by owner that are set as soon as the owner fails to reply to any query, for the
        # queries whose replies it holds.
        self._lost_owners: dict[str, asyncio.Event] = {}
        self._log: Any = get_logger()

    async def ask(self, query: PlacementQuery) -> PlacementReply | None:
        """Return the reply of the queue's owner, or None if this instance should decide.

        An owner that has just started does not queue requests and decides only if no other
        owner does. If no owner replies, this instance queues its requests itself.
        """
        answer = await self._ask_owners(query)
        self._count("silent" if answer is None else _outcome_of(answer))
        return answer

    async def _ask_owners(self, query: PlacementQuery) -> PlacementReply | None:
        owners = self._owners(query.service)
        answer, not_ready = await ask_in_order(owners, lambda owner: self._ask_owner(owner, query))
        if answer is not None:
            return answer
        if not_ready is None:
            return await self._queue_locally(query)
        if not_ready.name == self._name:
            return None
        forced = structs.replace(query, force_decision=True, hold_s=0.0)
        answer = await self._ask_one(not_ready, forced)
        return answer if answer is not None and answer.ready else None

    async def _ask_owner(
        self, owner: InstanceRecord, query: PlacementQuery
    ) -> PlacementReply | None:
        """Return the reply of an owner, which may be this instance itself."""
        if owner.name != self._name:
            return await self._ask_one(owner, query)
        if not self._is_ready():
            return PlacementReply(ready=False)
        return await self._own.answer_local(query)

    def _owners(self, service: str) -> list[InstanceRecord]:
        now = self._clock()
        if self._silent_zones is None:
            return self._selector.owners(service, now)
        return self._selector.owners_over_zones(service, now, self._silent_zones())

    async def _queue_locally(self, query: PlacementQuery) -> PlacementReply:
        if not query.hold_s:
            self._log.info("line_kept_alone", request_id=query.request_id)
        return await self._own.answer_local(query)

    async def _ask_one(self, owner: InstanceRecord, query: PlacementQuery) -> PlacementReply | None:
        try:
            raw = await self._call(owner, query)
            return decode(raw, PlacementReply)
        except _LostMeanwhileError:
            # The query that found the owner lost has already recorded it.
            self._send_left(owner, query)
            return None
        except MessagingError as error:
            self._note_silence(owner, str(error))
            self._send_left(owner, query)
            return None
        except asyncio.CancelledError:
            self._send_left(owner, query, self._is_stopping())
            raise

    def _send_left(
        self, owner: InstanceRecord, query: PlacementQuery, instance_stops: bool = False
    ) -> None:
        """Tell an owner to drop a request: a place granted to it would stay unused."""
        left = QueueLeft(query.service, query.request_id, instance_stops)
        self._bus.send(owner.address, CHANNEL_QUEUE_LEFT, encode(left))

    async def _call(self, owner: InstanceRecord, query: PlacementQuery) -> bytes:
        hold_s = query.hold_s or 0.0
        call = self._bus.call(owner.address, CHANNEL_PLACE, encode(query), REPLY_TIMEOUT_S + hold_s)
        if hold_s <= 0.0:
            return await call
        # Another query may find that the owner is lost before this one times out.
        call_task = asyncio.ensure_future(call)
        if len(self._lost_owners) >= MAX_TRACKED_OWNERS:
            self._lost_owners.clear()
        lost = self._lost_owners.setdefault(owner.name, asyncio.Event())
        lost_task = asyncio.ensure_future(lost.wait())
        try:
            await asyncio.wait({call_task, lost_task}, return_when=asyncio.FIRST_COMPLETED)
            if call_task.done():
                return call_task.result()
            raise _LostMeanwhileError(f"{CHANNEL_PLACE} at {owner.address}: owner is lost")
        finally:
            call_task.cancel()
            lost_task.cancel()

    def _note_silence(self, owner: InstanceRecord, reason: str) -> None:
        self._selector.mark_silent(owner.name, self._clock())
        lost = self._lost_owners.pop(owner.name, None)
        if lost is not None:
            lost.set()
        self._log.info("line_owner_silent", owner=owner.name, reason=reason)


def _outcome_of(answer: PlacementReply) -> str:
    if answer.replica is not None:
        return "placed"
    if isinstance(answer.wait_or_refuse, Wait):
        return "waits"
    return "refused" if isinstance(answer.wait_or_refuse, Refuse) else "no_room"
