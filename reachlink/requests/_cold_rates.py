"""How many requests this instance may send to a replica that is cold; pure.

A cold replica bears some requests a second, those of all instances together, and falls
over at well above that. The instances that decide share that number beforehand, so that
it holds while some are cut off, start, or do not hear of each other:

- the coordinators split `COORDINATED_PART` of it exactly, the remainder going to those
  that a hash of both names puts first;
- an instance that decides though it is no coordinator takes its expected part of
  `ALONE_PART`, or of `COORDINATED_PART` where there is nobody to ask: most take none, and
  a hash of both names draws those that take one.

Three sides of a cut that know nothing of each other come to 3 x 0.4 + 0.2 = 1.4 of what
the replica bears, below the 1.5 that deployments allow.
"""

import hashlib
from collections import deque
from dataclasses import dataclass

# Parts of what a cold replica bears; see above.
COORDINATED_PART = 0.4
ALONE_PART = 0.2
# In which time these many requests are counted, in seconds: the second that the number
# is meant for, and by how much two requests can come closer to each other on their way.
WINDOW_S = 1.2
_HASH_BYTES = 8


@dataclass(slots=True, frozen=True)
class Deciders:
    """The instances that choose replicas.

    Attributes
    ----------
    name : str
        This instance.
    coordinators : tuple of str
        The instances that coordinate placement; empty where that is not known.
    instances : int
        How many entry instances there are.
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
        """Whether there is no instance besides the coordinators."""
        return self.coordinates and len(self.coordinators) >= self.instances


def share_of(replica: str, bears_per_s: float, deciders: Deciders, asked: bool) -> int:
    """Return how many requests this instance may send to a cold replica in `WINDOW_S`.

    Parameters
    ----------
    replica : str
        The replica.
    bears_per_s : float
        Requests a second that it bears, those of all instances together.
    deciders : Deciders
        Who chooses replicas.
    asked : bool
        Whether coordinators are asked about its service.
    """
    if deciders.all_coordinate or (asked and deciders.coordinates):
        return _exact_share(replica, int(bears_per_s * COORDINATED_PART), deciders)
    part = ALONE_PART if asked and deciders.coordinators else COORDINATED_PART
    return _drawn_share(replica, bears_per_s * part, deciders)


def _exact_share(replica: str, total: int, deciders: Deciders) -> int:
    """Return this coordinator's part of a number that all of them split."""
    each, rest = divmod(total, len(deciders.coordinators))
    own = _hash(deciders.name, replica)
    before = sum(_hash(name, replica) < own for name in deciders.coordinators)
    return each + (before < rest)


def _drawn_share(replica: str, total: float, deciders: Deciders) -> int:
    """Return this instance's part of a number, rounded by a draw that it alone knows."""
    each, rest = divmod(total / max(1, deciders.instances), 1.0)
    return int(each) + (_hash(deciders.name, replica) < rest * 256**_HASH_BYTES)


def _hash(instance: str, replica: str) -> int:
    digest = hashlib.blake2b(f"{instance} {replica}".encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest())


class ColdRates:
    """Counts what this instance sends to cold replicas."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[float]] = {}

    def may_send(self, replica: str, share: int, now: float) -> bool:
        """Return whether another request may go to a cold replica at a monotonic time."""
        return len(self._recent(replica, now)) < share

    def note_sent(self, replica: str, now: float) -> None:
        """Note that a request goes to a cold replica."""
        for name in list(self._sent):
            self._recent(name, now)
        self._sent.setdefault(replica, deque()).append(now)

    def _recent(self, replica: str, now: float) -> deque[float]:
        """Return when requests were sent within the window; forget a replica without any."""
        sent = self._sent.get(replica, deque())
        while sent and now - sent[0] > WINDOW_S:
            sent.popleft()
        if not sent:
            self._sent.pop(replica, None)
        return sent
