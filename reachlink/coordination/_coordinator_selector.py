"""Selection of the coordinator that an instance follows; does no I/O."""

import hashlib
from collections.abc import Iterable, Set

from reachlink.membership import InstanceRecord
from reachlink.pacing import rendezvous_order

# Time for which a coordinator that did not reply goes to the end of the order, in seconds: half
# of the time after which the roster drops an instance that is gone.
RETRY_AFTER_SILENCE_S = 2.0


class CoordinatorSelector:
    """Orders the coordinators by preference; the first stays the same while it replies.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of this instance.

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
        """All coordinators, including this instance if it is one."""
        return self._coordinators

    @property
    def is_member(self) -> bool:
        """Whether this instance is no coordinator and there is one to follow."""
        names = {record.name for record in self._coordinators}
        return bool(names) and self._name not in names

    def set_coordinators(self, coordinators: Iterable[InstanceRecord]) -> None:
        """Replace the list of coordinators.

        Coordinators in this zone are preferred. Among equals the order differs between
        members, so that members spread over the coordinators.
        """
        self._coordinators = sorted(coordinators, key=self._preference, reverse=True)
        names = {record.name for record in self._coordinators}
        self._avoided_until = {n: t for n, t in self._avoided_until.items() if n in names}

    def by_preference(self, now: float) -> list[InstanceRecord]:
        """Return the coordinators by preference, those that did not reply lately last."""
        return sorted(self._coordinators, key=lambda c: self._avoided_until.get(c.name, 0.0) > now)

    def owners(self, service: str, now: float) -> list[InstanceRecord]:
        """Return the owner of a service's queue in this zone, followed by its successors.

        All instances of a zone have the same owner first, except those to which it did not
        reply lately.
        """
        near = [c for c in self._coordinators if c.availability_zone == self._zone]
        return self._by_rank(near or self._coordinators, service, now)

    def owners_over_zones(
        self, service: str, now: float, silent_zones: Set[str]
    ) -> list[InstanceRecord]:
        """Return the owner of the queue of all reachable zones, then the owners in this zone.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Monotonic time in seconds.
        silent_zones : set of str
            Zones that this zone seems to be cut off from.
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
        """Record that a coordinator did not reply."""
        self._avoided_until[coordinator] = now + RETRY_AFTER_SILENCE_S

    def _preference(self, record: InstanceRecord) -> tuple[bool, bytes]:
        key = f"{self._name} {record.name}".encode()
        digest = hashlib.blake2b(key, digest_size=8).digest()
        return record.availability_zone == self._zone, digest
