"""How long requests took lately; no I/O."""

from collections import deque

# Requests of a service that are remembered, and the share of them that the estimate covers.
REMEMBERED = 64
COVERED_SHARE = 0.95


class RecentDurations:
    """Durations of the requests that ended lately, by service."""

    def __init__(self) -> None:
        self._durations: dict[str, deque[float]] = {}

    def add(self, service: str, duration_s: float) -> None:
        """Note a request that ended, with its duration in seconds."""
        known = self._durations.setdefault(service, deque(maxlen=REMEMBERED))
        known.append(duration_s)

    def longest_s(self, service: str) -> float:
        """Return how long nearly all requests took, in seconds; infinity where none is known."""
        known = sorted(self._durations.get(service, ()))
        if not known:
            return float("inf")
        return known[min(len(known) - 1, int(COVERED_SHARE * len(known)))]
