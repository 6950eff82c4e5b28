"""Rate limit for requests of this instance to a cold replica.

A cold replica sustains a certain rate of requests from all instances together and fails
at rates well above it. The instances that choose replicas divide this rate in advance, so
that the total limit holds while some of them are partitioned, are starting, or have not
heard of each other:

- The coordinators split `COORDINATORS_FRACTION` of the rate exactly. The remainder goes to
  those with the lowest hashes of instance and replica name.
- An instance that chooses replicas without being a coordinator gets its expected part of
  `UNCOORDINATED_FRACTION`, or of `COORDINATORS_FRACTION` if there is no coordinator to ask.
  The part is rounded to an integer pseudorandomly by a hash of both names; most instances
  get none.

Three sides of a network partition that don't know of each other send at most
3 x 0.4 + 0.2 = 1.4 of the rate, below the 1.5 that deployments allow.

This module does no input or output.
"""

import hashlib
from collections import deque
from dataclasses import dataclass

# Fractions of the rate that a cold replica sustains; see the module docstring.
COORDINATORS_FRACTION = 0.4
UNCOORDINATED_FRACTION = 0.2
# Length of the sliding window in which requests are counted, in seconds: the second to which
# the limit applies, plus the amount by which network delays can move two requests closer
# together.
WINDOW_S = 1.2
_HASH_BYTES = 8


@dataclass(slots=True, frozen=True)
class PlacementDeciders:
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
    def is_coordinator(self) -> bool:
        """Whether this instance is one of the coordinators."""
        return self.name in self.coordinators

    @property
    def all_are_coordinators(self) -> bool:
        """Whether every instance is a coordinator."""
        return self.is_coordinator and len(self.coordinators) >= self.instances


def request_quota(
    replica: str, sustained_per_s: float, deciders: PlacementDeciders, coordinated: bool
) -> int:
    """Return the number of requests that this instance may send to a cold replica per window.

    Parameters
    ----------
    replica : str
        Name of the replica.
    sustained_per_s : float
        Rate that the replica sustains, in requests per second of all instances together.
    deciders : PlacementDeciders
        Instances that choose replicas.
    coordinated : bool
        Whether coordinators choose the replicas of its service.

    Returns
    -------
    int
        Maximum number of requests in `WINDOW_S`.
    """
    if deciders.all_are_coordinators or (coordinated and deciders.is_coordinator):
        return _exact_quota(replica, int(sustained_per_s * COORDINATORS_FRACTION), deciders)
    fraction = (
        UNCOORDINATED_FRACTION if coordinated and deciders.coordinators else COORDINATORS_FRACTION
    )
    return _rounded_quota(replica, sustained_per_s * fraction, deciders)


def _exact_quota(replica: str, total: int, deciders: PlacementDeciders) -> int:
    """Return this coordinator's part of a total that the coordinators split exactly."""
    each, rest = divmod(total, len(deciders.coordinators))
    own = _hash(deciders.name, replica)
    before = sum(_hash(name, replica) < own for name in deciders.coordinators)
    return each + (before < rest)


def _rounded_quota(replica: str, total: float, deciders: PlacementDeciders) -> int:
    """Return this instance's expected part of a total, rounded pseudorandomly.

    The hash of both names decides the rounding, so that no communication is needed.
    """
    each, rest = divmod(total / max(1, deciders.instances), 1.0)
    return int(each) + (_hash(deciders.name, replica) < rest * 256**_HASH_BYTES)


def _hash(instance: str, replica: str) -> int:
    digest = hashlib.blake2b(f"{instance} {replica}".encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest())


class ColdRequestWindow:
    """Counts the requests that this instance sends to cold replicas in a sliding window."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[float]] = {}

    def may_send(self, replica: str, quota: int, now: float) -> bool:
        """Return whether one more request may be sent to a cold replica at a monotonic time."""
        return len(self._recent(replica, now)) < quota

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
