"""Assigns each replica's rate limit to an owner instance and grants permits; pure.

All requests to a replica are counted at one instance, the owner: the instance whose hash with
the replica's name is the highest. During a network partition the instances together grant at
most one and a half times the limit, whatever the connectivity:

- a side with more than half of the instances grants the whole limit;
- any other side grants its share by number of instances; all such sides together grant less
  than half;
- an instance that reaches no owner grants itself its own share by number.
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
KNOWN_KEPT_S = 300.0
# Time in seconds after its start during which an instance grants only a small share of a limit,
# and that share. While all instances start at once, each may not know the others yet.
SETTLE_S = 2.0
UNSETTLED_SHARE = 0.1
# Maximum number of replicas whose permits are counted.
MAX_METERS = 2000


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


def rendezvous_order(names: Iterable[str], owned: str) -> list[str]:
    """Return the possible owners of a resource in order of precedence.

    Uses rendezvous hashing: one instance more or less changes the owner of few resources.

    Parameters
    ----------
    names : iterable of str
        Instances that may own the resource.
    owned : str
        Name of the resource: a replica, for its rate limit, or a service, for its queue.
    """
    return sorted(names, key=lambda name: _hash(name, owned), reverse=True)


def _hash(instance: str, owned: str) -> bytes:
    return hashlib.blake2b(f"{instance} {owned}".encode(), digest_size=8).digest()


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
        self._counts: dict[int, float] = {}
        self._since: float | None = None
        self._owned: dict[str, RateLimiter] = {}
        self._alone: dict[str, RateLimiter] = {}
        # Time of each replica's most recent limit and the limit in requests per second, for the
        # limits that this instance grants.
        self._advertised: dict[str, tuple[float, float]] = {}
        self._ranked: dict[str, list[str]] = {}

    def update_roster(self, owners: Iterable[str], instances: int, now: float) -> None:
        """Update the instances that may own limits, and the number of all instances."""
        names = sorted(owners)
        if names != self._owners:
            self._owners = names
            self._ranked.clear()
        if self._since is None and names:
            self._since = now
        self._known = _recent(self._known | dict.fromkeys(names, now), now)
        self._counts = _recent(self._counts | {instances: now}, now)

    def owners(self, replica: str) -> list[str]:
        """Return the instances that may own a replica's limit, in order of precedence."""
        found = self._ranked.get(replica)
        if found is None:
            if len(self._ranked) >= MAX_METERS:
                self._ranked.clear()
            found = self._ranked[replica] = rendezvous_order(self._owners, replica)
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
        if self._since is None or now - self._since < SETTLE_S:
            return UNSETTLED_SHARE
        heard = sum(name == self._name or self._hears(name, now) for name in self._known)
        return partition_share(heard, len(self._known))

    def grant(self, question: PermitQuery, now: float) -> float:
        """Return the wait in seconds for a permit, as owner of the limit.

        See `RateLimiter.take`.
        """
        requests_per_s = self._newest(question, now) * self.share(now)
        meter = self._owned.get(question.replica)
        if meter is None:
            _make_room(self._owned)
            meter = self._owned[question.replica] = RateLimiter(requests_per_s, now)
        meter.set_rate(requests_per_s, now)
        return meter.take(now, question.max_wait_s, question.background)

    def grant_without_owner(self, question: PermitQuery, now: float) -> float:
        """Return the wait in seconds for a permit for a request of this instance without an owner.

        Used while this instance reaches no owner of the limit; see `RateLimiter.take`.
        """
        requests_per_s = question.requests_per_s / max(1, len(self._known), *self._counts)
        meter = self._alone.get(question.replica)
        if meter is None:
            _make_room(self._alone)
            # If hundreds of instances lose the owner at the same moment, they must not all start
            # with a permit at once.
            first_s = self._random.random() / requests_per_s
            meter = self._alone[question.replica] = RateLimiter(requests_per_s, now + first_s)
        meter.set_rate(requests_per_s, now)
        return meter.take(now, question.max_wait_s, question.background)

    def _newest(self, question: PermitQuery, now: float) -> float:
        """Return the replica's most recent limit among those that any question reported."""
        advertised_at, requests_per_s = self._advertised.get(question.replica, (float("-inf"), 0.0))
        if now - question.age_s >= advertised_at:
            advertised_at, requests_per_s = now - question.age_s, question.requests_per_s
            if len(self._advertised) >= MAX_METERS:
                self._advertised.clear()
            self._advertised[question.replica] = (advertised_at, requests_per_s)
        return requests_per_s

    def _hears(self, name: str, now: float) -> bool:
        return now - self._heard_at(name) <= PEER_SILENCE_TIMEOUT_S


def _recent(seen: dict[_Key, float], now: float) -> dict[_Key, float]:
    return {key: at for key, at in seen.items() if now - at <= KNOWN_KEPT_S}


def _make_room(meters: dict[str, RateLimiter]) -> None:
    if len(meters) >= MAX_METERS:
        del meters[min(meters, key=lambda replica: meters[replica].free_at)]
