"""Combines backoffs, rate limits and refusals into one decision per replica; pure."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Protocol

from reachlink.pacing._backoffs import BackoffTracker
from reachlink.pacing._brittle import BrittleTracker
from reachlink.pacing._limits import LimitTracker
from reachlink.pacing._refusals import RefusalTracker


class HoldReason(Enum):
    """Why no replica may get a request now; the values are codes for logs and callers."""

    BACKOFF = "in_backoff"
    LIMIT = "over_limit"
    BRITTLE = "brittle"
    REFUSING = "not_run"


@dataclass(slots=True, frozen=True)
class Hold:
    """State in which none of the candidate replicas is fully available.

    Attributes
    ----------
    remaining_s : float
        Time in seconds until the first of the replicas may get a request; 0 if one of
        them is ramping up after a backoff and gets only part of its usual load.
    reason : HoldReason
        What holds back that replica.
    """

    remaining_s: float
    reason: HoldReason


class PacingKind(Protocol):
    """One kind of flow control that replicas request, tracked for all replicas.

    Replicas are identified by their addresses; times are monotonic, in seconds.
    """

    @property
    def is_empty(self) -> bool:
        """Whether no replica is tracked."""

    def remaining_s(self, address: str, now: float) -> float:
        """Return for how many seconds a replica may get no request; 0 if it may get one."""

    def holds(self, address: str, now: float) -> bool:
        """Return whether a replica gets less than its usual load now."""

    def admits(self, address: str, now: float) -> bool:
        """Return whether another request may be sent to a replica now."""

    def note_sent(self, address: str, now: float) -> None:
        """Record that a request is sent."""

    def note_answer(self, address: str, now: float) -> None:
        """Record that a replica answered a request without asking for a backoff."""

    def on_restart(self, address: str, now: float) -> None:
        """Drop what a replica requested before it restarted."""

    def on_address_reused(self, address: str) -> None:
        """Drop the state of an address that now belongs to another replica."""


class PacingTracker:
    """Flow control of every kind that replicas requested from this instance.

    Code that chooses a replica or sends to one consults only this class, so that a new
    kind of flow control requires no change there.

    Parameters
    ----------
    random : random.Random
        Spreads the ends of backoffs and decides which requests are admitted after them.
    name : str
        Name of this instance, which distinguishes its part of what all instances may send.

    Attributes
    ----------
    backoffs : BackoffTracker
        Replicas that want no requests for some time.
    limits : LimitTracker
        Replicas that accept a limited rate of requests from all instances together.
    brittle : BrittleTracker
        Replicas that fall over if they have to reject more than some requests.
    refusals : RefusalTracker
        Replicas that reject requests without naming a time; used for placement only.
    """

    def __init__(self, random: Random, name: str = "") -> None:
        self.backoffs = BackoffTracker(random)
        self.limits = LimitTracker()
        self.brittle = BrittleTracker(name)
        self.refusals = RefusalTracker()
        self._kinds: tuple[PacingKind, ...] = (self.backoffs, self.limits, self.brittle)

    @property
    def is_empty(self) -> bool:
        """Whether no replica requested flow control or rejects requests."""
        return self.refusals.is_empty and all(kind.is_empty for kind in self._kinds)

    def remaining_s(self, address: str, now: float) -> float:
        """Return for how many seconds a replica wants no requests; 0 if it accepts them.

        Refusals do not count, since the replica did not ask for a wait.
        """
        return max(kind.remaining_s(address, now) for kind in self._kinds)

    def admits(self, address: str, now: float, max_wait_s: float = 0.0) -> bool:
        """Return whether another request may be sent to a replica.

        Parameters
        ----------
        address : str
            Address of the replica.
        now : float
            Monotonic time in seconds.
        max_wait_s : float
            Longest time in seconds that the request may wait for a permit at a replica with
            a rate limit.
        """
        if self.refusals.remaining_s(address, now) or not self.backoffs.admits(address, now):
            return False
        if not self.brittle.admits(address, now):
            return False
        if self.limits.admits(address, now):
            return True
        return self.limits.remaining_s(address, now) <= max_wait_s

    def hold(self, addresses: Sequence[str], now: float) -> Hold | None:
        """Return the hold on some replicas, if all of them are held back.

        Parameters
        ----------
        addresses : sequence of str
            Addresses of all replicas that may be used.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Hold or None
            None if there are no replicas, or if one of them may get its usual load.
        """
        if not addresses or not all(self._holds(address, now) for address in addresses):
            return None
        first = min(addresses, key=lambda address: self._time_until_available(address, now))
        return Hold(self._time_until_available(first, now), self._reason(first, now))

    def note_sent(self, address: str, now: float) -> None:
        """Record that a request is sent."""
        for kind in self._kinds:
            kind.note_sent(address, now)
        self.refusals.note_sent(address, now)

    def note_answer(self, address: str, now: float) -> None:
        """Record that a replica answered a request without asking for a backoff."""
        for kind in self._kinds:
            kind.note_answer(address, now)

    def on_restart(self, address: str, now: float) -> None:
        """Drop what a replica requested before it restarted."""
        for kind in self._kinds:
            kind.on_restart(address, now)
        self.refusals.forget(address)

    def on_address_reused(self, address: str) -> None:
        """Drop the state of an address that now belongs to another replica."""
        for kind in self._kinds:
            kind.on_address_reused(address)
        self.refusals.forget(address)

    def _holds(self, address: str, now: float) -> bool:
        if self.refusals.remaining_s(address, now):
            return True
        return any(kind.holds(address, now) for kind in self._kinds)

    def _time_until_available(self, address: str, now: float) -> float:
        """Return the time in seconds until a replica may be chosen for a request."""
        return max(self.remaining_s(address, now), self.refusals.remaining_s(address, now))

    def _reason(self, address: str, now: float) -> HoldReason:
        if self.limits.holds(address, now):
            return HoldReason.LIMIT
        if self.brittle.holds(address, now):
            return HoldReason.BRITTLE
        return HoldReason.BACKOFF if self.backoffs.holds(address, now) else HoldReason.REFUSING
