"""Choice of a replica for a request that waits in a queue if there is no room."""

import asyncio

from reachlink.requests._model import CallerRequest
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placer import Placer
from reachlink.requests._wait_limits import (
    QUEUE_POLL_TIMEOUT_S,
    ROOM_POLL_INTERVAL_S,
    may_wait_for_room,
)
from reachlink.scheduling import Refuse, Wait
from reachlink.upstreams import Replica

# Replies to wait that arrive sooner than this were not delayed by the queue's owner, in seconds.
MIN_HELD_REPLY_S = 0.01
# Polling interval of a request that was queued, while the queue has no owner, in seconds.
NO_OWNER_POLL_INTERVAL_S = 0.05
# Maximum duration of this polling, in seconds: an owner manages a queue from 1.2 s after its
# start.
MAX_NO_OWNER_POLL_S = 2.5


class QueuePlacer:
    """Queues requests at the queue's owner with long polling: the owner delays its replies.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    placer : Placer
        Sends queries to the queue's owner.
    """

    def __init__(self, parts: RunnerParts, placer: Placer) -> None:
        self._parts = parts
        self._placer = placer

    def uses_queue(self, request: CallerRequest) -> bool:
        """Return whether a request uses the queue if there is no room."""
        return self._parts.scheduling.line and request.service.engine is not None

    async def place(self, request: CallerRequest, tried: set[str]) -> Replica | Refuse | None:
        """Return the replica that a request should be sent to, waiting in the queue for it.

        Parameters
        ----------
        request : CallerRequest
            Request to place.
        tried : set of str
            Names of replicas that must not be chosen.

        Returns
        -------
        Replica or Refuse or None
            None if the queue has no owner, or if the request waits for something other than
            room.
        """
        parts = self._parts
        queued = False
        owner_seen_at = parts.clock()
        while True:
            asked_at = parts.clock()
            avoid_resuming = may_wait_for_room(request, asked_at)
            # The first reply is not delayed, so that a missing owner is noticed early.
            hold_s = QUEUE_POLL_TIMEOUT_S if queued else 0.0
            found = await self._placer.place_queued(request, tried, avoid_resuming, hold_s)
            if isinstance(found, Replica | Refuse):
                return found
            if found is None and not queued:
                return None
            if self._waits_for_other_than_room(request, tried):
                return None
            if found is not None:
                owner_seen_at = parts.clock()
            elif parts.clock() - owner_seen_at > MAX_NO_OWNER_POLL_S:
                return None
            if found is None:
                # The owner has just started. The request's age determines its position.
                await asyncio.sleep(NO_OWNER_POLL_INTERVAL_S)
            elif queued and parts.clock() - asked_at < MIN_HELD_REPLY_S:
                await asyncio.sleep(ROOM_POLL_INTERVAL_S)
            queued = queued or isinstance(found, Wait)

    def _waits_for_other_than_room(self, request: CallerRequest, tried: set[str]) -> bool:
        """Return whether a request waits for something other than room."""
        placer = self._placer
        return (
            placer.reachable.obstacle(request) is not None
            or placer.hold(request, tried) is not None
        )
