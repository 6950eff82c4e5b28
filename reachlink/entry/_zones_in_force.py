"""Puts operators' orders about availability zones in force at an entry instance."""

from collections.abc import Callable, Set
from typing import Any

from reachlink.kernel import steady_time
from reachlink.membership import ReplicaDirectory
from reachlink.requests import ReplicaTracker
from reachlink.settings import SettingsTree


class ZonesInForce:
    """Keeps new work from zones out of service, and tells when they are empty.

    Parameters
    ----------
    directory : ReplicaDirectory
        Says which replicas may get work.
    tracker : ReplicaTracker
        This instance's requests at replicas.
    log : object
        Logger of the process.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        tracker: ReplicaTracker,
        log: Any,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._directory = directory
        self._tracker = tracker
        self._log = log
        self._clock = clock
        # Zones out of service where requests of this instance still ran when last looked.
        self._running: Set[str] = frozenset()
        tracker.add_listener(self._note_empty)

    def take(self, tree: SettingsTree) -> None:
        """Send nothing more to zones out of service, from this very step on."""
        zones = tree.zones_out_of_service
        before = self._directory.out_of_service
        if zones == before:
            return
        self._directory.set_zones_out_of_service(zones, self._clock())
        self._log.info(
            "zones_out_of_service",
            zones=",".join(sorted(zones)),
            back=",".join(sorted(before - zones)),
            revision=tree.revision,
            running_there=sum(self._running_in(zone) for zone in zones),
        )
        self._running = (self._running & zones) | (zones - before)
        self._note_empty()

    def _note_empty(self) -> None:
        """Log the zones where the last request of this instance has ended."""
        empty = {zone for zone in self._running if not self._running_in(zone)}
        for zone in sorted(empty):
            self._log.info("zone_empty", zone=zone)
        self._running = self._running - empty

    def _running_in(self, zone: str) -> int:
        """Return how many requests of this instance run at replicas of a zone."""
        there = (r.name for r in self._directory.all() if r.availability_zone == zone)
        return sum(self._tracker.state(name).own_running for name in there)
