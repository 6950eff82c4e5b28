"""Baseline policies that the forecast policy is compared with.

References
----------
.. [1] M. Mitzenmacher, "The power of two choices in randomized load
   balancing", IEEE TPDS 12 (2001).
"""

from collections.abc import Sequence
from random import Random

from reachlink.placement._policies import (
    POLICIES,
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    Verdict,
)

_NO_REPLICA = Decision(Verdict.NONE_ALIVE, reason="no live replica")


@POLICIES.register("round-robin")
class RoundRobinPolicy(PlacementPolicy):
    """Chooses the replicas in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate], random: Random
    ) -> Decision:
        """Return the next replica."""
        if not candidates:
            return _NO_REPLICA
        ordered = sorted(candidates, key=lambda c: c.name)
        self._next += 1
        return Decision(
            Verdict.PLACE, ordered[self._next % len(ordered)].name, "next in round-robin order"
        )


@POLICIES.register("least-in-flight")
class LeastInFlightPolicy(PlacementPolicy):
    """Chooses the replica with the fewest requests in flight from this instance."""

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate], random: Random
    ) -> Decision:
        """Return the replica with the fewest requests in flight; ties are broken at random."""
        if not candidates:
            return _NO_REPLICA
        best = min(candidates, key=lambda c: (c.own_in_flight, random.random()))
        return Decision(Verdict.PLACE, best.name, "fewest requests in flight from this instance")


@POLICIES.register("power-of-two")
class PowerOfTwoPolicy(PlacementPolicy):
    """Chooses the less loaded of two random replicas, by their delayed load reports [1]_."""

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate], random: Random
    ) -> Decision:
        """Return the one of two replicas that reports fewer running and waiting requests."""
        if not candidates:
            return _NO_REPLICA
        pair = random.sample(list(candidates), min(2, len(candidates)))
        best = min(pair, key=lambda c: c.reported_running + c.reported_waiting)
        return Decision(Verdict.PLACE, best.name, "less loaded of two random replicas")
