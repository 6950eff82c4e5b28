"""Exchange of the paces of replicas between the instances."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from reachlink.kernel import steady_time
from reachlink.membership import ReplicaDirectory
from reachlink.scheduling import PaceSource, PaceTracker, PaceUpdate, make_pace_update

# Most paces in one message, about 60 B each.
MAX_PACES_PER_UPDATE = 16
# Time after which all paces are sent again, in seconds, as a message may have been lost.
RESEND_INTERVAL_S = 30.0
# Most recipients whose progress is kept: well above the number of members of one coordinator.
MAX_RECIPIENTS = 500

OWN_SOURCES = (PaceSource.REPORTED, PaceSource.MEASURED)
PEER_SOURCES = (*OWN_SOURCES, PaceSource.MEMBER)
ALL_SOURCES = (*PEER_SOURCES, PaceSource.COORDINATOR)
# Key of the other coordinators as one recipient: all get the same message.
PEERS_KEY = ""


@dataclass(slots=True)
class _Recipient:
    """Progress of one recipient.

    Attributes
    ----------
    resend_started_at : float
        Monotonic time in seconds at which all paces were last started to be sent to it.
    sent_up_to : int
        Number of the latest change that was sent to it.
    resent_up_to : int, optional
        Number of the latest change that was sent to it again; None if no resend is in progress.
    """

    resend_started_at: float
    sent_up_to: int = 0
    resent_up_to: int | None = None


class PaceExchange:
    """Sends changes of paces to other instances, and applies the changes that they send.

    Members send their own estimates to their coordinator. Coordinators send these and their own
    to each other, and all estimates to their members. Only changes are sent.

    Parameters
    ----------
    book : PaceTracker
        Pace estimates of this instance.
    directory : ReplicaDirectory
        Replicas that exist, with their start times.
    clock : callable
        Returns the monotonic time in seconds.
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
        """Return the changes that this member sends to the coordinator that it follows."""
        return self._next_updates(name, OWN_SOURCES)

    def updates_for_peers(self) -> list[PaceUpdate]:
        """Return the changes that this coordinator sends to the other coordinators."""
        return self._next_updates(PEERS_KEY, PEER_SOURCES)

    def updates_for_member(self, name: str, new: bool = False) -> list[PaceUpdate]:
        """Return the changes that this coordinator sends to a member, or all paces if it is new."""
        if new:
            self._recipients.pop(name, None)
        return self._next_updates(name, ALL_SOURCES)

    def apply_from_member(self, name: str, updates: Iterable[PaceUpdate]) -> None:
        """Apply the paces that a member has sent."""
        self._apply(updates, PaceSource.MEMBER, name)

    def apply_from_coordinator(self, name: str, updates: Iterable[PaceUpdate]) -> None:
        """Apply the paces that a coordinator has sent to its members or the other coordinators."""
        self._apply(updates, PaceSource.COORDINATOR, name)

    def _next_updates(self, recipient: str, sources: tuple[PaceSource, ...]) -> list[PaceUpdate]:
        now = self._clock()
        progress = self._recipient(recipient, now)
        progress.sent_up_to, replicas = self._book.changed_since(
            progress.sent_up_to, sources, MAX_PACES_PER_UPDATE, excluded_sender=recipient
        )
        replicas += self._resent(progress, sources, replicas, recipient)
        return [
            make_pace_update(name, self._book.observed(name, now), self._directory.born(name))
            for name in replicas
        ]

    def _resent(
        self,
        progress: _Recipient,
        sources: tuple[PaceSource, ...],
        changed: list[str],
        recipient: str,
    ) -> list[str]:
        """Return the replicas whose paces are sent again; new changes go first."""
        remaining = MAX_PACES_PER_UPDATE - len(changed)
        if progress.resent_up_to is None or not remaining:
            return []
        progress.resent_up_to, replicas = self._book.changed_since(
            progress.resent_up_to, sources, remaining, excluded_sender=recipient
        )
        if progress.resent_up_to >= progress.sent_up_to:
            progress.resent_up_to = None
        return [name for name in replicas if name not in changed]

    def _recipient(self, name: str, now: float) -> _Recipient:
        found = self._recipients.get(name)
        if found is None:
            found = self._recipients[name] = _Recipient(now)
            if len(self._recipients) > MAX_RECIPIENTS:
                self._recipients.popitem(last=False)
        elif found.resent_up_to is None and now - found.resend_started_at >= RESEND_INTERVAL_S:
            # A resend only starts after the one before has ended, so that each one ends.
            found.resend_started_at, found.resent_up_to = now, 0
            self._recipients.move_to_end(name)
        return found

    def _apply(self, updates: Iterable[PaceUpdate], source: PaceSource, sender: str) -> None:
        now = self._clock()
        for update in updates:
            replica = self._directory.find(update.replica)
            if replica is None or not self._is_current_lifetime(update, now):
                continue
            self._book.record_peer(
                replica.upstream, update.replica, update.to_peer_pace(now), source, sender, now
            )

    def _is_current_lifetime(self, update: PaceUpdate, now: float) -> bool:
        """Return whether an update is about the current lifetime of a replica, noting a new one."""
        if 0 < update.born < self._directory.born(update.replica):
            return False
        self._directory.record_start(update.replica, update.born, now)
        return True
