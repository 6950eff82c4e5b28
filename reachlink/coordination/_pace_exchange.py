"""How the instances tell each other how fast replicas work."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from reachlink.kernel import steady_time
from reachlink.membership import ReplicaDirectory
from reachlink.scheduling import PaceSource, PaceTracker, PaceUpdate, make_pace_update

# Paces in one note at the most: some 60 B each.
MAX_NOTES = 16
# All is told again after this time, in seconds: a note may have been lost.
RESEND_INTERVAL_S = 30.0
# Who was told what is kept of so many: well above the members of one coordinator.
MAX_RECIPIENTS = 500

OWN_SOURCES = (PaceSource.REPORTED, PaceSource.MEASURED)
PEER_SOURCES = (*OWN_SOURCES, PaceSource.MEMBER)
ALL_SOURCES = (*PEER_SOURCES, PaceSource.COORDINATOR)
# The other coordinators, who all get the same note.
PEERS_KEY = ""


@dataclass(slots=True)
class _Recipient:
    """How much one recipient knows.

    Attributes
    ----------
    resend_started_at : float
        When all was begun to be told to it last, in monotonic seconds.
    sent_up_to : int
        Number of the last news that it was told.
    resent_up_to : int, optional
        The same of what it is told again; None where that is over.
    """

    resend_started_at: float
    sent_up_to: int = 0
    resent_up_to: int | None = None


class PaceExchange:
    """Tells what is news here, and takes what others tell.

    Members tell their coordinator what they observed, coordinators tell each other that
    and their own, and tell their members all. What has not changed is not told.

    Parameters
    ----------
    book : PaceTracker
        What this instance believes.
    directory : ReplicaDirectory
        The replicas, and when they started.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        book: PaceTracker,
        directory: ReplicaDirectory,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._book = book
        self._directory = directory
        self._clock = clock
        self._recipients: OrderedDict[str, _Recipient] = OrderedDict()

    def updates_for_coordinator(self, name: str) -> list[PaceUpdate]:
        """Return what this member tells the coordinator that it follows."""
        return self._notes(name, OWN_SOURCES)

    def updates_for_peers(self) -> list[PaceUpdate]:
        """Return what this coordinator tells the others."""
        return self._notes(PEERS_KEY, PEER_SOURCES)

    def updates_for_member(self, name: str, new: bool = False) -> list[PaceUpdate]:
        """Return what this coordinator tells a member, all of it to one that is new."""
        if new:
            self._recipients.pop(name, None)
        return self._notes(name, ALL_SOURCES)

    def apply_from_member(self, name: str, notes: Iterable[PaceUpdate]) -> None:
        """Take what a member tells."""
        self._apply(notes, PaceSource.MEMBER, name)

    def apply_from_coordinator(self, name: str, notes: Iterable[PaceUpdate]) -> None:
        """Take what a coordinator tells, its members or the others."""
        self._apply(notes, PaceSource.COORDINATOR, name)

    def _notes(self, recipient: str, sources: tuple[PaceSource, ...]) -> list[PaceUpdate]:
        now = self._clock()
        known = self._recipient(recipient, now)
        known.sent_up_to, replicas = self._book.changed_since(
            known.sent_up_to, sources, MAX_NOTES, excluded_sender=recipient
        )
        replicas += self._resent(known, sources, replicas, recipient)
        return [
            make_pace_update(name, self._book.observed(name, now), self._directory.born(name))
            for name in replicas
        ]

    def _resent(
        self, known: _Recipient, sources: tuple[PaceSource, ...], news: list[str], recipient: str
    ) -> list[str]:
        """Return what is told again beside news, which goes first."""
        room = MAX_NOTES - len(news)
        if known.resent_up_to is None or not room:
            return []
        known.resent_up_to, replicas = self._book.changed_since(
            known.resent_up_to, sources, room, excluded_sender=recipient
        )
        if known.resent_up_to >= known.sent_up_to:
            known.resent_up_to = None
        return [name for name in replicas if name not in news]

    def _recipient(self, name: str, now: float) -> _Recipient:
        found = self._recipients.get(name)
        if found is None:
            found = self._recipients[name] = _Recipient(now)
            if len(self._recipients) > MAX_RECIPIENTS:
                self._recipients.popitem(last=False)
        elif found.resent_up_to is None and now - found.resend_started_at >= RESEND_INTERVAL_S:
            # After what was told before is over: however long that took, it ends.
            found.resend_started_at, found.resent_up_to = now, 0
            self._recipients.move_to_end(name)
        return found

    def _apply(self, notes: Iterable[PaceUpdate], source: PaceSource, sender: str) -> None:
        now = self._clock()
        for note in notes:
            replica = self._directory.find(note.replica)
            if replica is None or not self._is_current_lifetime(note, now):
                continue
            self._book.record_peer(
                replica.upstream, note.replica, note.to_peer_pace(now), source, sender, now
            )

    def _is_current_lifetime(self, note: PaceUpdate, now: float) -> bool:
        """Return whether a note is of a replica's present lifetime, be it news that it is one."""
        if 0 < note.born < self._directory.born(note.replica):
            return False
        self._directory.note_born(note.replica, note.born, now)
        return True
