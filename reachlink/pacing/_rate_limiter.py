"""Grants permits at a rate and reserves them for requests that wait; pure.

Implements the generic cell rate algorithm [1]_, whose state is a single time: a token bucket
that also tells when the next permit is free, after all permits that are already reserved.

References
----------
.. [1] ITU-T Recommendation I.371, annex A, 2004.
"""

from dataclasses import dataclass

# Maximum number of unused permits that accumulate, in addition to the next one. A limit is stated
# per second, so two requests at once do not overload the replica, and the slack tolerates requests
# that arrive slightly early.
MAX_UNUSED_PERMITS = 1.0


@dataclass(slots=True)
class RateLimiter:
    """Rate limiter for one replica.

    Attributes
    ----------
    permits_per_s : float
        Permits per second.
    free_at : float
        Monotonic time in seconds at which the next permit is free.
    """

    permits_per_s: float
    free_at: float

    def set_rate(self, permits_per_s: float, now: float) -> None:
        """Change the rate; times of reserved permits are rescaled to the new rate."""
        if permits_per_s != self.permits_per_s:
            self.free_at = now + (self.free_at - now) * self.permits_per_s / permits_per_s
            self.permits_per_s = permits_per_s

    def take(self, now: float, max_wait_s: float = 0.0, background: bool = False) -> float:
        """Reserve a permit if one is free in time; return the wait for it in seconds.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        max_wait_s : float
            Longest wait for a permit, in seconds; a later permit is not reserved.
        background : bool
            Whether to take only a permit that has been free for one interval of the rate
            without being requested.

        Returns
        -------
        float
            Time in seconds until the permit is free; if longer than `max_wait_s`, no permit is
            reserved.
        """
        interval_s = 1.0 / self.permits_per_s
        earliest = max(self.free_at, now - MAX_UNUSED_PERMITS * interval_s)
        wanted = self.free_at + interval_s if background else earliest
        wait_s = max(0.0, wanted - now)
        if wait_s <= max_wait_s:
            self.free_at = earliest + interval_s
        return wait_s
