"""How the instances grant together what a replica takes from all of them."""

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

# How long an answer may take, in seconds: some milliseconds within a region. A request
# waits for it.
ANSWER_TIMEOUT_S = 0.1
# How many instances are asked before this one decides alone: one, and who takes over.
MAX_ASKED = 2
# How long one that did not answer is not asked, in seconds.
RETRY_AFTER_SILENCE_S = 1.0
# Limits that were named longer ago than this are not told, in seconds: a replica that gets
# a request in ten seconds at the least names its limit more often.
MAX_NOTE_AGE_S = 30.0


class LimitExchange(LimitGate):
    """Asks who owns a replica's limit, answers where this instance does, and tells limits.

    Parameters
    ----------
    name : str
        This instance.
    bus : Bus
        Speaks with the others.
    book : LimitTracker
        What this instance knows of limits.
    directory : ReplicaDirectory
        Names and addresses of replicas.
    heard_at : callable
        Returns when another instance was heard last, in monotonic seconds.
    random : random.Random
        Spreads what is sent by instances that decide alone.
    count : callable
        Is told how each question ended: ``"granted"``, ``"refused"`` or ``"alone"``.
    clock : callable
        Monotonic time in seconds.
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
        # Which part of limits this instance granted last.
        self._last_share = 0.0
        bus.handle(CHANNEL_LIMIT, self._on_question)
        self._log: Any = get_logger()

    def update_roster(self, owners: Iterable[InstanceRecord], instances: int) -> None:
        """Take who may own limits, and how many instances there are."""
        self._addresses = {record.name: record.address for record in owners}
        self._avoided_until.clear()
        self._sharing.update_roster(self._addresses, instances, self._clock())

    async def acquire(self, address: str, limit: AdvertisedLimit, asked: PermitOptions) -> float:
        """Return when one more request may be sent; see `LimitGate`."""
        question = PermitQuery(
            self._directory.name_at(address) or address,
            limit.requests_per_s,
            self._clock() - limit.advertised_at,
            asked.max_wait_s,
            asked.background,
        )
        wait_s = await self._ask_owners(question)
        if wait_s is None:
            self._count("alone")
            wait_s = self._sharing.grant_without_owner(question, self._clock())
            return _retry_delay_s(wait_s, asked.max_wait_s)
        self._count("granted" if wait_s <= asked.max_wait_s else "refused")
        return wait_s

    def updates(self) -> list[LimitUpdate]:
        """Return what others should know of limits."""
        now = self._clock()
        said: dict[str, tuple[float | None, float]] = {
            address: (None, at) for address, at in self._book.recently_ended().items()
        }
        for address, limit in self._book.all().items():
            said[address] = (limit.requests_per_s, limit.advertised_at)
        return [
            LimitUpdate(name, per_s, round(now - at, 3))
            for address, (per_s, at) in said.items()
            if now - at < MAX_NOTE_AGE_S and (name := self._directory.name_at(address))
        ]

    def apply_updates(self, notes: Iterable[LimitUpdate]) -> None:
        """Take what another instance tells of limits."""
        now = self._clock()
        for note in notes:
            replica = self._directory.find(note.replica)
            if replica is None:
                continue
            said_at = now - note.age_s
            if note.requests_per_s is None:
                news = self._book.record_absence(replica.address, said_at, now)
            else:
                news = self._book.record(replica.address, note.requests_per_s, said_at)
            if news:
                self._log.info(
                    "limit_told", replica=note.replica, per_s=note.requests_per_s, age_s=note.age_s
                )

    async def _ask_owners(self, question: PermitQuery) -> float | None:
        """Return what the limit's owner says; None where nobody does that is reached."""
        for name in self._sharing.owners(question.replica)[:MAX_ASKED]:
            if name == self._name:
                answer: PermitReply | None = self._answer(question)
            else:
                answer = await self._ask(name, question)
            if answer is not None and answer.is_owner:
                return answer.wait_s
        return None

    async def _ask(self, name: str, question: PermitQuery) -> PermitReply | None:
        now = self._clock()
        if self._avoided_until.get(name, now) > now:
            return None
        try:
            raw = await self._bus.call(
                self._addresses[name], CHANNEL_LIMIT, encode(question), ANSWER_TIMEOUT_S
            )
            return decode(raw, PermitReply)
        except MessagingError as error:
            self._avoided_until[name] = self._clock() + RETRY_AFTER_SILENCE_S
            self._log.info(
                "limit_unanswered", asked=name, replica=question.replica, reason=str(error)
            )
            return None

    async def _on_question(self, sender: str, body: bytes) -> bytes:
        return encode(self._answer(decode(body, PermitQuery)))

    def _answer(self, question: PermitQuery) -> PermitReply:
        now = self._clock()
        if not self._sharing.is_owner(question.replica, now):
            return PermitReply(is_owner=False)
        self._log_share_change(self._sharing.share(now))
        return PermitReply(is_owner=True, wait_s=self._sharing.grant(question, now))

    def _log_share_change(self, share: float) -> None:
        if share != self._last_share:
            self._last_share = share
            self._log.info("limit_share", share=round(share, 3))


def _retry_delay_s(wait_s: float, patience_s: float) -> float:
    """Return when to come back for a permit that an instance on its own has only much later.

    By then the limit has an owner again, or another instance that callers come to does.
    """
    if wait_s <= patience_s:
        return wait_s
    return min(wait_s, patience_s + PEER_SILENCE_TIMEOUT_S)
