"""Rate limits that replicas advertise for all instances together; pure.

An overloaded replica states in its answers how many requests per second it accepts, for as
long as it is overloaded. This module holds what one instance knows of these limits; `_sharing`
divides them among instances.
"""

import math
from dataclasses import dataclass

# Lowest limit in requests per second that is enforced. A replica that advertises less, or 0, still
# gets one request every 10 s, whose answer shows whether the limit is still in force. Otherwise
# the limit would never end.
MIN_REQUESTS_PER_S = 0.1
# Highest limit in requests per second; higher values are reduced to it. It exceeds the load of the
# whole fleet.
MAX_REQUESTS_PER_S = 1e6
# Longest time in seconds until a permit is requested again, even if the next permit was announced
# for later: the instance that grants permits may change, and so may the share that it grants.
MAX_PERMIT_POLL_S = 0.5
# Maximum number of replicas tracked; well above the 710 replicas of the largest fleet.
MAX_TRACKED_REPLICAS = 2000
# Time in seconds for which the end of a limit is remembered; longer than the delay with which
# other instances report the limit.
ENDED_RETENTION_S = 60.0
# A limit advertised less than this many seconds before a restart of its replica became known may
# come from the restarted replica and is kept; otherwise the next answer without a limit ends it.
RESTART_REPORT_DELAY_S = 30.0


def parse_limit(text: str) -> float:
    """Return the advertised requests per second, clipped to the range that is enforced.

    Raises
    ------
    ValueError
        If the text is not a number, not finite, or negative.
    """
    requests_per_s = float(text)
    if not math.isfinite(requests_per_s) or requests_per_s < 0.0:
        raise ValueError(f"rate limit is not a finite number of at least 0: {text}")
    return min(MAX_REQUESTS_PER_S, max(MIN_REQUESTS_PER_S, requests_per_s))


@dataclass(slots=True)
class AdvertisedLimit:
    """Rate limit that one replica advertised.

    Attributes
    ----------
    requests_per_s : float
        Requests per second that the replica accepts from all instances together.
    advertised_at : float
        Monotonic time in seconds at which the replica last advertised the limit.
    next_permit_at : float
        Monotonic time in seconds of this instance's next permit, as last announced.
    poll_at : float
        Monotonic time in seconds from which a permit is requested again.
    """

    requests_per_s: float
    advertised_at: float
    next_permit_at: float = float("-inf")
    poll_at: float = float("-inf")


class LimitTracker:
    """Rate limits advertised by replicas, by replica address."""

    def __init__(self) -> None:
        self._limits: dict[str, AdvertisedLimit] = {}
        # Monotonic times in seconds at which limits ended, by address. Older reports from other
        # instances are ignored.
        self._ended: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no replica has a limit."""
        return not self._limits

    def record(self, address: str, requests_per_s: float, advertised_at: float) -> bool:
        """Record a limit that a replica advertised; return whether it is new or changed.

        Parameters
        ----------
        address : str
            Address of the replica.
        requests_per_s : float
            Requests per second.
        advertised_at : float
            Monotonic time in seconds at which the replica advertised the limit. Reports of other
            instances arrive late: a limit that was advertised or ended more recently takes
            precedence.
        """
        if advertised_at <= self._ended.get(address, float("-inf")):
            return False
        previous = self._limits.get(address)
        if previous is not None and previous.advertised_at >= advertised_at:
            return False
        if previous is None:
            self._make_room(advertised_at)
            self._limits[address] = AdvertisedLimit(requests_per_s, advertised_at)
            return True
        changed = previous.requests_per_s != requests_per_s
        previous.requests_per_s, previous.advertised_at = requests_per_s, advertised_at
        return changed

    def record_absence(self, address: str, sent_at: float, now: float) -> bool:
        """Record an answer without a limit; return whether it ends the replica's limit.

        Answers may arrive out of order: only the answer to a request that was sent after the
        limit was last advertised ends it.

        Parameters
        ----------
        address : str
            Address of the replica.
        sent_at : float
            Monotonic time in seconds at which the answered request was sent.
        now : float
            Monotonic time in seconds.
        """
        limit = self._limits.get(address)
        if limit is None or sent_at <= limit.advertised_at:
            return False
        del self._limits[address]
        self._ended = {a: at for a, at in self._ended.items() if now - at < ENDED_RETENTION_S}
        self._ended[address] = sent_at
        return True

    def recently_ended(self) -> dict[str, float]:
        """Return the monotonic times in seconds at which recent limits ended, by address."""
        return self._ended

    def get(self, address: str) -> AdvertisedLimit | None:
        """Return the limit of a replica; None if it has none."""
        return self._limits.get(address)

    def all(self) -> dict[str, AdvertisedLimit]:
        """Return all limits by address."""
        return self._limits

    def block(self, address: str, remaining_s: float, now: float) -> None:
        """Record that this instance gets no permit for `remaining_s` seconds."""
        limit = self._limits.get(address)
        if limit is not None:
            limit.next_permit_at = now + remaining_s
            limit.poll_at = now + min(remaining_s, MAX_PERMIT_POLL_S)

    def remaining_s(self, address: str, now: float) -> float:
        """Return the time in seconds until this instance's next permit; 0 if one may be free."""
        limit = self._limits.get(address)
        return max(0.0, limit.next_permit_at - now) if limit is not None else 0.0

    def holds(self, address: str, now: float) -> bool:
        """Return whether a replica gets less than its usual load now."""
        return self.remaining_s(address, now) > 0.0

    def admits(self, address: str, now: float) -> bool:
        """Return whether it is worthwhile to request a permit for a replica."""
        limit = self._limits.get(address)
        return limit is None or now >= limit.poll_at

    def note_sent(self, address: str, now: float) -> None:
        """Do nothing: a request is counted when its permit is granted."""

    def note_answer(self, address: str, now: float) -> None:
        """Do nothing: limits in answers are recorded by `record` and `record_absence`."""

    def on_restart(self, address: str, now: float) -> None:
        """Drop a limit that was advertised before the replica restarted."""
        limit = self._limits.get(address)
        if limit is not None and now - limit.advertised_at > RESTART_REPORT_DELAY_S:
            del self._limits[address]

    def on_address_reused(self, address: str) -> None:
        """Drop the limit of an address that now belongs to another replica."""
        self._limits.pop(address, None)
        self._ended.pop(address, None)

    def count(self) -> int:
        """Return the number of replicas with a limit."""
        return len(self._limits)

    def _make_room(self, now: float) -> None:
        if len(self._limits) >= MAX_TRACKED_REPLICAS:
            del self._limits[min(self._limits, key=lambda a: self._limits[a].advertised_at)]
