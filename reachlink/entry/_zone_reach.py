"""Which zones this instance takes for cut off, as a coordinator says or as is heard here."""

from collections.abc import Callable, Set
from typing import Any

from reachlink.coordination import CoordinatorSelector, Member
from reachlink.entry._isolation import Isolation, Reach
from reachlink.kernel import steady_time
from reachlink.telemetry import get_logger


class ZoneReach:
    """Keeps what is known of the zones in reach, and logs each change.

    Parameters
    ----------
    zone : str
        This instance's availability zone.
    selector : CoordinatorSelector
        Knows whether this instance follows a coordinator.
    member : Member
        Knows what that coordinator says.
    isolation : Isolation
        Judges by what is heard here.
    on_change : callable
        Called where that judgement has changed.
    """

    def __init__(
        self,
        zone: str,
        selector: CoordinatorSelector,
        member: Member,
        isolation: Isolation,
        on_change: Callable[[], None],
    ) -> None:
        self._zone = zone
        self._selector = selector
        self._member = member
        self._isolation = isolation
        self._on_change = on_change
        self._was_cut_off = False
        self._silent_zones: Set[str] = frozenset()
        # As judged here last.
        self._reach = Reach()
        self._log: Any = get_logger()

    def cut_off(self) -> bool:
        """Return whether this instance's zone is cut off from the others."""
        found = self.reach().cut_off
        if found != self._was_cut_off:
            self._was_cut_off = found
            self._log.info("zone_cut_off" if found else "zone_rejoined", zone=self._zone)
        return found

    def silent_zones(self) -> Set[str]:
        """Return the zones that this instance seems to be cut off from."""
        found = self.reach().silent_zones
        if found != self._silent_zones:
            self._silent_zones = found
            self._log.info("zones_silent", zones=",".join(sorted(found)))
        return found

    def reach(self) -> Reach:
        """Return which zones can be reached, as a coordinator says or as is heard here."""
        snapshot = self._member.coordinator_snapshot if self._selector.is_member else None
        if snapshot is not None:
            return Reach(frozenset(snapshot.silent_zones), snapshot.cut_off)
        found = self._isolation.reach(steady_time())
        if found != self._reach:
            # With the usual wait members would learn of a cut too late, and send requests
            # into it meanwhile.
            self._reach = found
            self._on_change()
        return found
