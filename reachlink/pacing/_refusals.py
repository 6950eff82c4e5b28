"""Tracks replicas that reject requests without naming a time to wait; pure.

When one of several replicas rejects most of its requests immediately, it appears idle and
attracts more of them, and each rejection costs a retry. Since the replica did not ask for a
backoff, the wait is an estimate and is used for placement alone: it delays no continuation,
report or control request, and does not affect the replica's health.
"""

from dataclasses import dataclass

# Time in seconds for which a replica gets no requests after its first refusal: a full queue has
# room again after a few answers.
FIRST_WAIT_S = 0.03
# Longest such time in seconds; the time doubles with each consecutive refusal. It bounds the delay
# until a replica is found to accept requests again.
MAX_WAIT_S = 2.0
# Longest time in seconds for which the first request after a second or later refusal, the probe,
# is the only one sent, if no answer arrives sooner. Refusals arrive within milliseconds.
PROBE_TIMEOUT_S = 0.25
# Time in seconds for which a replica is tracked after its last refusal; longer than an instance
# that sends it few requests needs to replenish its retry budget.
EXPIRY_S = 30.0
# Maximum number of replicas tracked.
MAX_TRACKED_REPLICAS = 2000


@dataclass(slots=True)
class _RefusingReplica:
    """A replica that rejects requests; times are monotonic, in seconds.

    Attributes
    ----------
    refused_at : float
        Time of the last refusal.
    wait_s : float
        Time after `refused_at` for which the replica gets no requests.
    probed_at : float, optional
        Time at which the probe was sent.
    """

    refused_at: float
    wait_s: float
    probed_at: float | None = None

    def remaining_s(self, now: float) -> float:
        """Return for how many seconds the replica gets no requests."""
        available_at = self.refused_at + self.wait_s
        # No probe after a first refusal: for a replica that was full only briefly, a probe would
        # cost more than it saves.
        if self.probed_at is not None and self.wait_s > FIRST_WAIT_S:
            available_at = max(available_at, self.probed_at + PROBE_TIMEOUT_S)
        return max(0.0, available_at - now)


class RefusalTracker:
    """Replicas that rejected this instance's last request, by replica address."""

    def __init__(self) -> None:
        self._refusing: dict[str, _RefusingReplica] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no replica is tracked."""
        return not self._refusing

    def note_refused(self, address: str, sent_at: float, now: float) -> float:
        """Record that a replica rejected a request without naming a time to wait.

        Requests that were in flight at the same time are rejected together and count as one
        refusal.

        Parameters
        ----------
        address : str
            Address of the replica.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Time in seconds for which the replica gets no requests.
        """
        previous = self._refusing.get(address)
        if previous is None:
            self._make_room(now)
            self._refusing[address] = _RefusingReplica(now, FIRST_WAIT_S)
            return FIRST_WAIT_S
        if sent_at < previous.refused_at:
            return previous.remaining_s(now)
        wait_s = min(MAX_WAIT_S, max(FIRST_WAIT_S, 2.0 * previous.wait_s))
        self._refusing[address] = _RefusingReplica(now, wait_s)
        return wait_s

    def note_sent(self, address: str, now: float) -> None:
        """Record that a request is sent; the first one after a refusal is the probe."""
        refusing = self._refusing.get(address)
        if refusing is not None and refusing.probed_at is None and not refusing.remaining_s(now):
            refusing.probed_at = now

    def note_accepted(self, address: str, sent_at: float) -> None:
        """Record that a replica accepted and answered a request.

        If the request was sent after the last refusal, the replica accepts requests again and is
        no longer tracked. If it was sent before, the replica was full then and has room for
        another request now.

        Parameters
        ----------
        address : str
            Address of the replica.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        """
        refusing = self._refusing.get(address)
        if refusing is None:
            return
        if sent_at >= refusing.refused_at:
            del self._refusing[address]
        else:
            self._refusing[address] = _RefusingReplica(refusing.refused_at, 0.0)

    def remaining_s(self, address: str, now: float) -> float:
        """Return for how many seconds a replica gets no requests; 0 if it may get one."""
        refusing = self._refusing.get(address)
        return refusing.remaining_s(now) if refusing is not None else 0.0

    def is_refusing(self, address: str, now: float) -> bool:
        """Return whether a replica rejected its last request within the last `EXPIRY_S` seconds."""
        refusing = self._refusing.get(address)
        if refusing is not None and now >= refusing.refused_at + EXPIRY_S:
            del self._refusing[address]
            return False
        return refusing is not None

    def forget(self, address: str) -> None:
        """Drop a replica that restarted, or whose address now belongs to another replica."""
        self._refusing.pop(address, None)

    def _make_room(self, now: float) -> None:
        """Drop expired entries and, if still at the maximum, the one with the oldest refusal."""
        if len(self._refusing) < MAX_TRACKED_REPLICAS:
            return
        for address in [a for a in self._refusing if not self.is_refusing(a, now)]:
            self.forget(address)
        if len(self._refusing) >= MAX_TRACKED_REPLICAS:
            self.forget(min(self._refusing, key=lambda a: self._refusing[a].refused_at))
