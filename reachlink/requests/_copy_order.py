"""Decisions on which copies are evicted, and which departure copies are made first."""

from reachlink.requests._copy_ranking import departure_copy_rank, must_evict
from reachlink.requests._parts import RunnerParts
from reachlink.requests._replica_tracker import Allocation
from reachlink.routing import Service
from reachlink.upstreams import Replica

# How long after a replica's shutdown notice its generations have priority for copies, in
# seconds: about the length of a notice.
DEPARTURE_COPY_PRIORITY_S = 2.0


class CopyOrder:
    """Sorts evictions and departure copies by this instance's information on all copies.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts

    def departure_copies_due(self, service: Service) -> bool:
        """Return whether a leaving replica still has generations without a copy."""
        parts = self._parts
        now = parts.clock()
        leaving = parts.directory.leaving(service.name, now - DEPARTURE_COPY_PRIORITY_S)
        return any(
            parts.tracker.state(name).own_unreplicated
            or parts.peer_load.usage_at(name, now).unreplicated
            for name in leaving
        )

    def must_evict(self, service: Service, replica: Replica, allocation: Allocation) -> bool:
        """Return whether a copy of this instance has to be evicted from its replica."""
        if service.engine is None:
            return False
        parts = self._parts
        state = parts.tracker.state(replica.name)
        others = parts.peer_load.usage_at(replica.name, parts.clock())
        return must_evict(
            allocation.summary,
            [*state.own_evictable_copies, *others.copies],
            state.own_used_tokens + others.used_tokens,
            service.engine.kv_capacity_tokens,
        )

    def departure_copy_rank(self, replica: Replica, allocation: Allocation) -> int:
        """Return the number of generations to copy from a replica before the given one."""
        parts = self._parts
        others = parts.peer_load.usage_at(replica.name, parts.clock())
        own = parts.tracker.state(replica.name).own_unreplicated
        return departure_copy_rank(allocation.summary, [*own, *others.unreplicated])
