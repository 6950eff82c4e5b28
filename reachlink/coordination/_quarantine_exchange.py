"""Exchange of crashes between the entry instances, and their synchronization."""

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

# Timeout of a synchronization in seconds: 1,000 crashes under prompts of four parts are 65 KB,
# which take 0.1 s over a link of 5 Mbit/s.
REPLY_TIMEOUT_S = 0.5
# Time for which digests may differ before instances synchronize, in seconds: updates in transit
# reach all instances in less than a second.
RESYNC_DELAY_S = 1.0
# Longest delay until the next synchronization, in seconds. The delay is doubled each time that
# digests still differ: during a flood of crashes two instances may keep different crashes, and a
# full message is 70 KB.
MAX_RESYNC_DELAY_S = 30.0
# Time between two checks of whether digests differ, in seconds.
CHECK_INTERVAL_S = 0.25
# Longest wait for the synchronization at the start, in seconds: if all instances start at once,
# none replies yet.
INITIAL_SYNC_TIMEOUT_S = 1.0
# The same if all other instances are members, in seconds: these connect on their own, and late if
# the machine is busy.
MEMBER_SYNC_TIMEOUT_S = 3.0


class QuarantineExchange:
    """Keeps the quarantine of this instance the same as that of the others.

    New crashes are part of the updates that the instances send each other anyway. Each update
    has a digest of all crashes that its sender knows. If digests differ for long, and at the
    start, two instances synchronize: they send each other everything. This goes both ways, as
    a coordinator that starts may only have members to ask, whose addresses it does not know.

    Parameters
    ----------
    bus : Bus
        Message bus to the other instances.
    quarantine : Quarantine
        Crashes that are known to this instance.
    random : random.Random
        Chooses the instance to synchronize with.
    clock : callable
        Returns the monotonic time in seconds.
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
        # Whether there is no other instance.
        self._alone = False
        self._peers_known = asyncio.Event()
        self._initial_sync_done = False
        # Monotonic time in seconds since which digests in updates of others differ.
        self._out_of_sync_since: float | None = None
        self._resync_delay_s = RESYNC_DELAY_S
        # Whether the digest in an update of another instance was the same.
        self._in_sync = False
        bus.handle(CHANNEL_QUARANTINE, self._on_query)
        bus.handle(CHANNEL_RELEASE, self._on_release)
        self._log: Any = get_logger()

    @property
    def initial_sync_done(self) -> bool:
        """Whether the synchronization at the start has succeeded, timed out, or is not needed."""
        return self._initial_sync_done or self._alone

    def set_peers(self, addresses: list[str], alone: bool) -> None:
        """Set the instances that this one can synchronize with.

        Parameters
        ----------
        addresses : list of str
            Their bus addresses; empty if all other instances are members, which connect on
            their own.
        alone : bool
            Whether there is no other instance.
        """
        self._peers = addresses
        self._alone = alone
        self._peers_known.set()

    def make_update(self) -> QuarantineNote:
        """Return the crashes and clearances that an update to other instances contains."""
        return self._quarantine.news(self._clock())

    @property
    def has_news(self) -> bool:
        """Whether there are crashes or clearances that others may not know yet."""
        update = self.make_update()
        return bool(update.crashes or update.clearances)

    def is_behind(self, update: QuarantineNote) -> bool:
        """Return whether this instance knows no crashes and the sender of an update knows some."""
        return update.digest != 0 and self._quarantine.digest() == 0

    def apply_update(self, update: QuarantineNote) -> bool:
        """Apply an update of another instance; return whether it contained news."""
        now = self._clock()
        news = self._quarantine.take(update, now)
        if update.digest == self._quarantine.digest():
            self._out_of_sync_since = None
            self._resync_delay_s = RESYNC_DELAY_S
            self._in_sync = True
        elif self._out_of_sync_since is None:
            # A sender that knows no crashes has just started: synchronize at once, before it
            # sends requests.
            self._out_of_sync_since = now if update.digest else now - self._resync_delay_s
        return news

    async def run(self) -> None:
        """Keep the quarantine synchronized until cancelled."""
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
        # The list of instances may never arrive if the control instances cannot be reached.
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
        """Exchange all crashes with one other instance; return whether it replied."""
        if not self._peers:
            return False
        address = self._random.choice(self._peers)
        try:
            known = encode(self._quarantine.everything(self._clock()))
            raw = await self._bus.call(address, CHANNEL_QUARANTINE, known, REPLY_TIMEOUT_S)
            update = decode(raw, QuarantineNote)
        except MessagingError as error:
            self._log.info("quarantine_unanswered", peer=address, reason=str(error))
            return False
        self._quarantine.take(update, self._clock())
        self._log.info("quarantine_learned", peer=address, crashes=len(update.crashes))
        return True

    async def _on_query(self, sender: str, body: bytes) -> bytes:
        self._quarantine.take(decode(body, QuarantineNote), self._clock())
        return encode(self._quarantine.everything(self._clock()))

    async def _on_release(self, sender: str, body: bytes) -> bytes:
        """Release a request; the others receive the release as they do any clearance."""
        order = decode(body, ReleaseOrder)
        was_held = self._quarantine.release(order.fingerprint, self._clock())
        self._log.info(
            "request_released",
            fingerprint=fingerprint_text(order.fingerprint),
            was_held=was_held,
            sender=sender,
        )
        return encode(was_held)
