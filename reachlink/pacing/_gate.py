"""Interface for acquiring permits to send to replicas with a rate limit; pure."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from reachlink.pacing._limits import AdvertisedLimit
from reachlink.pacing._rate_limiter import RateLimiter


@dataclass(slots=True, frozen=True)
class PermitOptions:
    """Options of a request for a permit.

    Attributes
    ----------
    max_wait_s : float
        Longest wait for the permit, in seconds.
    background : bool
        Whether the request gives way to all other requests to the replica.
    """

    max_wait_s: float = 0.0
    background: bool = False


class LimitGate(Protocol):
    """Grants permits for requests to replicas with a rate limit."""

    async def acquire(self, address: str, limit: AdvertisedLimit, options: PermitOptions) -> float:
        """Return the time in seconds until one more request may be sent.

        Parameters
        ----------
        address : str
            Address of the replica.
        limit : AdvertisedLimit
            Rate limit that the replica advertised.
        options : PermitOptions
            Options of the request.

        Returns
        -------
        float
            Time in seconds until the permit that is reserved for the request; if longer than
            the longest wait of the request, no permit is reserved.
        """


class LocalGate(LimitGate):
    """Grants permits in a process that is the only sender.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._limiters: dict[str, RateLimiter] = {}

    async def acquire(self, address: str, limit: AdvertisedLimit, options: PermitOptions) -> float:
        """Return the time in seconds until one more request may be sent."""
        now = self._clock()
        limiter = self._limiters.setdefault(address, RateLimiter(limit.requests_per_s, now))
        limiter.set_rate(limit.requests_per_s, now)
        return limiter.take(now, options.max_wait_s, options.background)
