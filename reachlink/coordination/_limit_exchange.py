"""Sharing of the rate limits of replicas between the instances."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from reachlink.kernel import steady_time
from reachlink.membership import InstanceRecord, ReplicaDirectory
from reachlink.messaging import Bus, MessagingError, decode, encode
from reachlink.pacing import (
    CHANNEL_LIMIT,
    PEER_SILENCE_TIMEOUT_S,
    AdvertisedLimit,
    LimitGate,
    LimitSharing,
    LimitTracker,
    LimitUpdate,
    PermitOptions,
    PermitQuery,
    PermitReply,
)
from reachlink.telemetry import get_logger

# Timeout of a permit query in seconds; a request waits for the reply. Replies take a few
# milliseconds within a region.
REPLY_TIMEOUT_S = 0.1
# Number of instances that are asked before this one decides alone: the owner and its successor.
MAX_ASKED = 2
# Time for which an instance that did not reply is not asked, in seconds.
RETRY_AFTER_SILENCE_S = 1.0
# Limits that were advertised longer ago than this are not sent, in seconds: a replica that gets
# at least one request in ten seconds advertises its limit more often.
MAX_LIMIT_AGE_S = 30.0


class LimitExchange(LimitGate):
    """Gets permits from the owner of a replica's limit, grants them as owner, and sends limits.

    Parameters
    ----------
    name : str
        Name of this instance.
    bus : Bus
        Message bus to the other instances.
    book : LimitTracker
        Limits that are known to this instance.
    directory : ReplicaDirectory
        Names and addresses of replicas.
    heard_at : callable
        Returns the monotonic time in seconds of the last update from another instance.
    random : random.Random
        Spreads the requests of instances that decide alone.
    count : callable
        Called with the outcome of each query: ``"granted"``, ``"refused"`` or ``"alone"``.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        name: str,
        bus: Bus,
        book: LimitTracker,
        directory: ReplicaDirectory,
        heard_at: Callable[[str], float],
        random: Random,
        count: Callable[[str], None] = lambda outcome: None,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._name = name
        self._bus = bus
        self._book = book
        self._directory = directory
        self._sharing = LimitSharing(name, heard_at, random)
        self._count = count
        self._clock = clock
        self._addresses: dict[str, str] = {}
        self._avoided_until: dict[str, float] = {}
        # Share of the limits that this instance granted last.
        self._last_share = 0.0
        bus.handle(CHANNEL_LIMIT, self._on_query)
        self._log: Any = get_logger()

    def update_roster(self, owners: Iterable[InstanceRecord], instances: int) -> None:
        """Set the instances that may own limits, and the number of all instances."""
        self._addresses = {record.name: record.address for record in owners}
        self._avoided_until.clear()
        self._sharing.update_roster(self._addresses, instances, self._clock())

    async def acquire(self, address: str, limit: AdvertisedLimit, options: PermitOptions) -> float:
        """Return the time until one more request may be sent; see `LimitGate`."""
        query = PermitQuery(
            self._directory.name_at(address) or address,
            limit.requests_per_s,
            self._clock() - limit.advertised_at,
            options.max_wait_s,
            options.background,
        )
        wait_s = await self._ask_owners(query)
        if wait_s is None:
            self._count("alone")
            wait_s = self._sharing.grant_without_owner(query, self._clock())
            return _retry_delay_s(wait_s, options.max_wait_s)
        self._count("granted" if wait_s <= options.max_wait_s else "refused")
        return wait_s

    def updates(self) -> list[LimitUpdate]:
        """Return the limits that the other instances should know."""
        now = self._clock()
        limits: dict[str, tuple[float | None, float]] = {
            address: (None, at) for address, at in self._book.recently_ended().items()
        }
        for address, limit in self._book.all().items():
            limits[address] = (limit.requests_per_s, limit.advertised_at)
        return [
            LimitUpdate(name, per_s, round(now - at, 3))
            for address, (per_s, at) in limits.items()
            if now - at < MAX_LIMIT_AGE_S and (name := self._directory.name_at(address))
        ]

    def apply_updates(self, updates: Iterable[LimitUpdate]) -> None:
        """Apply the limits that another instance has sent."""
        now = self._clock()
        for update in updates:
            replica = self._directory.find(update.replica)
            if replica is None:
                continue
            advertised_at = now - update.age_s
            if update.requests_per_s is None:
                is_news = self._book.record_absence(replica.address, advertised_at, now)
            else:
                is_news = self._book.record(replica.address, update.requests_per_s, advertised_at)
            if is_news:
                self._log.info(
                    "limit_told",
                    replica=update.replica,
                    per_s=update.requests_per_s,
                    age_s=update.age_s,
                )

    async def _ask_owners(self, query: PermitQuery) -> float | None:
        """Return the wait granted by the owner of the limit, or None if no owner is reached."""
        for name in self._sharing.owners(query.replica)[:MAX_ASKED]:
            if name == self._name:
                answer: PermitReply | None = self._answer(query)
            else:
                answer = await self._ask(name, query)
            if answer is not None and answer.is_owner:
                return answer.wait_s
        return None

    async def _ask(self, name: str, query: PermitQuery) -> PermitReply | None:
        now = self._clock()
        if self._avoided_until.get(name, now) > now:
            return None
        try:
            raw = await self._bus.call(
                self._addresses[name], CHANNEL_LIMIT, encode(query), REPLY_TIMEOUT_S
            )
            return decode(raw, PermitReply)
        except MessagingError as error:
            self._avoided_until[name] = self._clock() + RETRY_AFTER_SILENCE_S
            self._log.info("limit_unanswered", asked=name, replica=query.replica, reason=str(error))
            return None

    async def _on_query(self, sender: str, body: bytes) -> bytes:
        return encode(self._answer(decode(body, PermitQuery)))

    def _answer(self, query: PermitQuery) -> PermitReply:
        now = self._clock()
        if not self._sharing.is_owner(query.replica, now):
            return PermitReply(is_owner=False)
        self._log_share_change(self._sharing.share(now))
        return PermitReply(is_owner=True, wait_s=self._sharing.grant(query, now))

    def _log_share_change(self, share: float) -> None:
        if share != self._last_share:
            self._last_share = share
            self._log.info("limit_share", share=round(share, 3))


def _retry_delay_s(wait_s: float, patience_s: float) -> float:
    """Return the time until a permit, or until it is worth asking for one again.

    Without an owner a permit may be far in the future. After `PEER_SILENCE_TIMEOUT_S` the limit
    has an owner again, or another instance that callers reach has one.
    """
    if wait_s <= patience_s:
        return wait_s
    return min(wait_s, patience_s + PEER_SILENCE_TIMEOUT_S)
