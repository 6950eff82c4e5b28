"""Which entry instances exist, as the control instances learn it from those that watch; pure."""

from collections.abc import Iterable
from dataclasses import dataclass

from reachlink.membership._spreading import InstanceRecord

# An instance that no control instance has heard of for this long is left out,
# in seconds: instances ask again about once a second.
ABSENT_S = 4.0
# Up to this many instances exchange load with all others; above it, each does
# so with its neighbours in its own zone.
MAX_PEERS = 24


@dataclass(slots=True)
class _Heard:
    record: InstanceRecord
    at: float


class Roster:
    """The entry instances, by name.

    Examples
    --------
    >>> roster = Roster()
    >>> roster.note([InstanceRecord("e1", "10.0.0.1:7201", "a")], 0.0)
    >>> [r.name for r in roster.present(1.0)]
    ['e1']
    >>> roster.present(9.0)
    []
    """

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def note(self, records: Iterable[InstanceRecord], now: float) -> None:
        """Take instances that were heard of just now."""
        for record in records:
            self._heard[record.name] = _Heard(record, now)

    def present(self, now: float) -> list[InstanceRecord]:
        """Return the instances that exist, in order of name."""
        for name in [n for n, h in self._heard.items() if now - h.at > ABSENT_S]:
            del self._heard[name]
        return [self._heard[name].record for name in sorted(self._heard)]

    def peers_of(self, asker: InstanceRecord, now: float) -> list[InstanceRecord]:
        """Return the instances that an instance exchanges load with."""
        others = [r for r in self.present(now) if r.name != asker.name]
        if len(others) <= MAX_PEERS:
            return others
        near = [r for r in others if r.availability_zone == asker.availability_zone]
        # A ring by name, so that the choice is the same from both ends.
        after = [r for r in near if r.name > asker.name]
        ring = after + [r for r in near if r.name < asker.name]
        half = MAX_PEERS // 2
        return ring if len(ring) <= MAX_PEERS else ring[:half] + ring[-half:]
