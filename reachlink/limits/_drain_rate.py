"""How fast a queue drains while it is not empty; pure.

Only busy time counts: the rate at which requests pass an empty queue is that
of their arrivals and says nothing of how fast waiting ones would be served.
"""

from dataclasses import dataclass

HALF_LIFE_S = 4.0


@dataclass(slots=True)
class DrainRate:
    """Requests served from a queue per second of busy time, fading."""

    drained: float = 0.0
    busy_s: float = 0.0
    since: float | None = None

    def on_busy(self, now: float) -> None:
        """The queue is not empty."""
        if self.since is not None:
            self._pass(now - self.since)
        self.since = now

    def on_idle(self, now: float) -> None:
        """The queue is empty."""
        if self.since is not None:
            self._pass(now - self.since)
        self.since = None

    def on_drained(self, now: float) -> None:
        """A waiting request was served."""
        self.drained += 1.0

    def expected_wait_s(self, position: int, now: float) -> float:
        """Return how long a request waits that is served as number `position`.

        As long as nothing is known the answer is 0: a request is not refused
        for a wait that nobody has measured.
        """
        busy = self.busy_s + (now - self.since if self.since is not None else 0.0)
        if busy <= 0.0:
            return 0.0
        # One more than was seen: a queue that has just filled is not stuck yet.
        return position * busy / (self.drained + 1.0)

    def _pass(self, passed_s: float) -> None:
        fade = 0.5 ** (passed_s / HALF_LIFE_S)
        self.drained *= fade
        self.busy_s = self.busy_s * fade + passed_s
