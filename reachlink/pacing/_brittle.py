"""Replicas that fall over if they have to reject more than some requests a second; pure.

A brittle replica states in its answers how many requests per second it may reject for want of
room, summed over all senders. The requests that it works on at once are divided among the
instances without any message: each keeps the number of its requests at the replica below a
window. Of a fraction of a request the window has a whole one in some periods and none in the
others, by a hash of both names and the period. A rejection shrinks the window; time without one
widens it.
"""

import hashlib
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Lowest number of rejections per second that is kept to; a replica that states 0 counts as this.
MIN_REFUSALS_PER_S = 0.1
MAX_REFUSALS_PER_S = 1e6
# Share of the stated rejections that all instances together may use up. The rest is for requests
# that are on their way when another is rejected.
USED_SHARE = 0.5
# Sum of the windows of all instances, as a multiple of the requests that the replica works on at
# once: rarely do all instances use their windows at the same time.
WINDOWS_PER_SLOT = 1.25
# Length in seconds of the periods in which an instance has a window or none.
PERIOD_S = 2.0
# Requests that a replica is assumed to work on at once if it does not tell.
ASSUMED_SLOTS = 4
# Time in seconds without a rejection after which the window is widened by one request.
WIDEN_AFTER_S = 1.0
# Longest time in seconds for which a replica gets nothing after a rejection.
MAX_HOLD_S = 4.0
# Time in seconds after which it is worth looking again whether the window has room.
FULL_POLL_S = 0.03
# Maximum number of replicas tracked.
MAX_TRACKED_REPLICAS = 2000


def parse_refusals(text: str) -> float:
    """Return the stated rejections per second, clipped to the range that is kept to.

    Raises
    ------
    ValueError
        If the text is not a number, not finite, or negative.
    """
    per_s = float(text)
    if not math.isfinite(per_s) or per_s < 0.0:
        raise ValueError(f"rejections per second are not a finite number of at least 0: {text}")
    return min(MAX_REFUSALS_PER_S, max(MIN_REFUSALS_PER_S, per_s))


@dataclass(slots=True)
class BrittleReplica:
    """One brittle replica; times are monotonic, in seconds.

    Attributes
    ----------
    refusals_per_s : float
        Rejections per second of all instances together under which it stays up.
    stated_at : float
        Time at which it last stated this.
    window : float
        Number of requests that this instance may have there.
    refused_at : float
        Time of the last rejection known here.
    held_until : float
        Time until which it gets nothing.
    changed_at : float
        Time at which the window was last changed.
    """

    refusals_per_s: float
    stated_at: float
    window: float
    refused_at: float = float("-inf")
    held_until: float = float("-inf")
    changed_at: float = float("-inf")

    def current_window(self, now: float, largest: int) -> float:
        """Return the window, widened by the time without a rejection."""
        widened = (
            int((now - self.changed_at) / WIDEN_AFTER_S) if math.isfinite(self.changed_at) else 0
        )
        return min(largest, self.window + widened)


