"""Which coordinator an instance follows; pure."""

import hashlib
from collections.abc import Iterable, Set

from reachlink.membership import InstanceRecord
from reachlink.pacing import rendezvous_order

# How long a coordinator that did not answer is left aside, in seconds: half of
# what the roster takes to drop one that is gone.
RETRY_AFTER_SILENCE_S = 2.0


class CoordinatorSelector:
    """Chooses among the coordinators, the same one as long as it answers.

    Parameters
    ----------
    name, zone : str
        This instance, and its availability zone.

    Examples
    --------
    >>> selector = CoordinatorSelector("e9", "a")
    >>> near = InstanceRecord("e1", "10.0.0.1:7201", "a")
    >>> far = InstanceRecord("e2", "10.0.1.1:7201", "b")
    >>> selector.set_coordinators([far, near])
    >>> selector.is_member, [c.name for c in selector.by_preference(0.0)]
    (True, ['e1', 'e2'])
    >>> selector.mark_silent("e1", 0.0)
    >>> [c.name for c in selector.by_preference(0.5)]
    ['e2', 'e1']
    """

    def __init__(self, name: str, zone: str) -> None:
        self._name = name
        self._zone = zone
        self._coordinators: list[InstanceRecord] = []
        self._avoided_until: dict[str, float] = {}

    @property
    def coordinators(self) -> list[InstanceRecord]:
        """All coordinators, this instance included if it is one."""
        return self._coordinators

    @property
    def is_member(self) -> bool:
        """Whether this instance follows a coordinator, being none itself."""
        names = {record.name for record in self._coordinators}
        return bool(names) and self._name not in names

    def set_coordinators(self, coordinators: Iterable[InstanceRecord]) -> None:
        """Take the coordinators that there are, in order of preference from now on.

        Those of this zone go first; among equals the order differs by member, so
        that members spread over them.
        """
        self._coordinators = sorted(coordinators, key=self._preference, reverse=True)
        names = {record.name for record in self._coordinators}
        self._avoided_until = {n: t for n, t in self._avoided_until.items() if n in names}

    def by_preference(self, now: float) -> list[InstanceRecord]:
        """Return the coordinators, those that answer first, in order of preference."""
        return sorted(self._coordinators, key=lambda c: self._avoided_until.get(c.name, 0.0) > now)

    def owners(self, service: str, now: float) -> list[InstanceRecord]:
        """Return who keeps the line of a service in this zone, and who takes over from whom.

        All instances of a zone name the same one, unless it does not answer them.
        """
        near = [c for c in self._coordinators if c.availability_zone == self._zone]
        return self._by_rank(near or self._coordinators, service, now)

    def owners_over_zones(
        self, service: str, now: float, silent_zones: Set[str]
    ) -> list[InstanceRecord]:
        """Return who keeps the one line of all zones in reach, then who does in this one.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Monotonic time in seconds.
        silent_zones : set of str
            Zones that this one seems to be cut off from.
        """
        reached = [c for c in self._coordinators if c.availability_zone not in silent_zones]
        first = self._by_rank(reached, service, now)[:1]
        return first + [c for c in self.owners(service, now) if c not in first]

    def _by_rank(
        self, coordinators: Iterable[InstanceRecord], service: str, now: float
    ) -> list[InstanceRecord]:
        records = {record.name: record for record in coordinators}
        found = [records[name] for name in rendezvous_order(records, service)]
        return sorted(found, key=lambda c: self._avoided_until.get(c.name, 0.0) > now)

    def mark_silent(self, coordinator: str, now: float) -> None:
        """Note that a coordinator did not answer."""
        self._avoided_until[coordinator] = now + RETRY_AFTER_SILENCE_S

    def _preference(self, record: InstanceRecord) -> tuple[bool, bytes]:
        key = f"{self._name} {record.name}".encode()
        digest = hashlib.blake2b(key, digest_size=8).digest()
        return record.availability_zone == self._zone, digest
