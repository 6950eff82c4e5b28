"""Grants permits at a rate, and reserves them for those that wait; pure.

The generic cell rate algorithm [1]_, whose state is one time: a token bucket that also
tells when the next permit is free, with those counted that are promised already.

References
----------
.. [1] ITU-T Recommendation I.371, annex A, 2004.
"""

from dataclasses import dataclass

# Permits that are saved up at the most while nobody asks, besides the next one. A replica
# names what it takes in a second: two at once are none too many for it, and help who comes a
# moment too early.
SAVED = 1.0


@dataclass(slots=True)
class Meter:
    """Permits of one replica.

    Attributes
    ----------
    per_s : float
        Permits a second.
    free_at : float
        When the next permit is free, in monotonic seconds.
    """

    per_s: float
    free_at: float

    def set_rate(self, per_s: float, now: float) -> None:
        """Grant at another rate; permits that are promised count by the new one."""
        if per_s != self.per_s:
            self.free_at = now + (self.free_at - now) * self.per_s / per_s
            self.per_s = per_s

    def take(self, now: float, patience_s: float = 0.0, background: bool = False) -> float:
        """Take a permit if there is one in time; return when it may be used, in seconds.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        patience_s : float
            Longest wait for a permit, in seconds; a permit that comes later is not taken.
        background : bool
            Whether only a permit counts that nobody has wanted for some time.

        Returns
        -------
        float
            Time until the permit may be used; above the patience none was taken.
        """
        interval_s = 1.0 / self.per_s
        earliest = max(self.free_at, now - SAVED * interval_s)
        wanted = self.free_at + interval_s if background else earliest
        wait_s = max(0.0, wanted - now)
        if wait_s <= patience_s:
            self.free_at = earliest + interval_s
        return wait_s