class BrittleTracker:
    """Brittle replicas, by address.

    Parameters
    ----------
    name : str
        Name of this instance.

    Attributes
    ----------
    instances : callable
        Returns the number of instances that send to the replicas, this one included.
    slots_at : callable
        Returns how many requests a replica works on at once, by address; 0 if unknown.
    service_at : callable
        Returns the addresses of all replicas of the service that a replica belongs to.
    """

    def __init__(self, name: str = "") -> None:
        self._name = name
        self.instances: Callable[[], int] = lambda: 1
        self.slots_at: Callable[[str], int] = lambda address: 0
        self.service_at: Callable[[str], Iterable[str]] = lambda address: ()
        self._replicas: dict[str, BrittleReplica] = {}
        # Number of requests of this instance at each replica that is or was brittle.
        self._running: dict[str, int] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no replica is brittle."""
        return not self._replicas

    def count(self) -> int:
        """Return the number of brittle replicas."""
        return len(self._replicas)

    def get(self, address: str) -> BrittleReplica | None:
        """Return a brittle replica; None for one that is not."""
        return self._replicas.get(address)

    def record(self, address: str, refusals_per_s: float, now: float) -> bool:
        """Record that a replica states that it is brittle; return whether that is new.

        The replicas of a service are brittle together. An instance that sends little hears it
        from a few of them only, and takes it for the others until these say otherwise.
        """
        brittle = self._replicas.get(address)
        if brittle is not None:
            changed = brittle.refusals_per_s != refusals_per_s
            brittle.refusals_per_s, brittle.stated_at = refusals_per_s, now
            return changed
        for one in {address, *self.service_at(address)}:
            if one not in self._replicas:
                self._make_room()
                self._replicas[one] = BrittleReplica(refusals_per_s, now, math.inf)
        return True

    def record_absence(self, address: str, sent_at: float) -> bool:
        """Record an answer that states nothing; return whether the replica was brittle.

        Answers overtake each other: only one to a request that was sent after the last
        statement counts.
        """
        brittle = self._replicas.get(address)
        if brittle is None or sent_at <= brittle.stated_at:
            return False
        del self._replicas[address]
        return True

    def note_refused(self, address: str, sent_at: float, now: float) -> bool:
        """Record that a brittle replica rejected a request; return whether the window shrinks.

        Requests that were on their way at the last rejection are rejected with it and change
        nothing.

        Parameters
        ----------
        address : str
            Address of the replica.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        now : float
            Monotonic time in seconds.
        """
        brittle = self._replicas.get(address)
        if brittle is None or sent_at < brittle.refused_at:
            return False
        self._shrink(address, brittle, now)
        return True

    def begin(self, address: str) -> None:
        """Count a request that is sent to a replica."""
        self._running[address] = self._running.get(address, 0) + 1

    def end(self, address: str) -> None:
        """Count the end of a request."""
        running = self._running.get(address, 0) - 1
        if running > 0:
            self._running[address] = running
        else:
            self._running.pop(address, None)

    def remaining_s(self, address: str, now: float) -> float:
        """Return for how many seconds a replica may get no request; 0 if it may get one."""
        brittle = self._replicas.get(address)
        if brittle is None:
            return 0.0
        held_s = max(0.0, brittle.held_until - now)
        return held_s or (FULL_POLL_S if self._is_full(address, brittle, now) else 0.0)

    def holds(self, address: str, now: float) -> bool:
        """Return whether a replica gets less than its usual load now."""
        return self.remaining_s(address, now) > 0.0

    def admits(self, address: str, now: float) -> bool:
        """Return whether another request may be sent to a replica now."""
        return not self.holds(address, now)

    def note_sent(self, address: str, now: float) -> None:
        """Do nothing: requests are counted by `begin` and `end`."""

    def note_answer(self, address: str, now: float) -> None:
        """Do nothing: answers are recorded by `record` and `record_absence`."""

    def on_restart(self, address: str, now: float) -> None:
        """Drop what a replica stated before it restarted."""
        self._replicas.pop(address, None)

    def on_address_reused(self, address: str) -> None:
        """Drop the state of an address that now belongs to another replica."""
        self._replicas.pop(address, None)

    def _shrink(self, address: str, brittle: BrittleReplica, now: float) -> None:
        """Halve the window, and send nothing for this instance's part of the rejections."""
        largest = max(1, self._largest_window(address, now))
        brittle.window = max(1.0, brittle.current_window(now, largest) // 2)
        brittle.refused_at = brittle.changed_at = now
        senders = min(self.instances(), WINDOWS_PER_SLOT * self._slots(address))
        per_s = USED_SHARE * brittle.refusals_per_s / max(1.0, senders)
        brittle.held_until = now + min(MAX_HOLD_S, 1.0 / per_s)

    def _is_full(self, address: str, brittle: BrittleReplica, now: float) -> bool:
        largest = self._largest_window(address, now)
        return self._running.get(address, 0) >= brittle.current_window(now, largest)

    def _largest_window(self, address: str, now: float) -> int:
        """Return this instance's part, with the fraction of a request in some periods only."""
        whole, fraction = divmod(self._share(address), 1.0)
        return int(whole) + (self._draw(address, now) < fraction)

    def _share(self, address: str) -> float:
        """Return this instance's share of the requests that a replica works on at once."""
        return WINDOWS_PER_SLOT * self._slots(address) / max(1, self.instances())

    def _slots(self, address: str) -> int:
        return self.slots_at(address) or ASSUMED_SLOTS

    def _draw(self, address: str, now: float) -> float:
        """Return a number from 0 to 1 that is fixed for this instance, replica and period."""
        drawn = f"{self._name} {address} {int(now / PERIOD_S)}".encode()
        digest = hashlib.blake2b(drawn, digest_size=4).digest()
        return int.from_bytes(digest) / 2**32

    def _make_room(self) -> None:
        if len(self._replicas) >= MAX_TRACKED_REPLICAS:
            del self._replicas[min(self._replicas, key=lambda a: self._replicas[a].stated_at)]
