"""Load of recent grants, counted until the instance that got the grant reports it itself."""

import asyncio
from collections import deque
from collections.abc import Callable

from reachlink.requests import LoadUpdate, PeerLoad, ReplicaUsage, sum_usages

# An instance whose last update is not older than this reports its load to this coordinator, in
# seconds: each instance sends an update at least once a second.
REPORTS_HERE_S = 1.5
# Time for which a grant counts if its instance reports to another coordinator, in seconds: the
# instance sends an update to that one after 0.03 s, which sends it here after about 0.07 s.
GRANT_COUNTED_S = 0.25
# Shortest delay until expired grants are dropped, in seconds, so that several are dropped at once.
MIN_EXPIRY_DELAY_S = 0.005
# Key of the sum of the grants to such instances in `PeerLoad`; no instance has this name.
RECENT_GRANTS = "fresh grants"


class RecentGrants:
    """Adds recent grants to the load of the other instances.

    Parameters
    ----------
    peer_load : PeerLoad
        Load of the other instances.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, peer_load: PeerLoad, clock: Callable[[], float]) -> None:
        self._peer_load = peer_load
        self._clock = clock
        self._grants: deque[tuple[float, ReplicaUsage]] = deque()
        self._expiry_timer: asyncio.TimerHandle | None = None

    def add(self, instance: str, usage: ReplicaUsage) -> None:
        """Add the load that a grant to an instance puts on a replica."""
        now = self._clock()
        if now - self._peer_load.last_heard(instance) < REPORTS_HERE_S:
            # The next update of the instance replaces this load.
            self._peer_load.add(instance, usage, now)
            return
        self._grants.append((now + GRANT_COUNTED_S, usage))
        self._update_total(now)

    def _drop_expired(self) -> None:
        self._expiry_timer = None
        now = self._clock()
        while self._grants and self._grants[0][0] <= now:
            self._grants.popleft()
        self._update_total(now)

    def _update_total(self, now: float) -> None:
        usages: dict[str, list[ReplicaUsage]] = {}
        for _, usage in self._grants:
            usages.setdefault(usage.replica, []).append(usage)
        self._peer_load.update(
            LoadUpdate(RECENT_GRANTS, [sum_usages(found) for found in usages.values()]), now
        )
        if self._grants and self._expiry_timer is None:
            loop = asyncio.get_running_loop()
            left_s = max(MIN_EXPIRY_DELAY_S, self._grants[0][0] - now)
            self._expiry_timer = loop.call_later(left_s, self._drop_expired)
