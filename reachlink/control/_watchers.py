"""Which entry instances exist: those that watch here, and those that others tell of; pure."""

from collections.abc import Iterable
from dataclasses import dataclass

from reachlink.control._protocol import WatcherStatus, WatchRequest
from reachlink.membership import CoordinationLimits, InstanceRecord, Roster

# A watcher that has not asked for this long is left out of the status, in seconds.
WATCHER_FORGOTTEN_S = 60.0
# Watchers that asked within this many seconds are told of to other instances.
WATCHER_RECENT_S = 2.0


@dataclass(slots=True)
class _Watcher:
    revision: int
    seen_at: float
    record: InstanceRecord


class Watchers:
    """The entry instances that watch this control instance, and the roster of all.

    Parameters
    ----------
    limits : CoordinationLimits, optional
        How many entry instances coordinate placement.
    """

    def __init__(self, limits: CoordinationLimits | None = None) -> None:
        self._watchers: dict[str, _Watcher] = {}
        self._roster = Roster(limits)

    def note(self, request: WatchRequest, now: float) -> None:
        """Note that an instance asks for settings."""
        asker = InstanceRecord(request.instance, request.address, request.availability_zone)
        self._watchers[request.instance] = _Watcher(request.revision, now, asker)
        # Without an address, peers could not reach it: it stays out of the roster.
        if asker.address:
            self._roster.note([asker], now)

    def note_elsewhere(self, records: Iterable[InstanceRecord], now: float, teller: str) -> None:
        """Note the instances that watch another control instance, the teller."""
        self._roster.note(records, now, teller)

    def coordinators(self, now: float) -> list[InstanceRecord]:
        """Return the entry instances that coordinate placement."""
        return self._roster.coordinators(now)

    def count(self, now: float) -> int:
        """Return how many entry instances there are."""
        return self._roster.count(now)

    def recent(self, now: float) -> list[InstanceRecord]:
        """Return the instances that asked here lately and can be reached."""
        oldest = now - WATCHER_RECENT_S
        return [
            watcher.record
            for watcher in self._watchers.values()
            if watcher.record.address and watcher.seen_at > oldest
        ]

    def statuses(self, now: float) -> list[WatcherStatus]:
        """Return what is known of each watcher, in order of name, less those long silent."""
        for name, watcher in list(self._watchers.items()):
            if now - watcher.seen_at > WATCHER_FORGOTTEN_S:
                del self._watchers[name]
        return [
            WatcherStatus(name, watcher.revision, now - watcher.seen_at)
            for name, watcher in sorted(self._watchers.items())
        ]
