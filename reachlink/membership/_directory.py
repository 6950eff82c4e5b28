"""Which upstream instances exist and may get new work; pure.

An instance that leaves is noticed from whatever says so first: the platform's
list, its load report, or its refusal. The platform's list lags, so its ``live``
does not take back what was heard since.
"""

from collections.abc import Callable, Iterable, KeysView, Mapping, Set
from dataclasses import dataclass
from enum import Enum
from random import Random

from reachlink.membership._platform import InstanceState, ListedInstance
from reachlink.pacing import PacingTracker
from reachlink.upstreams import Replica

# How long a mark as leaving counts that no list confirms, in seconds: after that it
# was a mistake, or its instance has come back.
UNCONFIRMED_MARK_S = 30.0
# How long an instance is remembered that no list has any more, in seconds.
GONE_KEPT_S = 60.0
# How long an instance that another reader has found counts as listed though the
# list read here lacks it, in seconds: that list may have been asked for before.
HEARD_KEPT_S = 1.0
# How long the instances of a zone that is taken back into service count as cold whatever
# the list says, in seconds: it trails by 0.8 s, and each of many readers asks for it each
# 3 s, so that what turned cold just before is known to all by then.
COLD_ASSUMED_S = 4.0


class LeavingSource(Enum):
    """What told that an instance is leaving."""

    LIST = "platform list"
    REPORT = "load report"
    REFUSAL = "refusal"
    ANSWER = "its own word in any answer"
    CLOSING = "closing connections"
    REPLACED = "another one at its address"


_OWN_WORD = frozenset({LeavingSource.REFUSAL, LeavingSource.ANSWER})
# What no other sign makes firmer.
_FIRM = frozenset({LeavingSource.ANSWER, LeavingSource.REPLACED})


@dataclass(slots=True)
class _Entry:
    """What is known of one instance; times are monotonic, in seconds.

    Attributes
    ----------
    replica : Replica
        Name, upstream, zone and address.
    listed : InstanceState
        Its state in the last list that had it.
    marked : LeavingSource, optional
        What told that it leaves, other than a list read here.
    marked_at : float
        When it was marked.
    gone : bool
        Whether the last list lacked it.
    gone_at : float
        When a list lacked it first.
    heard_at : float
        When another reader's finding made it known.
    noticed_at : float
        When it was last found to leave, from whatever source.
    cold_until : float
        Until when it is cold, as the lists have said so far.
    born : int
        When it started last, in Unix milliseconds by its own clock; 0 for unknown.
    """

    replica: Replica
    listed: InstanceState
    marked: LeavingSource | None = None
    marked_at: float = 0.0
    gone: bool = False
    gone_at: float = 0.0
    heard_at: float = float("-inf")
    noticed_at: float = float("-inf")
    cold_until: float = float("-inf")
    born: int = 0


