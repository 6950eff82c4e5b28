"""Choice of the peers through which a replica may be reached; pure."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random

# Time in seconds for which a peer that did not reach a replica, or did not answer, is asked last.
AVOIDANCE_S = 1.0
# Time in seconds for which a peer that has reached a replica is asked first.
PREFERENCE_S = 5.0
# Time in seconds after which a peer that was not heard is asked last. Peers send something once
# a second at least.
SILENCE_S = 1.6


@dataclass(slots=True, frozen=True)
class RelayPeer:
    """Another entry instance.

    Attributes
    ----------
    name, availability_zone : str
        Name and zone.
    address : str
        Address of its message bus, as ``host:port``.
    """

    name: str
    address: str
    availability_zone: str

    @property
    def host(self) -> str:
        """Host of its addresses."""
        return self.address.rpartition(":")[0]


class RelayPeers:
    """Orders the peers of an instance for reaching replicas.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    heard_at : callable
        Returns the monotonic time in seconds at which a peer was last heard.
    random : random.Random
        Spreads the load over equally good peers.
    zone_regions : mapping of str to str, optional
        Region of each availability zone. A request that is bound to regions may pass through no
        other one, so that only peers in the region of a replica are asked for it.

    Examples
    --------
    >>> peers = RelayPeers("a", lambda name: 0.0, Random(1))
    >>> peers.update([RelayPeer("e2", "10.0.0.2:1", "a"), RelayPeer("e3", "10.1.0.3:1", "b")])
    >>> [peer.name for peer in peers.by_preference("b", 0.0)]
    ['e3', 'e2']
    >>> peers.avoid("e3", 0.0)
    >>> [peer.name for peer in peers.by_preference("b", 0.0)]
    ['e2', 'e3']
    """

    def __init__(
        self,
        zone: str,
        heard_at: Callable[[str], float],
        random: Random,
        zone_regions: Mapping[str, str] | None = None,
    ) -> None:
        self._zone = zone
        self._zone_regions = zone_regions or {}
        self._heard_at = heard_at
        self._random = random
        self._peers: list[RelayPeer] = []
        self._avoided_until: dict[str, float] = {}
        self._preferred_until: dict[str, float] = {}

    def update(self, peers: Iterable[RelayPeer]) -> None:
        """Replace the list of peers."""
        self._peers = list(peers)
        names = {peer.name for peer in self._peers}
        self._avoided_until = {n: t for n, t in self._avoided_until.items() if n in names}
        self._preferred_until = {n: t for n, t in self._preferred_until.items() if n in names}

    def prefer(self, name: str, now: float) -> None:
        """Ask a peer first for some time, because it has reached a replica."""
        self._preferred_until[name] = now + PREFERENCE_S
        self._avoided_until.pop(name, None)

    def avoid(self, name: str, now: float) -> None:
        """Ask a peer last for some time, because it did not reach a replica."""
        self._avoided_until[name] = now + AVOIDANCE_S
        self._preferred_until.pop(name, None)

    def by_preference(self, target_zone: str, now: float) -> list[RelayPeer]:
        """Return the peers in the region of a replica's zone, the best first.

        A peer in the replica's zone or in this one adds no bytes between zones; the former
        reaches the replica over the shortest link.
        """
        region = self._zone_regions.get(target_zone)
        found = [p for p in self._peers if self._zone_regions.get(p.availability_zone) == region]
        peers = self._random.sample(found, len(found))
        return sorted(peers, key=lambda peer: self._rank(peer, target_zone, now))

    def _rank(self, peer: RelayPeer, target_zone: str, now: float) -> tuple[bool, bool, bool, int]:
        preferred = self._preferred_until.get(peer.name, now) > now
        avoided = self._avoided_until.get(peer.name, now) > now
        silent = now - self._heard_at(peer.name) > SILENCE_S
        near = (target_zone, self._zone)
        distance = near.index(peer.availability_zone) if peer.availability_zone in near else 2
        return not preferred, avoided, silent, distance
