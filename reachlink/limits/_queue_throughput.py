"""Estimates the throughput of a queue from the time while it is not empty; pure.

Only busy time counts: the rate at which requests pass through an empty queue is their arrival
rate and does not tell how fast queued requests are served.
"""

from dataclasses import dataclass

# Busy time in seconds after which an observation counts half.
HALF_LIFE_S = 4.0


@dataclass(slots=True)
class QueueThroughput:
    """Exponentially decaying rate of requests served from a queue.

    Attributes
    ----------
    served : float
        Decayed number of requests served.
    busy_s : float
        Decayed time in seconds during which the queue was not empty.
    updated_at : float, optional
        Monotonic time in seconds of the last update of a queue that is not empty; None while
        the queue is empty.
    """

    served: float = 0.0
    busy_s: float = 0.0
    updated_at: float | None = None

    def on_busy(self, now: float) -> None:
        """Record that the queue is not empty."""
        if self.updated_at is not None:
            self._advance(now - self.updated_at)
        self.updated_at = now

    def on_idle(self, now: float) -> None:
        """Record that the queue is empty."""
        if self.updated_at is not None:
            self._advance(now - self.updated_at)
        self.updated_at = None

    def on_served(self, now: float) -> None:
        """Record that a queued request was served."""
        self.served += 1.0

    def expected_wait_s(self, position: int, now: float) -> float:
        """Return the expected wait in seconds of a request at a queue position, counted from 1.

        Returns 0 until the queue has been busy for some time, so that no request is refused
        for a wait that was never observed.
        """
        busy = self.busy_s + (now - self.updated_at if self.updated_at is not None else 0.0)
        if busy <= 0.0:
            return 0.0
        # Adds one to the observed count: a queue that has just filled is not considered stuck yet.
        return position * busy / (self.served + 1.0)

    def _advance(self, elapsed_s: float) -> None:
        decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.served *= decay
        self.busy_s = self.busy_s * decay + elapsed_s
