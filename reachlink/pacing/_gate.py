"""Who grants permits for replicas with a limit; pure."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from reachlink.pacing._limits import NamedLimit
from reachlink.pacing._meter import Meter


@dataclass(slots=True, frozen=True)
class PermitRequest:
    """How much a request matters.

    Attributes
    ----------
    patience_s : float
        Longest wait for its permit, in seconds.
    background : bool
        Whether it only matters where nothing else wants to go there.
    """

    patience_s: float = 0.0
    background: bool = False


class LimitGate(Protocol):
    """Grants permits for requests to replicas with a limit."""

    async def acquire(self, address: str, limit: NamedLimit, asked: PermitRequest) -> float:
        """Return when one more request may be sent.

        Parameters
        ----------
        address : str
            The replica.
        limit : NamedLimit
            What it has named.
        asked : PermitRequest
            How much the request matters.

        Returns
        -------
        float
            Time until its permit, in seconds, which is kept for it; above its patience it has
            none.
        """


class LocalGate(LimitGate):
    """Grants permits for a process that is the only one to send.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._meters: dict[str, Meter] = {}

    async def acquire(self, address: str, limit: NamedLimit, asked: PermitRequest) -> float:
        """Return when one more request may be sent."""
        now = self._clock()
        meter = self._meters.setdefault(address, Meter(limit.per_s, now))
        meter.set_rate(limit.per_s, now)
        return meter.take(now, asked.patience_s, asked.background)
