"""Rate at which memory is granted while requests wait; free of I/O and clocks.

Only time in which requests wait counts: with an empty queue, the rate of starts is the rate of
arrivals, not the rate that could be served. The measured rate also decays while the queue is
empty, since it describes an overload that is over.
"""

from dataclasses import dataclass

HALF_LIFE_S = 4.0
# Memory of one common request, added to the granted memory: a queue that has just formed is
# not taken for stuck.
PRIOR_TOKENS = 4_000.0
# Minimum time of waiting before a rate is known, in seconds: replicas that have all just
# disappeared come back, and a queue without grants for a second is not stuck.
MIN_MEASURED_S = 2.0


@dataclass(slots=True)
class GrantRate:
    """Exponentially decaying rate of memory granted while requests wait.

    Examples
    --------
    >>> rate = GrantRate()
    >>> rate.on_waiting(0.0)
    >>> rate.tokens_per_s(0.1)
    0.0
    >>> for tenth in range(1, 600):
    ...     rate.on_granted(2_000)
    ...     rate.on_waiting(tenth / 10.0)
    >>> 20_000 < rate.tokens_per_s(60.0) < 21_000
    True
    """

    _granted: float = 0.0
    _waiting_s: float = 0.0
    _is_waiting: bool = False
    _updated_at: float = 0.0

    def on_waiting(self, now: float) -> None:
        """Record that requests wait, at a monotonic time in seconds."""
        self._advance(now)
        self._is_waiting = True

    def on_empty(self, now: float) -> None:
        """Record that no request waits any more, at a monotonic time in seconds."""
        self._advance(now)
        self._is_waiting = False

    def on_granted(self, tokens: int) -> None:
        """Record a grant to a waiting request, in tokens."""
        self._granted += tokens

    def tokens_per_s(self, now: float) -> float:
        """Return the memory granted per second, in tokens; 0 if unknown."""
        elapsed_s = now - self._updated_at
        decay = 1.0 if self._is_waiting else _decay(elapsed_s)
        waiting_s = self._waiting_s * decay + (elapsed_s if self._is_waiting else 0.0)
        if waiting_s < MIN_MEASURED_S:
            return 0.0
        return (self._granted * decay + PRIOR_TOKENS) / waiting_s

    def _advance(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        decay = _decay(elapsed_s)
        self._granted *= decay
        self._waiting_s = self._waiting_s * decay + (elapsed_s if self._is_waiting else 0.0)
        self._updated_at = now


def _decay(elapsed_s: float) -> float:
    return float(0.5 ** (elapsed_s / HALF_LIFE_S))
