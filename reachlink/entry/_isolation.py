"""Whether this instance's availability zone is cut off from the others; pure."""

from collections.abc import Iterable

from reachlink.membership import InstanceRecord
from reachlink.requests import SharedLoad

# How long all instances of other zones must be silent, in seconds: each tells
# something once a second at least.
SILENT_S = 1.6


class Isolation:
    """Judges by what the entry instances of other zones tell.

    Parameters
    ----------
    zone : str
        This instance's availability zone.
    shared : SharedLoad
        Knows when each instance was heard last.
    """

    def __init__(self, zone: str, shared: SharedLoad) -> None:
        self._zone = zone
        self._shared = shared
        self._known_since: dict[str, float] = {}

    def take_peers(self, peers: Iterable[InstanceRecord], now: float) -> None:
        """Take the instances that tell this one their load."""
        far = [peer.name for peer in peers if peer.availability_zone != self._zone]
        self._known_since = {name: self._known_since.get(name, now) for name in far}

    def cut_off(self, now: float) -> bool:
        """Return whether no instance of another zone is heard, though there are some."""
        if not self._known_since:
            return False
        return all(
            now - max(since, self._shared.last_heard(name)) > SILENT_S
            for name, since in self._known_since.items()
        )
