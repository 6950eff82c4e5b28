"""What the instances that share the reading of the platform's list tell each other.

Each reads the list now and then (`_list_reader`) and tells the others what was
new in it, with its notes of load (`_load_teller`).
"""

from collections.abc import Callable, Iterable

from reachlink.coordination import to_listed_instances, to_listed_replica
from reachlink.kernel import steady_time
from reachlink.membership import ListedInstance, ReplicaDirectory
from reachlink.requests import ListedReplica

# How long a finding is told, in seconds: several notes carry it, so that one may
# be lost.
TOLD_S = 0.4


class ListNews:
    """Findings of this instance's readings, and those of the others.

    Parameters
    ----------
    directory : ReplicaDirectory
        Where findings of the others are noted.
    on_news : callable
        Called when there is something to tell.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        on_news: Callable[[], None],
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._directory = directory
        self._on_news = on_news
        self._clock = clock
        # With the monotonic time in seconds when each was found.
        self._found: list[tuple[float, ListedReplica]] = []

    def tell(self, found: Iterable[ListedInstance]) -> None:
        """Tell the others what a reading here has found."""
        items = [(self._clock(), to_listed_replica(instance)) for instance in found]
        if items:
            self._found.extend(items)
            self._on_news()

    def recent(self) -> list[ListedReplica]:
        """Return what is to be told now."""
        now = self._clock()
        self._found = [item for item in self._found if now - item[0] < TOLD_S]
        return [listed for _, listed in self._found]

    def take(self, listed: Iterable[ListedReplica]) -> None:
        """Take what another instance has found."""
        self._directory.apply_peer_list(to_listed_instances(listed), self._clock())
