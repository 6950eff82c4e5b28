"""Whether this instance's availability zone is cut off from the others; pure.

Entry instances tell each other their load (`_load_teller`). Where no instance of
any other zone is heard and no replica there answers, the connections between the
zones are taken to be cut; where only some are silent, the fault is theirs.
"""

from collections.abc import Callable, Iterable

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
    far_answer_at : callable
        Returns when a replica of another zone answered last, in monotonic seconds.
    """

    def __init__(
        self,
        zone: str,
        shared: SharedLoad,
        far_answer_at: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self._zone = zone
        self._shared = shared
        self._far_answer_at = far_answer_at
        # Instances of other zones, and since when each is known, in monotonic seconds.
        self._known_since: dict[str, float] = {}

    def take_peers(self, peers: Iterable[InstanceRecord], now: float) -> None:
        """Take the instances that tell this one their load.

        Parameters
        ----------
        peers : iterable of InstanceRecord
            All of them, those of this zone included.
        now : float
            Monotonic time in seconds.
        """
        far = [peer.name for peer in peers if peer.availability_zone != self._zone]
        self._known_since = {name: self._known_since.get(name, now) for name in far}

    def cut_off(self, now: float) -> bool:
        """Return whether nobody of another zone is heard, though there are some."""
        if not self._known_since:
            return False
        # One that is new has as long to be heard first as the others may be silent.
        silent = all(
            now - max(since, self._shared.last_heard(name)) > SILENT_S
            for name, since in self._known_since.items()
        )
        # An instance that has lost only the control instances leaves the roster, so
        # that the others stop telling it their load: one was seen to take its zone
        # for cut off for 8 s that way, while replicas of other zones answered.
        return silent and now - self._far_answer_at() > SILENT_S
