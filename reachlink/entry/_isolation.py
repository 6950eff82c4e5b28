"""Which availability zones this instance is cut off from; pure.

Entry instances tell each other their load (`_load_teller`). Where no instance of
another zone is heard and no replica there answers, the connection to that zone is
taken to be cut; where only some are silent, the fault is theirs. An instance that
is cut off from every other zone is in a zone that is cut off itself.
"""

from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass

from reachlink.membership import InstanceRecord
from reachlink.requests import PeerLoad

# How long all instances of a zone must be silent, and its replicas give no answer,
# in seconds: each instance tells something once a second at least.
SILENT_S = 1.6


@dataclass(slots=True, frozen=True)
class Reach:
    """Which zones can be reached from an instance.

    Attributes
    ----------
    silent_zones : frozenset of str
        Zones that it seems to be cut off from.
    cut_off : bool
        Whether these are all other zones that are known.
    """

    silent_zones: frozenset[str] = frozenset()
    cut_off: bool = False


@dataclass(slots=True, frozen=True)
class _Peer:
    """An instance of another zone, and since when it is known, in monotonic seconds."""

    zone: str
    since: float


class Isolation:
    """Judges by what the entry instances of other zones tell.

    Parameters
    ----------
    zone : str
        This instance's availability zone.
    peer_load : PeerLoad
        Knows when each instance was heard last.
    answered_at : callable
        Returns when a replica of a zone answered last, in monotonic seconds.
    """

    def __init__(
        self,
        zone: str,
        peer_load: PeerLoad,
        answered_at: Callable[[str], float] = lambda zone: float("-inf"),
    ) -> None:
        self._zone = zone
        self._peer_load = peer_load
        self._answered_at = answered_at
        self._peers: dict[str, _Peer] = {}

    def take_peers(self, peers: Iterable[InstanceRecord], now: float) -> None:
        """Take the instances that tell this one their load.

        Parameters
        ----------
        peers : iterable of InstanceRecord
            All of them, those of this zone included.
        now : float
            Monotonic time in seconds.
        """
        silent = self.silent_zones(now)
        # The roster may come from a control instance that is cut off as well and
        # forgets those that no longer ask it: zones would be taken for joined in the middle
        # of a cut. Only somebody that is heard ends one.
        kept = {name: peer for name, peer in self._peers.items() if peer.zone in silent}
        for peer in peers:
            if peer.availability_zone != self._zone:
                kept[peer.name] = self._peers.get(peer.name) or _Peer(peer.availability_zone, now)
        self._peers = kept

    def reach(self, now: float) -> Reach:
        """Return which zones are silent, and whether all others are, if there are some."""
        zones = {peer.zone for peer in self._peers.values()}
        silent = self.silent_zones(now)
        return Reach(frozenset(silent), bool(zones) and zones == silent)

    def cut_off(self, now: float) -> bool:
        """Return whether every other zone is silent, though there are some."""
        return self.reach(now).cut_off

    def silent_zones(self, now: float) -> Set[str]:
        """Return the zones of which no instance is heard and no replica answers.

        An instance that has lost only the control instances leaves the roster, so
        that the others stop telling it their load: one was seen to take its zone
        for cut off for 8 s that way, while replicas of other zones answered.
        """
        zones = {peer.zone for peer in self._peers.values()}
        heard = {peer.zone for name, peer in self._peers.items() if self._is_heard(name, peer, now)}
        return {z for z in zones - heard if now - self._answered_at(z) > SILENT_S}

    def _is_heard(self, name: str, peer: _Peer, now: float) -> bool:
        # One that is new has as long to be heard first as the others may be silent.
        return now - max(peer.since, self._peer_load.last_heard(name)) <= SILENT_S
