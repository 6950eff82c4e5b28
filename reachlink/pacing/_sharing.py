"""Assigns each replica's rate limit to an owner instance and grants permits; pure.

All requests to a replica are counted at one instance, the owner: the instance whose hash with
the replica's name is the highest. During a network partition the instances together grant at
most one and a half times the limit, whatever the connectivity:

- a side with more than half of the instances grants the whole limit;
- any other side grants a share in proportion to its number of instances; beside a side that
  grants the whole limit, all such sides together grant less than half;
- an instance that reaches no owner grants itself the limit divided by the number of instances.
"""

import hashlib
from collections.abc import Callable, Iterable
from random import Random
from typing import TypeVar

from reachlink.pacing._messages import PermitQuery
from reachlink.pacing._rate_limiter import RateLimiter

_Key = TypeVar("_Key")

# Time in seconds after which an instance that was not heard from is not counted as reachable; each
# instance sends something at least once a second.
PEER_SILENCE_TIMEOUT_S = 2.0
# Time in seconds for which instances that left the roster are still counted in the total. During a
# network partition the roster shrinks to this side after 30 s, while the instances on the other
# side still send.
ROSTER_RETENTION_S = 300.0
# Time in seconds after its start during which an instance grants only a small share of each limit,
# and that share. If all instances start at once, each may not know the others yet.
SETTLE_S = 2.0
UNSETTLED_SHARE = 0.1
# Maximum number of replicas whose permits are counted.
MAX_RATE_LIMITERS = 2000


def partition_share(heard: int, known: int) -> float:
    """Return the share of a limit that one side of a partition grants.

    Parameters
    ----------
    heard : int
        Instances on this side.
    known : int
        Instances on all sides.

    Examples
    --------
    >>> partition_share(7, 7), partition_share(4, 7), partition_share(1, 4), partition_share(2, 4)
    (1.0, 1.0, 0.25, 0.5)
    """
    return 1.0 if 2 * heard > known else heard / known


def rendezvous_order(names: Iterable[str], resource: str) -> list[str]:
    """Return the possible owners of a resource in order of precedence.

    Uses rendezvous hashing: one instance more or less changes the owner of few resources.

    Parameters
    ----------
    names : iterable of str
        Instances that may own the resource.
    resource : str
        Name of the resource: a replica, for its rate limit, or a service, for its queue.
    """
    return sorted(names, key=lambda name: _hash(name, resource), reverse=True)


def _hash(instance: str, resource: str) -> bytes:
    return hashlib.blake2b(f"{instance} {resource}".encode(), digest_size=8).digest()


class LimitSharing:
    """One instance's part in granting permits for rate limits.

    Parameters
    ----------
    name : str
        Name of this instance.
    heard_at : callable
        Returns the monotonic time in seconds at which another instance was last heard from.
    random : random.Random
        Spreads the first permits of instances that reach no owner.
    """

    def __init__(self, name: str, heard_at: Callable[[str], float], random: Random) -> None:
        self._name = name
        self._heard_at = heard_at
        self._random = random
        # Instances that may own limits, with the monotonic time at which each was last in the
        # roster.
        self._known: dict[str, float] = {}
        self._owners: list[str] = []
        # Numbers of instances, with the monotonic time at which each number was last current.
        self._instance_counts: dict[int, float] = {}
        self._started_at: float | None = None
        self._owner_limiters: dict[str, RateLimiter] = {}
        self._own_limiters: dict[str, RateLimiter] = {}
        # Time of each replica's most recent limit and the limit in requests per second, for the
        # limits that this instance grants.
        self._advertised: dict[str, tuple[float, float]] = {}
        self._owner_order: dict[str, list[str]] = {}

    def update_roster(self, owners: Iterable[str], instances: int, now: float) -> None:
        """Update the instances that may own limits, and the number of all instances."""
        names = sorted(owners)
        if names != self._owners:
            self._owners = names
            self._owner_order.clear()
        if self._started_at is None and names:
            self._started_at = now
        self._known = _without_expired(self._known | dict.fromkeys(names, now), now)
        self._instance_counts = _without_expired(self._instance_counts | {instances: now}, now)

    def owners(self, replica: str) -> list[str]:
        """Return the instances that may own a replica's limit, in order of precedence."""
        found = self._owner_order.get(replica)
        if found is None:
            if len(self._owner_order) >= MAX_RATE_LIMITERS:
                self._owner_order.clear()
            found = self._owner_order[replica] = rendezvous_order(self._owners, replica)
        return found

    def is_owner(self, replica: str, now: float) -> bool:
        """Return whether this instance owns a replica's limit.

        That is the case if it hears from none of the instances that precede it.
        """
        for name in self.owners(replica):
            if name == self._name:
                return True
            if self._hears(name, now):
                return False
        return False

    def share(self, now: float) -> float:
        """Return the share of each limit that this instance's side of a partition grants."""
        if self._started_at is None or now - self._started_at < SETTLE_S:
            return UNSETTLED_SHARE
        heard = sum(name == self._name or self._hears(name, now) for name in self._known)
        return partition_share(heard, len(self._known))

    def grant(self, query: PermitQuery, now: float) -> float:
        """Return the wait in seconds for a permit, as owner of the limit.

        See `RateLimiter.take`.
        """
        requests_per_s = self._latest_rate(query, now) * self.share(now)
        limiter = self._owner_limiters.get(query.replica)
        if limiter is None:
            _make_room(self._owner_limiters)
            limiter = self._owner_limiters[query.replica] = RateLimiter(requests_per_s, now)
        limiter.set_rate(requests_per_s, now)
        return limiter.take(now, query.max_wait_s, query.background)

    def grant_without_owner(self, query: PermitQuery, now: float) -> float:
        """Return the wait in seconds for a permit from this instance's own share of a limit.

        Used while no owner of the limit can be reached; see `RateLimiter.take`.
        """
        requests_per_s = query.requests_per_s / max(1, len(self._known), *self._instance_counts)
        limiter = self._own_limiters.get(query.replica)
        if limiter is None:
            _make_room(self._own_limiters)
            # If hundreds of instances lose the owner at the same moment, they must not all start
            # with a permit at once.
            first_s = self._random.random() / requests_per_s
            limiter = self._own_limiters[query.replica] = RateLimiter(requests_per_s, now + first_s)
        limiter.set_rate(requests_per_s, now)
        return limiter.take(now, query.max_wait_s, query.background)

    def _latest_rate(self, query: PermitQuery, now: float) -> float:
        """Return the replica's most recent limit, of those that queries have stated."""
        advertised_at, requests_per_s = self._advertised.get(query.replica, (float("-inf"), 0.0))
        if now - query.age_s >= advertised_at:
            advertised_at, requests_per_s = now - query.age_s, query.requests_per_s
            if len(self._advertised) >= MAX_RATE_LIMITERS:
                self._advertised.clear()
            self._advertised[query.replica] = (advertised_at, requests_per_s)
        return requests_per_s

    def _hears(self, name: str, now: float) -> bool:
        return now - self._heard_at(name) <= PEER_SILENCE_TIMEOUT_S


def _without_expired(seen: dict[_Key, float], now: float) -> dict[_Key, float]:
    return {key: at for key, at in seen.items() if now - at <= ROSTER_RETENTION_S}


def _make_room(limiters: dict[str, RateLimiter]) -> None:
    if len(limiters) >= MAX_RATE_LIMITERS:
        del limiters[min(limiters, key=lambda replica: limiters[replica].free_at)]
