"""Directory of upstream instances that exist and may get new work; does no I/O.

The first sign that an instance is leaving counts: the platform's list, its load
report, a refusal, or another `LeavingSource`. The platform's list lags, so a ``live``
state in it does not override a sign that is newer than the list.
"""

from collections.abc import Callable, Iterable, KeysView, Mapping, Set
from dataclasses import dataclass
from enum import Enum
from random import Random

from reachlink.membership._platform import InstanceState, ListedInstance
from reachlink.pacing import PacingTracker
from reachlink.upstreams import Replica

# Time in seconds for which a leaving mark is valid without confirmation by the list. After
# that, the mark was wrong or the instance has come back.
UNCONFIRMED_MARK_S = 30.0
# Time in seconds for which an instance is remembered after it left the list.
ABSENT_RETENTION_S = 60.0
# Time in seconds for which an instance reported by a peer counts as listed although the
# list read here lacks it: that list may have been requested before the peer's.
PEER_REPORT_VALID_S = 1.0
# Time in seconds for which the instances of a zone that returns to service count as cold,
# whatever the list says. The list lags by 0.8 s and each of many readers polls it every
# 3 s, so after this time all readers know of instances that became cold just before.
COLD_ASSUMED_S = 4.0


class LeavingSource(Enum):
    """Source of the information that an instance is leaving."""

    LIST = "platform list"
    REPORT = "load report"
    REFUSAL = "refusal"
    ANSWER = "its own word in any answer"
    CLOSING = "closing connections"
    REPLACED = "another one at its address"


_EXPLICIT_SOURCES = frozenset({LeavingSource.REFUSAL, LeavingSource.ANSWER})
# Sources that are not replaced by a statement of the instance itself.
_FINAL_SOURCES = frozenset({LeavingSource.ANSWER, LeavingSource.REPLACED})


@dataclass(slots=True)
class _Entry:
    """State of one instance; times are monotonic, in seconds.

    Attributes
    ----------
    replica : Replica
        Name, upstream, zone and address.
    listed : InstanceState
        State in the last list that contained the instance.
    marked : LeavingSource, optional
        Source other than a list read here that reported the instance as leaving.
    marked_at : float
        Time at which ``marked`` was set.
    gone : bool
        Whether the last list lacked the instance.
    gone_at : float
        Time at which a list first lacked the instance.
    peer_reported_at : float
        Time at which a peer's report added the instance.
    noticed_at : float
        Time at which the instance was last found to be leaving, from any source.
    cold_until : float
        Latest end of the cold phase reported so far.
    born : int
        Last start time in Unix milliseconds by the instance's own clock; 0 if unknown.
    """

    replica: Replica
    listed: InstanceState
    marked: LeavingSource | None = None
    marked_at: float = 0.0
    gone: bool = False
    gone_at: float = 0.0
    peer_reported_at: float = float("-inf")
    noticed_at: float = float("-inf")
    cold_until: float = float("-inf")
    born: int = 0


