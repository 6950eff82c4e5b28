"""Tracks replicas that asked this instance for a backoff, and their gradual return; pure.

A replica that rejects a request may say for how long it wants no further requests from
the sender. The backoff outlives the rejected request and applies to everything that is
sent: first attempts, retries, continuations, reports and control requests.
"""

from dataclasses import dataclass
from random import Random

# Maximum number of replicas tracked; well above the 710 replicas of the largest fleet.
MAX_TRACKED_REPLICAS = 2000
# Maximum random extension of a backoff, as a share of it and in seconds; the smaller one applies.
# It spreads the return of instances that were asked to wait until the same moment.
MAX_SPREAD_SHARE = 0.25
MAX_SPREAD_S = 0.5
# Longest time in seconds for which the first request after a backoff, the probe, is the only one
# sent, if no answer arrives sooner. A replica that still wants no requests rejects the probe
# within a few milliseconds.
PROBE_TIMEOUT_S = 0.25
# Time in seconds over which the load of a replica ramps up after an accepted probe, and the share
# of its usual load at which the ramp starts.
RAMP_S = 1.0
RAMP_START_SHARE = 0.1
# Time in seconds after which an expired backoff without a probe is dropped. By then, the requests
# that waited for the end of the backoff are long gone.
UNPROBED_EXPIRY_S = 10.0
# A backoff requested less than this many seconds before a restart of its replica became known may
# come from the restarted replica and is kept. Replica lists and reports announce restarts some
# seconds late, or about 30 s late while the platform's list is unavailable.
RESTART_REPORT_DELAY_S = 30.0


@dataclass(slots=True)
class _Backoff:
    """Backoff of one replica; times are monotonic, in seconds.

    Attributes
    ----------
    until : float
        End of the backoff.
    requested_at : float
        Time of the replica's most recent request for a backoff.
    probed_at : float, optional
        Time at which the probe was sent.
    answered_at : float, optional
        Time of the first answer after the probe was sent.
    """

    until: float
    requested_at: float
    probed_at: float | None = None
    answered_at: float | None = None

    def share(self, now: float) -> float:
        """Return the share of its usual requests that the replica may get, from 0 to 1."""
        if now < self.until:
            return 0.0
        if self.probed_at is None:
            return 1.0
        probe_ends = self.probed_at + PROBE_TIMEOUT_S
        if self.answered_at is not None:
            probe_ends = min(probe_ends, self.answered_at)
        if now < probe_ends:
            return 0.0
        return min(1.0, RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * (now - probe_ends) / RAMP_S)

    def is_over(self, now: float) -> bool:
        """Return whether the backoff and the ramp after it are over, so that it can be dropped."""
        if self.probed_at is None:
            return now >= self.until + UNPROBED_EXPIRY_S
        return now >= self.probed_at + PROBE_TIMEOUT_S + RAMP_S


class BackoffTracker:
    """Backoffs that replicas requested from this instance, by replica address.

    Parameters
    ----------
    random : random.Random
        Spreads the ends of backoffs and decides which requests are admitted during a ramp.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._backoffs: dict[str, _Backoff] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no backoff is tracked."""
        return not self._backoffs

    def record(self, address: str, wait_s: float, now: float) -> None:
        """Record that a replica wants no requests for `wait_s` seconds.

        Of several backoffs the latest end applies: a shorter one does not revoke an earlier,
        longer one, since answers may arrive out of order.
        """
        spread_s = self._random.random() * min(MAX_SPREAD_S, MAX_SPREAD_SHARE * wait_s)
        until = now + wait_s + spread_s
        previous = self._backoffs.get(address)
        if previous is not None:
            until = max(until, previous.until)
        self._make_room(address, now)
        self._backoffs[address] = _Backoff(until, now)

    def remaining_s(self, address: str, now: float) -> float:
        """Return the remaining backoff of a replica in seconds; 0 if it has none."""
        backoff = self._backoffs.get(address)
        return max(0.0, backoff.until - now) if backoff is not None else 0.0

    def holds(self, address: str, now: float) -> bool:
        """Return whether a replica is in backoff or still ramping up after one."""
        return address in self._backoffs

    def admits(self, address: str, now: float) -> bool:
        """Return whether another request may be sent to a replica now.

        False during the backoff and while the probe is outstanding. During the ramp after the
        probe, requests are admitted at random with a probability that increases to 1.
        """
        backoff = self._backoffs.get(address)
        if backoff is None:
            return True
        if backoff.is_over(now):
            del self._backoffs[address]
            return True
        share = backoff.share(now)
        return share >= 1.0 or (share > 0.0 and self._random.random() < share)

    def note_sent(self, address: str, now: float) -> None:
        """Record that a request is sent; the first one after a backoff is the probe."""
        backoff = self._backoffs.get(address)
        if backoff is not None and backoff.probed_at is None and now >= backoff.until:
            backoff.probed_at = now

    def note_answer(self, address: str, now: float) -> None:
        """Record that a replica answered a request without asking for a backoff."""
        backoff = self._backoffs.get(address)
        if backoff is not None and backoff.probed_at is not None and backoff.answered_at is None:
            backoff.answered_at = now

    def on_restart(self, address: str, now: float) -> None:
        """Drop a backoff that was requested before the replica restarted."""
        backoff = self._backoffs.get(address)
        if backoff is not None and now - backoff.requested_at > RESTART_REPORT_DELAY_S:
            del self._backoffs[address]

    def on_address_reused(self, address: str) -> None:
        """Drop the backoff of an address that now belongs to another replica."""
        self._backoffs.pop(address, None)

    def count(self, now: float) -> int:
        """Return the number of replicas in backoff."""
        return sum(1 for backoff in self._backoffs.values() if backoff.until > now)

    def _make_room(self, address: str, now: float) -> None:
        """Drop completed entries and, if still at the maximum, the backoff that ends first."""
        if address in self._backoffs or len(self._backoffs) < MAX_TRACKED_REPLICAS:
            return
        self._backoffs = {name: b for name, b in self._backoffs.items() if not b.is_over(now)}
        if len(self._backoffs) >= MAX_TRACKED_REPLICAS:
            del self._backoffs[min(self._backoffs, key=lambda name: self._backoffs[name].until)]
