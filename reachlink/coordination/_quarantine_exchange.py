"""What entry instances tell each other of crashes, and how one that missed some learns it."""

import asyncio
import contextlib
from collections.abc import Callable
from random import Random
from typing import Any

from reachlink.kernel import steady_time
from reachlink.messaging import Bus, MessagingError, decode, encode
from reachlink.quarantine import (
    CHANNEL_QUARANTINE,
    CHANNEL_RELEASE,
    Quarantine,
    QuarantineNote,
    ReleaseOrder,
    fingerprint_text,
)
from reachlink.telemetry import get_logger

# How long another instance may take to tell everything, in seconds: 4,000 crashes are some
# 120 KB, 0.2 s over a link of 5 Mbit/s.
ANSWER_TIMEOUT_S = 0.5
# How long what others know may differ before it is asked for, in seconds: notes under way
# take less than a second to reach everybody.
RESYNC_DELAY_S = 1.0
# How long before it is asked for again where asking did not make it the same, in seconds,
# at the most; doubled each time. In a flood two instances may keep different crashes, and
# everything is 70 KB.
MAX_RESYNC_DELAY_S = 30.0
# Time between two looks whether it differs, in seconds.
CHECK_INTERVAL_S = 0.25
# How long a start waits to learn what the others know, in seconds: where all start at
# once, nobody answers yet.
INITIAL_SYNC_TIMEOUT_S = 1.0
# The same where there are only members, which come by themselves, and late where the
# machine is busy.
MEMBER_SYNC_TIMEOUT_S = 3.0


class QuarantineExchange:
    """Keeps a quarantine the same as that of the others.

    What is learned goes out with the notes that the instances send each other anyway. Each
    note has a digest of all that its sender knows: where it differs for long, or after a
    start, two instances tell each other everything. Both ways: a coordinator that starts
    may have nobody to ask but members, whose addresses it does not know.

    Parameters
    ----------
    bus : Bus
        Speaks with the others.
    quarantine : Quarantine
        What is known here.
    random : random.Random
        Chooses whom to ask.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        bus: Bus,
        quarantine: Quarantine,
        random: Random,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._bus = bus
        self._quarantine = quarantine
        self._random = random
        self._clock = clock
        self._peers: list[str] | None = None
        # Whether there is no other instance at all.
        self._alone = False
        self._peers_known = asyncio.Event()
        self._initial_sync_done = False
        # Since when notes of others show that they know something else.
        self._out_of_sync_since: float | None = None
        self._resync_delay_s = RESYNC_DELAY_S
        # Whether another instance has shown that it knows the same.
        self._in_sync = False
        bus.handle(CHANNEL_QUARANTINE, self._on_question)
        bus.handle(CHANNEL_RELEASE, self._on_release)
        self._log: Any = get_logger()

    @property
    def initial_sync_done(self) -> bool:
        """Whether what the others know was learned, or waited for in vain, or there are none."""
        return self._initial_sync_done or self._alone

    def set_peers(self, addresses: list[str], alone: bool) -> None:
        """Take the bus addresses of instances that can be asked.

        Parameters
        ----------
        addresses : list of str
            The addresses; none where the others are members only, which ask by themselves.
        alone : bool
            Whether there is no other instance.
        """
        self._peers = addresses
        self._alone = alone
        self._peers_known.set()

    def make_update(self) -> QuarantineNote:
        """Return what is told with a note to the others."""
        return self._quarantine.news(self._clock())

    @property
    def has_news(self) -> bool:
        """Whether there is something that others may not know yet."""
        note = self.make_update()
        return bool(note.crashes or note.clearances)

    def is_behind(self, note: QuarantineNote) -> bool:
        """Return whether this instance knows nothing, and who sent a note something."""
        return note.digest != 0 and self._quarantine.digest() == 0

    def apply_update(self, note: QuarantineNote) -> bool:
        """Take what came with a note of another instance; return whether some is news."""
        now = self._clock()
        news = self._quarantine.take(note, now)
        if note.digest == self._quarantine.digest():
            self._out_of_sync_since = None
            self._resync_delay_s = RESYNC_DELAY_S
            self._in_sync = True
        elif self._out_of_sync_since is None:
            # One that knows nothing has just started: it is told before it sends.
            self._out_of_sync_since = now if note.digest else now - self._resync_delay_s
        return news

    async def run(self) -> None:
        """Work until cancelled."""
        await self._synchronize_at_start()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            since = self._out_of_sync_since
            if since is not None and self._clock() - since >= self._resync_delay_s:
                self._out_of_sync_since = None
                self._resync_delay_s = min(MAX_RESYNC_DELAY_S, 2.0 * self._resync_delay_s)
                await self._synchronize()

    async def _synchronize_at_start(self) -> None:
        started = self._clock()
        # Cut off from the control instances it may never come.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(INITIAL_SYNC_TIMEOUT_S):
                await self._peers_known.wait()
        while not (self._alone or self._in_sync or await self._synchronize()):
            timeout_s = INITIAL_SYNC_TIMEOUT_S if self._peers else MEMBER_SYNC_TIMEOUT_S
            if self._clock() - started > timeout_s:
                self._log.info("quarantine_not_learned", peers=len(self._peers or ()))
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._initial_sync_done = True

    async def _synchronize(self) -> bool:
        """Tell one of the others everything and be told the same; return whether it answered."""
        if not self._peers:
            return False
        address = self._random.choice(self._peers)
        try:
            known = encode(self._quarantine.everything(self._clock()))
            raw = await self._bus.call(address, CHANNEL_QUARANTINE, known, ANSWER_TIMEOUT_S)
            note = decode(raw, QuarantineNote)
        except MessagingError as error:
            self._log.info("quarantine_unanswered", peer=address, reason=str(error))
            return False
        self._quarantine.take(note, self._clock())
        self._log.info("quarantine_learned", peer=address, crashes=len(note.crashes))
        return True

    async def _on_question(self, sender: str, body: bytes) -> bytes:
        self._quarantine.take(decode(body, QuarantineNote), self._clock())
        return encode(self._quarantine.everything(self._clock()))

    async def _on_release(self, sender: str, body: bytes) -> bytes:
        """Let a request go; the others learn of it as of any clearance."""
        order = decode(body, ReleaseOrder)
        was_held = self._quarantine.verdict(order.fingerprint, self._clock()) is not None
        self._quarantine.clear(order.fingerprint, self._clock())
        self._log.info(
            "request_released",
            fingerprint=fingerprint_text(order.fingerprint),
            was_held=was_held,
            sender=sender,
        )
        return encode(was_held)