class ReplicaDirectory:
    """All known upstream instances.

    Parameters
    ----------
    routes : mapping of str to str, optional
        Replacement addresses by listed address.
    unconfirmed_mark_s : float
        Time in seconds for which a leaving mark is valid without confirmation by the list.
    pacing : PacingTracker, optional
        Backoffs and rate limits requested by instances; is notified of restarts and of
        reused addresses.
    """

    def __init__(
        self,
        routes: Mapping[str, str] | None = None,
        unconfirmed_mark_s: float = UNCONFIRMED_MARK_S,
        pacing: PacingTracker | None = None,
    ) -> None:
        self._pacing = PacingTracker(Random()) if pacing is None else pacing
        self._unconfirmed_mark_s = unconfirmed_mark_s
        self._routes = dict(routes or {})
        self._entries: dict[str, _Entry] = {}
        # Name of the last instance at each address.
        self._names_at: dict[str, str] = {}
        # Cache of live replicas by upstream: read with every placement decision, changed
        # a few times an hour.
        self._live: dict[str, list[Replica]] = {}
        self._out_of_service: frozenset[str] = frozenset()
        self._on_started_again: Callable[[str], None] = lambda name: None
        # Time at which each zone returned to service.
        self._back_at: dict[str, float] = {}
        self._is_whole = False

    @property
    def is_whole(self) -> bool:
        """Whether a complete list was read; before that, a missing instance may exist."""
        return self._is_whole

    @property
    def out_of_service(self) -> frozenset[str]:
        """Availability zones that an operator took out of service: no new work is sent there."""
        return self._out_of_service

    def set_zones_out_of_service(self, zones: Set[str], now: float) -> None:
        """Set the availability zones that are out of service from now on."""
        self._back_at.update(dict.fromkeys(self._out_of_service - zones, now))
        self._out_of_service = frozenset(zones)
        self._live.clear()

    def update(self, listed: Iterable[ListedInstance], now: float) -> list[ListedInstance]:
        """Apply a new copy of the platform's list and return what is new in it.

        Returns
        -------
        list of ListedInstance
            Instances that were unknown before, have started to leave, or have become cold.
        """
        names: set[str] = set()
        news: list[ListedInstance] = []
        for instance in listed:
            names.add(instance.name)
            if self._update_one(instance, now):
                news.append(instance)
        for name, entry in list(self._entries.items()):
            self._note_absence(name, entry, name not in names, now)
        self._live.clear()
        self._is_whole = True
        return news

    def apply_peer_list(self, listed: Iterable[ListedInstance], now: float) -> None:
        """Apply what a peer found new in its copy of the list.

        The peer's copy may be older than the one here. It adds instances and marks
        instances as leaving or cold, but clears no mark.
        """
        for instance in listed:
            entry = self._entries.get(instance.name)
            if entry is None:
                self._update_one(instance, now)
                self._entries[instance.name].peer_reported_at = now
                self._live.clear()
                continue
            _note_cold(entry, instance.cold_s, now)
            if instance.state is InstanceState.LEAVING:
                self.mark_leaving(instance.name, LeavingSource.LIST, now)

    def get_or_add(self, name: str, upstream: str, zone: str, address: str) -> Replica:
        """Return an instance that a peer named; add it if it is unknown."""
        entry = self._entries.get(name)
        if entry is None:
            listed = ListedInstance(name, upstream, zone, address)
            self._update_one(listed, 0.0)
            entry = self._entries[name]
            self._live.clear()
        return entry.replica

    def mark_leaving(self, name: str, source: LeavingSource, now: float) -> bool:
        """Mark an instance as leaving; return whether it was not marked before."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        if entry.marked is not None:
            if source in _EXPLICIT_SOURCES and entry.marked not in _FINAL_SOURCES:
                # A statement of the instance itself replaces an inferred mark.
                entry.marked = source
            return False
        entry.marked, entry.marked_at = source, now
        entry.noticed_at = now
        self._live.clear()
        return True

    def mark_gone(self, name: str, now: float) -> bool:
        """Mark an instance as replaced at its address; return whether it was not marked before.

        A list that contains the name does not clear the mark, since a lagging list contains
        it for some seconds. The mark is cleared by a restart under the name, or by a list
        that contains the name after a list that lacked it.
        """
        entry = self._entries.get(name)
        if entry is None or entry.marked is LeavingSource.REPLACED:
            return False
        entry.marked, entry.marked_at = LeavingSource.REPLACED, now
        entry.noticed_at = now
        self._live.clear()
        return True

    def record_start(self, name: str, born: int, now: float) -> bool:
        """Record the start time of an instance; return whether the instance has restarted.

        Parameters
        ----------
        name : str
            Name of the instance.
        born : int
            Start time in Unix milliseconds by the instance's own clock; 0 if unknown.
        now : float
            Monotonic time in seconds.
        """
        entry = self._entries.get(name)
        if entry is None or born <= entry.born:
            return False
        started_again = entry.born > 0
        entry.born = born
        if started_again:
            # A mark as leaving or replaced referred to the process before the restart.
            entry.marked = None
            entry.noticed_at = float("-inf")
            entry.listed = InstanceState.LIVE
            self._live.clear()
            self._pacing.on_restart(entry.replica.address, now)
            self._on_started_again(name)
        return started_again

    def born(self, name: str) -> int:
        """Return the last start time of an instance in Unix milliseconds; 0 if unknown."""
        entry = self._entries.get(name)
        return entry.born if entry is not None else 0

    def set_restart_listener(self, listener: Callable[[str], None]) -> None:
        """Set the listener that is called with the name of each instance that restarts."""
        self._on_started_again = listener

    def leaving(self, upstream: str, since: float) -> list[str]:
        """Return the instances of an upstream that were found to be leaving since a time.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        since : float
            Earliest time of the finding; monotonic, in seconds.
        """
        return [
            name
            for name, entry in self._entries.items()
            if entry.replica.upstream == upstream and entry.noticed_at >= since
        ]

    def may_get_work(self, name: str) -> bool:
        """Return whether an instance may get new work; checked at dispatch."""
        entry = self._entries.get(name)
        return entry is not None and _stays(entry) and self._in_service(entry.replica)

    def stays(self, name: str) -> bool:
        """Return whether an instance exists and is not known to be leaving.

        Work that already runs there may continue, even if its zone is out of service.
        """
        entry = self._entries.get(name)
        return entry is not None and _stays(entry)

    def cold_s(self, name: str, now: float) -> float:
        """Return the remaining time in seconds for which an instance is cold; 0 if warm."""
        entry = self._entries.get(name)
        if entry is None:
            return 0.0
        back_at = self._back_at.get(entry.replica.availability_zone, float("-inf"))
        return max(0.0, entry.cold_until - now, back_at + COLD_ASSUMED_S - now)

    def note_cold(self, name: str, cold_s: float, now: float) -> bool:
        """Record that an instance is cold for some seconds; return whether it was warm before."""
        entry = self._entries.get(name)
        return entry is not None and _note_cold(entry, cold_s, now)

    def live(self, upstream: str) -> list[Replica]:
        """Return the instances of an upstream that may get new work."""
        found = self._live.get(upstream)
        if found is None:
            staying = self.staying(upstream)
            found = self._live[upstream] = [r for r in staying if self._in_service(r)]
        return found

    def staying(self, upstream: str) -> list[Replica]:
        """Return the instances of an upstream that are not leaving, in service or not."""
        return [
            entry.replica
            for entry in self._entries.values()
            if entry.replica.upstream == upstream and _stays(entry)
        ]

    def name_at(self, address: str) -> str:
        """Return the name of the last known instance at an address; empty if there is none."""
        return self._names_at.get(address, "")

    def service_at(self, address: str) -> list[str]:
        """Return the addresses of all live replicas of the upstream that one belongs to."""
        replica = self.find(self.name_at(address))
        return [one.address for one in self.live(replica.upstream)] if replica else []

    def find(self, name: str) -> Replica | None:
        """Return an instance by name, whether it is leaving or not."""
        entry = self._entries.get(name)
        return entry.replica if entry else None

    @property
    def names(self) -> KeysView[str]:
        """Names of all remembered instances, including those that left the list recently."""
        return self._entries.keys()

    def all(self) -> list[Replica]:
        """Return every instance in the platform's latest list."""
        return [entry.replica for entry in self._entries.values() if not entry.gone]

    def _in_service(self, replica: Replica) -> bool:
        return replica.availability_zone not in self._out_of_service

    def _update_one(self, instance: ListedInstance, now: float) -> bool:
        """Apply one entry of the list; return whether peers need to be told of it."""
        address = self._routes.get(instance.address, instance.address)
        replica = Replica(instance.name, instance.upstream, instance.availability_zone, address)
        entry = self._entries.get(instance.name)
        if entry is None:
            entry = self._entries[instance.name] = _Entry(replica, instance.state)
            self._names_at[address] = instance.name
            entry.born = instance.born
            # Backoffs and limits at this address were requested by another instance.
            self._pacing.on_address_reused(address)
            _note_cold(entry, instance.cold_s, now)
            return True
        if 0 < instance.born < entry.born:
            # Refers to the process before the restart: the list or the peer lags.
            return False
        self.record_start(instance.name, instance.born, now)
        turned_cold = _note_cold(entry, instance.cold_s, now)
        came_back = _came_back(entry)
        unconfirmed = entry.marked is not None and now - entry.marked_at > self._unconfirmed_mark_s
        taken_back = (came_back or unconfirmed) and not _mark_needs_restart(entry)
        if instance.state is InstanceState.LIVE and taken_back:
            entry.marked = None
        left = instance.state is InstanceState.LEAVING and entry.listed is InstanceState.LIVE
        if left and entry.marked is None:
            entry.noticed_at = now
        entry.replica = replica
        entry.listed = instance.state
        return left or turned_cold

    def _note_absence(self, name: str, entry: _Entry, gone: bool, now: float) -> None:
        """Record whether the list lacks an instance; forget one that is absent for long."""
        if gone and now - entry.peer_reported_at < PEER_REPORT_VALID_S:
            return
        if gone and not entry.gone:
            entry.gone_at = now
        entry.gone = gone
        if gone and now - entry.gone_at > ABSENT_RETENTION_S:
            del self._entries[name]