class ReplicaDirectory:
    """All known upstream instances.

    Parameters
    ----------
    routes : mapping of str to str, optional
        Addresses to use in place of listed ones.
    unconfirmed_mark_s : float
        How long a mark that no list confirms counts, in seconds.
    pacing : PacingTracker, optional
        What the instances ask of who sends to them; is told of those that start again.
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
        # The instance that an address was given to last.
        self._names_at: dict[str, str] = {}
        # Live replicas by upstream, kept between changes: they are asked for with
        # every decision and change a few times an hour.
        self._live: dict[str, list[Replica]] = {}
        self._out_of_service: frozenset[str] = frozenset()
        self._on_started_again: Callable[[str], None] = lambda name: None
        # When zones were taken back into service.
        self._back_at: dict[str, float] = {}
        self._is_whole = False

    @property
    def is_whole(self) -> bool:
        """Whether a whole list was taken once: before, what is missing may be there."""
        return self._is_whole

    @property
    def out_of_service(self) -> frozenset[str]:
        """Availability zones whose instances get nothing more, by an operator's order."""
        return self._out_of_service

    def take_out_of_service(self, zones: Set[str], now: float) -> None:
        """Take the availability zones that are out of service from now on."""
        self._back_at.update(dict.fromkeys(self._out_of_service - zones, now))
        self._out_of_service = frozenset(zones)
        self._live.clear()

    def update(self, listed: Iterable[ListedInstance], now: float) -> list[ListedInstance]:
        """Take a new copy of the platform's list; return what is new in it.

        Returns
        -------
        list of ListedInstance
            Instances that were not known before, and those that leave or are cold by now.
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

    def hear(self, listed: Iterable[ListedInstance], now: float) -> None:
        """Take what another reader of the list has found new.

        Its copy may be older than the one here: it makes instances known and
        says that they leave, but takes nothing back.
        """
        for instance in listed:
            entry = self._entries.get(instance.name)
            if entry is None:
                self._update_one(instance, now)
                self._entries[instance.name].heard_at = now
                self._live.clear()
                continue
            _note_cold(entry, instance.cold_s, now)
            if instance.state is InstanceState.LEAVING:
                self.mark_leaving(instance.name, LeavingSource.LIST, now)

    def know(self, name: str, upstream: str, zone: str, address: str) -> Replica:
        """Return an instance that another reader of the list has named, noting it if new."""
        entry = self._entries.get(name)
        if entry is None:
            listed = ListedInstance(name, upstream, zone, address)
            self._update_one(listed, 0.0)
            entry = self._entries[name]
            self._live.clear()
        return entry.replica

    def mark_leaving(self, name: str, source: LeavingSource, now: float) -> bool:
        """Note that an instance is leaving; return whether that is news."""
        entry = self._entries.get(name)
        if entry is None:
            return False
        if entry.marked is not None:
            if source in _OWN_WORD and entry.marked not in _FIRM:
                # What was a guess so far is its own word from now on.
                entry.marked = source
            return False
        entry.marked, entry.marked_at = source, now
        entry.noticed_at = now
        self._live.clear()
        return True

    def mark_gone(self, name: str, now: float) -> bool:
        """Note that another instance has an instance's address; return whether that is news.

        No list takes it back by itself: one that lags has the name for some seconds. Only
        a new start under the name does, or a list that has it again after one that had not.
        """
        entry = self._entries.get(name)
        if entry is None or entry.marked is LeavingSource.REPLACED:
            return False
        entry.marked, entry.marked_at = LeavingSource.REPLACED, now
        entry.noticed_at = now
        self._live.clear()
        return True

    def note_born(self, name: str, born: int, now: float) -> bool:
        """Take when an instance says that it started; return whether it has started again.

        Parameters
        ----------
        name : str
            The instance.
        born : int
            Unix milliseconds by its own clock; 0 for unknown.
        now : float
            Monotonic time in seconds.
        """
        entry = self._entries.get(name)
        if entry is None or born <= entry.born:
            return False
        started_again = entry.born > 0
        entry.born = born
        if started_again:
            # What said that it leaves, or is replaced, was said of its life before.
            entry.marked = None
            entry.noticed_at = float("-inf")
            entry.listed = InstanceState.LIVE
            self._live.clear()
            self._pacing.on_restart(entry.replica.address, now)
            self._on_started_again(name)
        return started_again

    def born(self, name: str) -> int:
        """Return when an instance started last, in Unix milliseconds; 0 for unknown."""
        entry = self._entries.get(name)
        return entry.born if entry is not None else 0

    def on_started_again(self, listener: Callable[[str], None]) -> None:
        """Have something called with the name of each instance that has started again."""
        self._on_started_again = listener

    def leaving(self, upstream: str, since: float) -> list[str]:
        """Return the instances of an upstream that were found to leave since then.

        Parameters
        ----------
        upstream : str
            The upstream.
        since : float
            Monotonic time in seconds.
        """
        return [
            name
            for name, entry in self._entries.items()
            if entry.replica.upstream == upstream and entry.noticed_at >= since
        ]

    def may_get_work(self, name: str) -> bool:
        """Return whether an instance may get new work, to be asked at dispatch."""
        entry = self._entries.get(name)
        return entry is not None and _stays(entry) and self._in_service(entry.replica)

    def stays(self, name: str) -> bool:
        """Return whether an instance is there and not known to leave.

        Work that runs there may go on, also where its zone is out of service.
        """
        entry = self._entries.get(name)
        return entry is not None and _stays(entry)

    def cold_s(self, name: str, now: float) -> float:
        """Return how long an instance is still cold, in seconds; 0 for a warm one."""
        entry = self._entries.get(name)
        if entry is None:
            return 0.0
        back_at = self._back_at.get(entry.replica.availability_zone, float("-inf"))
        return max(0.0, entry.cold_until - now, back_at + COLD_ASSUMED_S - now)

    def note_cold(self, name: str, cold_s: float, now: float) -> bool:
        """Note that an instance is cold for some seconds; return whether that is news."""
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
        """Return the instances of an upstream that do not leave, in service or not."""
        return [
            entry.replica
            for entry in self._entries.values()
            if entry.replica.upstream == upstream and _stays(entry)
        ]

    def name_at(self, address: str) -> str:
        """Return the instance that has an address, as far as is known; empty for none."""
        return self._names_at.get(address, "")

    def find(self, name: str) -> Replica | None:
        """Return an instance by name, leaving or not."""
        entry = self._entries.get(name)
        return entry.replica if entry else None

    @property
    def names(self) -> KeysView[str]:
        """Names of all instances that are remembered, also those gone for a while."""
        return self._entries.keys()

    def all(self) -> list[Replica]:
        """Return every instance that the platform's latest list has."""
        return [entry.replica for entry in self._entries.values() if not entry.gone]

    def _in_service(self, replica: Replica) -> bool:
        return replica.availability_zone not in self._out_of_service

    def _update_one(self, instance: ListedInstance, now: float) -> bool:
        """Take one line of the list; return whether it is news to the other instances."""
        address = self._routes.get(instance.address, instance.address)
        replica = Replica(instance.name, instance.upstream, instance.availability_zone, address)
        entry = self._entries.get(instance.name)
        if entry is None:
            entry = self._entries[instance.name] = _Entry(replica, instance.state)
            self._names_at[address] = instance.name
            entry.born = instance.born
            # What the address asked for before was asked for by another one.
            self._pacing.on_address_reused(address)
            _note_cold(entry, instance.cold_s, now)
            return True
        if 0 < instance.born < entry.born:
            # Told of its life before, by a list or an instance that is behind.
            return False
        self.note_born(instance.name, instance.born, now)
        turned_cold = _note_cold(entry, instance.cold_s, now)
        came_back = _came_back(entry)
        unconfirmed = entry.marked is not None and now - entry.marked_at > self._unconfirmed_mark_s
        taken_back = (came_back or unconfirmed) and not _marked_for_good(entry)
        if instance.state is InstanceState.LIVE and taken_back:
            entry.marked = None
        left = instance.state is InstanceState.LEAVING and entry.listed is InstanceState.LIVE
        if left and entry.marked is None:
            entry.noticed_at = now
        entry.replica = replica
        entry.listed = instance.state
        return left or turned_cold

    def _note_absence(self, name: str, entry: _Entry, gone: bool, now: float) -> None:
        """Take whether the list lacks an instance; forget it after a while."""
        if gone and now - entry.heard_at < HEARD_KEPT_S:
            return
        if gone and not entry.gone:
            entry.gone_at = now
        entry.gone = gone
        if gone and now - entry.gone_at > GONE_KEPT_S:
            del self._entries[name]


