"""Decisions on which copies are evicted, and which generations are evacuated first."""

from reachlink.requests._book import Flight
from reachlink.requests._parts import RunnerParts
from reachlink.requests._stake_order import gives_way, rank
from reachlink.routing import Service
from reachlink.upstreams import Replica

# How long after a replica's shutdown notice its generations have priority for copies, in
# seconds: about the length of a notice.
EVACUATION_S = 2.0


class CopyOrder:
    """Decides on evictions and evacuations by this instance's information on all copies.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts

    def evacuating(self, service: Service) -> bool:
        """Return whether a leaving replica still has generations without a copy."""
        parts = self._parts
        now = parts.clock()
        leaving = parts.directory.leaving(service.name, now - EVACUATION_S)
        return any(
            parts.book.state(name).own_uncovered or parts.shared.at(name, now).uncovered
            for name in leaving
        )

    def must_give_way(self, service: Service, replica: Replica, flight: Flight) -> bool:
        """Return whether a copy of this instance has to be evicted from its replica."""
        if service.engine is None:
            return False
        parts = self._parts
        state = parts.book.state(replica.name)
        others = parts.shared.at(replica.name, parts.clock())
        return gives_way(
            flight.note,
            [*state.own_copies, *others.copies],
            state.own_used_tokens + others.used_tokens,
            service.engine.kv_capacity_tokens,
        )

    def evacuation_rank(self, replica: Replica, flight: Flight) -> int:
        """Return the number of generations to evacuate from a replica before the given one."""
        parts = self._parts
        others = parts.shared.at(replica.name, parts.clock())
        own = parts.book.state(replica.name).own_uncovered
        return rank(flight.note, [*own, *others.uncovered])
