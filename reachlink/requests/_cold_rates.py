"""Rate limit for requests of this instance to a cold replica.

A cold replica sustains a certain rate of requests from all instances together and fails
at rates well above it. The instances that choose replicas divide this rate in advance, so
that the total limit holds while some of them are partitioned, are starting, or have not
heard of each other:

- The coordinators split `COORDINATED_PART` of the rate exactly. The remainder goes to
  those with the lowest hashes of instance and replica name.
- An instance that chooses replicas without being a coordinator gets its expected part of
  `ALONE_PART`, or of `COORDINATED_PART` if there is no coordinator to ask. The part is
  rounded to an integer pseudorandomly by a hash of both names; most instances get none.

Three sides of a network partition that don't know of each other send at most
3 x 0.4 + 0.2 = 1.4 of the rate, below the 1.5 that deployments allow.

This module does no input or output.
"""

import hashlib
from collections import deque
from dataclasses import dataclass

# Fractions of the rate that a cold replica sustains; see the module docstring.
COORDINATED_PART = 0.4
ALONE_PART = 0.2
# Length of the sliding window in which requests are counted, in seconds: the second to which
# the limit applies, plus the amount by which network delays can move two requests closer
# together.
WINDOW_S = 1.2
_HASH_BYTES = 8


@dataclass(slots=True, frozen=True)
class Deciders:
    """The instances that choose replicas.

    Attributes
    ----------
    name : str
        Name of this instance.
    coordinators : tuple of str
        Names of the instances that coordinate placement; empty if unknown.
    instances : int
        Number of entry instances.
    """

    name: str
    coordinators: tuple[str, ...] = ()
    instances: int = 1

    @property
    def coordinates(self) -> bool:
        """Whether this instance is one of the coordinators."""
        return self.name in self.coordinators

    @property
    def all_coordinate(self) -> bool:
        """Whether every instance is a coordinator."""
        return self.coordinates and len(self.coordinators) >= self.instances


def share_of(replica: str, bears_per_s: float, deciders: Deciders, asked: bool) -> int:
    """Return the number of requests that this instance may send to a cold replica per window.

    Parameters
    ----------
    replica : str
        Name of the replica.
    bears_per_s : float
        Rate that the replica sustains, in requests per second of all instances together.
    deciders : Deciders
        Instances that choose replicas.
    asked : bool
        Whether coordinators choose the replicas of its service.

    Returns
    -------
    int
        Maximum number of requests in `WINDOW_S`.
    """
    if deciders.all_coordinate or (asked and deciders.coordinates):
        return _exact_share(replica, int(bears_per_s * COORDINATED_PART), deciders)
    part = ALONE_PART if asked and deciders.coordinators else COORDINATED_PART
    return _drawn_share(replica, bears_per_s * part, deciders)


def _exact_share(replica: str, total: int, deciders: Deciders) -> int:
    """Return this coordinator's part of a total that the coordinators split exactly."""
    each, rest = divmod(total, len(deciders.coordinators))
    own = _hash(deciders.name, replica)
    before = sum(_hash(name, replica) < own for name in deciders.coordinators)
    return each + (before < rest)


def _drawn_share(replica: str, total: float, deciders: Deciders) -> int:
    """Return this instance's expected part of a total, rounded pseudorandomly.

    The hash of both names decides the rounding, so that no communication is needed.
    """
    each, rest = divmod(total / max(1, deciders.instances), 1.0)
    return int(each) + (_hash(deciders.name, replica) < rest * 256**_HASH_BYTES)


def _hash(instance: str, replica: str) -> int:
    digest = hashlib.blake2b(f"{instance} {replica}".encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest())


class ColdRates:
    """Counts the requests that this instance sends to cold replicas in a sliding window."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[float]] = {}

    def may_send(self, replica: str, share: int, now: float) -> bool:
        """Return whether one more request may be sent to a cold replica at a monotonic time."""
        return len(self._recent(replica, now)) < share

    def note_sent(self, replica: str, now: float) -> None:
        """Count a request that is sent to a cold replica."""
        for name in list(self._sent):
            self._recent(name, now)
        self._sent.setdefault(replica, deque()).append(now)

    def _recent(self, replica: str, now: float) -> deque[float]:
        """Return the times of the requests in the window; drop a replica without any."""
        sent = self._sent.get(replica, deque())
        while sent and now - sent[0] > WINDOW_S:
            sent.popleft()
        if not sent:
            self._sent.pop(replica, None)
        return sent