def _stays(entry: _Entry) -> bool:
    return entry.listed is InstanceState.LIVE and entry.marked is None and not entry.gone


def _came_back(entry: _Entry) -> bool:
    """Return whether the previous list showed an instance as leaving or lacked it."""
    return entry.gone or entry.listed is InstanceState.LEAVING


def _mark_needs_restart(entry: _Entry) -> bool:
    """Return whether only a restart clears the leaving mark of an instance.

    For an instance without a start time, a list that shows it as live again after a list
    that showed it as leaving or lacked it counts as a restart. A mark that the instance
    itself caused must not expire earlier, unlike a mark from a closing connection:
    otherwise a process that has announced its shutdown gets new requests
    (test_replicas_in_backoff).
    """
    if entry.marked is LeavingSource.REFUSAL:
        # Instances that refuse this way keep their names over restarts: without start times,
        # a restart cannot be detected.
        return entry.born > 0
    if entry.marked is LeavingSource.ANSWER:
        return entry.born > 0 or not _came_back(entry)
    return entry.marked is LeavingSource.REPLACED and not entry.gone


def _note_cold(entry: _Entry, cold_s: float, now: float) -> bool:
    """Record how long an instance is cold; return whether it was considered warm before."""
    was_cold = entry.cold_until > now
    # Never shortens the cold phase: a lagging list may not show it yet.
    if cold_s > 0.0:
        entry.cold_until = max(entry.cold_until, now + cold_s)
    return entry.cold_until > now and not was_cold