def _stays(entry: _Entry) -> bool:
    return entry.listed is InstanceState.LIVE and entry.marked is None and not entry.gone


def _came_back(entry: _Entry) -> bool:
    """Return whether the last list had an instance leave, or had it not."""
    return entry.gone or entry.listed is InstanceState.LEAVING


def _marked_for_good(entry: _Entry) -> bool:
    """Return whether only a new start takes back that an instance leaves.

    Where it does not say when it started, a list that has it again after one that had it
    leave, or had it not, tells of a new start. A mark by its own word must not end before,
    as one by a closing connection does: it would get new requests in the life in which it
    has said that it leaves (test_replicas_in_backoff).
    """
    if entry.marked is LeavingSource.REFUSAL:
        # Names of who refuses so are kept over starts: without their times nobody can tell.
        return entry.born > 0
    if entry.marked is LeavingSource.ANSWER:
        return entry.born > 0 or not _came_back(entry)
    return entry.marked is LeavingSource.REPLACED and not entry.gone


def _note_cold(entry: _Entry, cold_s: float, now: float) -> bool:
    """Note how long an instance is cold; return whether it was taken for warm before."""
    was_cold = entry.cold_until > now
    # Never sooner than a list before said: one that trails may not know of it yet.
    if cold_s > 0.0:
        entry.cold_until = max(entry.cold_until, now + cold_s)
    return entry.cold_until > now and not was_cold
