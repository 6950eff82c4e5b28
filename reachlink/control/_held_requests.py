"""What entry instances hold back since replicas crash under it, as operators see it."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from reachlink.control._protocol import (
    Answer,
    HeldStatus,
    QuarantineAnswer,
    RefusedAnswer,
    ReleaseAnswer,
)
from reachlink.kernel import Clock
from reachlink.membership import InstanceRecord
from reachlink.messaging import Bus, MessagingError, decode, encode
from reachlink.quarantine import (
    CHANNEL_QUARANTINE,
    CHANNEL_RELEASE,
    Quarantine,
    QuarantineNote,
    ReleaseOrder,
    Verdict,
    fingerprint_text,
)
from reachlink.telemetry import get_logger

# How long an entry instance may take to answer, in seconds.
ANSWER_S = 0.5
# How many are asked, one after the other: all know the same.
ASKED = 3


@dataclass(slots=True, frozen=True)
class _Reply:
    """What an entry instance answered."""

    entry: str
    raw: bytes


class HeldRequests:
    """Asks entry instances.

    Parameters
    ----------
    bus : Bus
        Speaks with them.
    entries : callable
        Returns the entry instances that can be reached.
    clock : Clock
        Source of time.
    """

    def __init__(self, bus: Bus, entries: Callable[[], list[InstanceRecord]], clock: Clock) -> None:
        self._bus = bus
        self._entries = entries
        self._clock = clock
        self._log: Any = get_logger()

    async def show(self) -> Answer:
        """Return what is held."""
        found = await self._ask(CHANNEL_QUARANTINE, encode(QuarantineNote()))
        if isinstance(found, RefusedAnswer):
            return found
        return QuarantineAnswer(found.entry, self._held(decode(found.raw, QuarantineNote)))

    async def release(self, fingerprint: int) -> Answer:
        """Let a request go, at one entry instance, which tells the others."""
        found = await self._ask(CHANNEL_RELEASE, encode(ReleaseOrder(fingerprint)))
        if isinstance(found, RefusedAnswer):
            return found
        return ReleaseAnswer(decode(found.raw, bool))

    async def _ask(self, channel: str, body: bytes) -> _Reply | RefusedAnswer:
        """Return what the first entry instance says that answers."""
        reason = "no entry instance is known"
        for entry in self._entries()[:ASKED]:
            try:
                raw = await self._bus.call(entry.address, channel, body, ANSWER_S)
            except MessagingError as error:
                reason = f"no entry instance answers, {entry.name} last: {error}"
                self._log.info("entry_silent", entry=entry.name, asked=channel, reason=str(error))
                continue
            return _Reply(entry.name, raw)
        return RefusedAnswer(reason)

    def _held(self, note: QuarantineNote) -> list[HeldStatus]:
        now = self._clock.monotonic()
        known = Quarantine(Random())
        known.take(note, now)
        return [_status(verdict, now) for verdict in known.held(now)]


def _status(verdict: Verdict, now: float) -> HeldStatus:
    return HeldStatus(
        fingerprint=fingerprint_text(verdict.fingerprint),
        crashes=len(verdict.crashes),
        replicas=[crash.replica for crash in verdict.crashes],
        first_crash_s_ago=round(now - verdict.first_at, 3),
        last_crash_s_ago=round(now - verdict.last_at, 3),
        whole=verdict.whole,
        digests=[fingerprint_text(digest) for digest in sorted(verdict.digests)],
        positions=list(verdict.positions),
    )
