"""What was granted a moment ago counts, until its instance tells of it by itself."""

import asyncio
from collections import deque
from collections.abc import Callable

from reachlink.requests import LoadNote, ReplicaShare, SharedLoad, total

# An instance that was heard within this time tells its load here, in seconds: each does
# so once a second at the least.
REPORTS_HERE_S = 1.5
# How long a grant counts for an instance that tells another coordinator, in seconds: it
# tells that one after 0.03 s, which tells this one after some 0.07 s.
GRANT_COUNTED_S = 0.25
# How soon what is too old is dropped at the earliest, in seconds: not one by one.
MIN_EXPIRY_DELAY_S = 0.005
# Under which name the grants to such instances are summed up; no instance has it.
RECENT_GRANTS = "fresh grants"


class RecentGrants:
    """Notes grants in the sum of what all have at the replicas.

    Parameters
    ----------
    shared : SharedLoad
        The sum.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, shared: SharedLoad, clock: Callable[[], float]) -> None:
        self._shared = shared
        self._clock = clock
        self._grants: deque[tuple[float, ReplicaShare]] = deque()
        self._expiry_timer: asyncio.TimerHandle | None = None

    def add(self, instance: str, share: ReplicaShare) -> None:
        """Note what an instance is granted at a replica."""
        now = self._clock()
        if now - self._shared.last_heard(instance) < REPORTS_HERE_S:
            # Its next note here stands in place of this.
            self._shared.add(instance, share, now)
            return
        self._grants.append((now + GRANT_COUNTED_S, share))
        self._update_total(now)

    def _drop_expired(self) -> None:
        self._expiry_timer = None
        now = self._clock()
        while self._grants and self._grants[0][0] <= now:
            self._grants.popleft()
        self._update_total(now)

    def _update_total(self, now: float) -> None:
        shares: dict[str, list[ReplicaShare]] = {}
        for _, share in self._grants:
            shares.setdefault(share.replica, []).append(share)
        self._shared.take(LoadNote(RECENT_GRANTS, [total(found) for found in shares.values()]), now)
        if self._grants and self._expiry_timer is None:
            loop = asyncio.get_running_loop()
            left_s = max(MIN_EXPIRY_DELAY_S, self._grants[0][0] - now)
            self._expiry_timer = loop.call_later(left_s, self._drop_expired)
