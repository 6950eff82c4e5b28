"""What other instances must have placed since they last told; pure.

The platform's balancer spreads callers evenly, so that an instance's own
placements since a peer's digest are the best guess at that peer's. They
follow a burst at once, which a rate learned from earlier digests does not.
The replicas that the peers chose are unknown: the guess is spread evenly.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from reachlink.placement._profiles import MemoryProfile

MEMORY_S = 4.0


@dataclass(slots=True)
class UnseenLoad:
    """Own placements of the last few seconds for one upstream."""

    _placed: deque[tuple[float, MemoryProfile]] = field(default_factory=deque)

    def on_placed(self, profile: MemoryProfile, now: float) -> None:
        """Note an own placement."""
        self._placed.append((now, profile))
        while self._placed and now - self._placed[0][0] > MEMORY_S:
            self._placed.popleft()

    def per_replica(self, heard_at: Sequence[float], replicas: int) -> MemoryProfile:
        """Return what each replica holds unseen, on average.

        Parameters
        ----------
        heard_at : sequence of float
            When each living peer's latest digest arrived, in monotonic seconds.
        replicas : int
            Replicas among which the peers choose.
        """
        total = MemoryProfile()
        if not replicas:
            return total
        for at, profile in self._placed:
            silent = sum(1 for heard in heard_at if heard < at)
            if silent:
                total.add(profile, silent / replicas)
        return total
