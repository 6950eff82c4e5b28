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

    async def acquire(self, address: str, limit: AdvertisedLimit, asked: PermitOptions) -> float:
        """Return the time in seconds until one more request may be sent.

        Parameters
        ----------
        address : str
            Address of the replica.
        limit : AdvertisedLimit
            Rate limit that the replica advertised.
        asked : PermitOptions
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
        self._meters: dict[str, RateLimiter] = {}

    async def acquire(self, address: str, limit: AdvertisedLimit, asked: PermitOptions) -> float:
        """Return the time in seconds until one more request may be sent."""
        now = self._clock()
        meter = self._meters.setdefault(address, RateLimiter(limit.requests_per_s, now))
        meter.set_rate(limit.requests_per_s, now)
        return meter.take(now, asked.max_wait_s, asked.background)
