"""A coordinator: knows what its members have at the replicas, and places for them."""

import asyncio
from collections.abc import Callable, Iterable, Set
from random import Random
from typing import Any, Protocol

from reachlink.coordination._limit_exchange import LimitExchange
from reachlink.coordination._messages import (
    CHANNEL_MEMBER,
    CHANNEL_PLACE,
    CHANNEL_QUEUE_LEFT,
    CoordinatorSnapshot,
    MemberUpdate,
    QueueLeft,
)
from reachlink.coordination._pace_exchange import PaceExchange
from reachlink.coordination._quarantine_exchange import QuarantineExchange
from reachlink.coordination._queue_owner import QueueOwner
from reachlink.coordination._replica_list import listed_replicas, replica_list_digest
from reachlink.kernel import steady_time
from reachlink.membership import ReplicaDirectory
from reachlink.messaging import Bus, decode, encode
from reachlink.requests import (
    ListedReplica,
    PlaceAnswer,
    PlaceQuestion,
    Placing,
    ReplicaBook,
    ReplicaNews,
    ReplicaShare,
    SharedLoad,
    shortened,
    total,
)
from reachlink.routing import Service
from reachlink.telemetry import get_logger
from reachlink.upstreams import Replica

# How long a coordinator listens before it decides, in seconds: every member and
# every other coordinator tells its load once a second at least.
READY_AFTER_S = 1.2
# A member that tells nothing for this long is none any more, in seconds.
MEMBER_TIMEOUT_S = 3.0
# How long after a replica was found to leave members are told of its report, in seconds.
LEAVING_REPORTED_S = 5.0


class ZoneReach(Protocol):
    """Which zones can be reached from this instance."""

    @property
    def silent_zones(self) -> Set[str]:
        """Zones that it seems to be cut off from."""

    @property
    def cut_off(self) -> bool:
        """Whether these are all other zones."""


class Coordinator:
    """Answers members.

    Parameters
    ----------
    name : str
        This instance.
    bus : Bus
        Where members' notes and questions come in.
    book : ReplicaBook
        What is known of the replicas.
    shared : SharedLoad
        What all others have there: other coordinators with their members, and the
        members here.
    directory : ReplicaDirectory
        The replicas.
    placing : Placing
        Decides.
    services : callable
        Returns the model engines' services.
    take_news : callable
        Takes what a member found out.
    quarantine : QuarantineExchange
        What the instances tell each other of crashes.
    limits : LimitExchange
        What the instances tell each other of limits that replicas name.
    paces : PaceExchange
        What the instances tell each other of replicas' pace.
    reach : callable
        Returns which zones can be reached.
    random : random.Random
        Source of jitter.
    clock : callable
        Monotonic time in seconds.
    queue_owner : QueueOwner, optional
        Keeps requests in line that find no room; None where none stands in line.
    """

    def __init__(
        self,
        name: str,
        bus: Bus,
        book: ReplicaBook,
        shared: SharedLoad,
        directory: ReplicaDirectory,
        placing: Placing,
        services: Callable[[], list[Service]],
        take_news: Callable[[Iterable[ReplicaNews]], None],
        quarantine: QuarantineExchange,
        limits: LimitExchange,
        paces: PaceExchange,
        reach: Callable[[], ZoneReach],
        random: Random,
        clock: Callable[[], float] = steady_time,
        queue_owner: QueueOwner | None = None,
    ) -> None:
        self._name = name
        self._queue_owner = queue_owner
        self._book = book
        self._shared = shared
        self._directory = directory
        self._placing = placing
        self._services = services
        self._take_news = take_news
        self._quarantine = quarantine
        self._limits = limits
        self._paces = paces
        self._reach = reach
        self._random = random
        self._clock = clock
        self._members: dict[str, float] = {}
        # Since when this instance coordinates, in monotonic seconds.
        self._coordinating_since: float | None = None
        self._news_event = asyncio.Event()
        self._log: Any = get_logger()
        bus.handle(CHANNEL_MEMBER, self._on_update)
        bus.handle(CHANNEL_PLACE, self._on_question)
        bus.handle(CHANNEL_QUEUE_LEFT, self._on_left)

    def set_coordinating(self, coordinates: bool) -> None:
        """Take whether this instance coordinates from now on."""
        if not coordinates:
            self._coordinating_since = None
        elif self._coordinating_since is None:
            self._coordinating_since = self._clock()

    @property
    def ready(self) -> bool:
        """Whether it coordinates, has a list, and has listened for long enough to decide."""
        if self._coordinating_since is None or not self._directory.is_whole:
            return False
        return self._clock() - self._coordinating_since >= READY_AFTER_S

    @property
    def members(self) -> list[str]:
        """The instances that follow this one."""
        oldest = self._clock() - MEMBER_TIMEOUT_S
        for name in [n for n, at in self._members.items() if at < oldest]:
            del self._members[name]
            self._shared.forget(name)
        return list(self._members)

    def add_member_shares(self, own: list[ReplicaShare]) -> list[ReplicaShare]:
        """Return own shares together with those of all members, for other coordinators."""
        members = self.members
        if not members:
            return own
        found: dict[str, list[ReplicaShare]] = {share.replica: [share] for share in own}
        for name in members:
            for share in self._shared.told_by(name, self._clock()):
                found.setdefault(share.replica, []).append(share)
        return [total(shares) for shares in found.values()]

    def notify_members(self) -> None:
        """Give members that wait for news a snapshot now: a replica leaves, a zone is cut off."""
        self._news_event.set()
        self._news_event = asyncio.Event()
        if self._queue_owner is not None:
            self._queue_owner.wake()

    async def _on_update(self, sender: str, body: bytes) -> bytes:
        note = decode(body, MemberUpdate)
        self._apply_update(note)
        if note.wait_s <= 0.0:
            # Told unasked: something has begun or ended, and nobody waits.
            self._book.touch()
            return b""
        # One that asks just after the others were woken must not wait for the next news,
        # nor one that can tell what is not known here.
        behind = self._quarantine.is_behind(note.load.quarantine)
        if not behind and not self._quarantine.has_news:
            await self._wait_for_news(note.wait_s)
        return encode(self._snapshot_for(note))

    async def _wait_for_news(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._news_event.wait()
        except TimeoutError:
            # Nothing happened meanwhile: the member gets the usual snapshot.
            return

    def _apply_update(self, note: MemberUpdate) -> None:
        now = self._clock()
        name = note.load.instance
        if name not in self._members:
            self._log.info("member_follows", member=name)
        self._members[name] = now
        self._shared.take(note.load, now)
        self._take_news(note.load.news)
        self._quarantine.apply_update(note.load.quarantine)
        self._limits.apply_updates(note.load.limits)
        self._paces.apply_from_member(name, note.load.paces)
        for outcome in note.outcomes:
            self._book.note_outcome(outcome, now, self._random)
        if self._queue_owner is not None:
            self._queue_owner.wake()

    async def _on_question(self, sender: str, body: bytes) -> bytes:
        question = decode(body, PlaceQuestion)
        # Without a list it would say that there is no room.
        insists = question.insist and self._directory.is_whole
        if not self.ready and not insists:
            return encode(PlaceAnswer(settled=False))
        if self._queue_owner is not None and self.ready and question.in_line:
            return encode(await self._queue_owner.answer(question))
        return encode(PlaceAnswer(settled=True, replica=self._decide(question)))

    async def _on_left(self, sender: str, body: bytes) -> bytes:
        left = decode(body, QueueLeft)
        if self._queue_owner is not None:
            self._queue_owner.leave(left.service, left.request_id)
        return b""

    def _decide(self, question: PlaceQuestion) -> ListedReplica | None:
        service = next((s for s in self._services() if s.name == question.service), None)
        if service is None:
            return None
        replica = self._placing.decide(service, question)
        if replica is None:
            return None
        now = self._clock()
        self._shared.add(question.instance, question.occupies(replica.name), now)
        self._book.touch()
        return ListedReplica(
            replica.name, replica.upstream, replica.availability_zone, replica.address, False
        )

    def _snapshot_for(self, note: MemberUpdate) -> CoordinatorSnapshot:
        member = note.load.instance
        replicas = [r for s in self._services() for r in self._engine_replicas(s.name)]
        present = {share.replica for share in note.load.shares}
        told = [r for r in replicas if note.whole or r.name in present]
        listed = listed_replicas(self._directory, self._clock())
        # Before the first list a member may know more.
        whole = self._directory.is_whole
        digest = replica_list_digest(listed) if whole else 0
        reach = self._reach()
        return CoordinatorSnapshot(
            coordinator=self._name,
            shares=self._shares_for(member, told, present),
            whole=note.whole,
            news=self._news(replicas, present),
            list_digest=digest,
            listed=listed if whole and digest != note.list_digest else None,
            silent_zones=sorted(reach.silent_zones),
            cut_off=reach.cut_off,
            allowances=self._allowances(),
            cold={r.name: r.cold_s for r in listed if r.cold_s > 0.0},
            quarantine=self._quarantine.make_update(),
            limits=self._limits.updates(),
            paces=self._paces.updates_for_member(member, new=not note.list_digest),
        )

    def _engine_replicas(self, service: str) -> list[Replica]:
        """Return the replicas that stay or left lately: generations still run at these."""
        since = self._clock() - LEAVING_REPORTED_S
        names = self._directory.leaving(service, since)
        leaving = [r for r in map(self._directory.find, names) if r is not None]
        staying = self._directory.staying(service)
        return staying + [r for r in leaving if r not in staying]

    def _shares_for(
        self, member: str, replicas: list[Replica], present: Set[str]
    ) -> list[ReplicaShare]:
        """Return what all but one member have at each replica."""
        now = self._clock()
        own = {share.replica: share for share in self._book.shares(now)}
        found = []
        for replica in replicas:
            share = self._shared.at(replica.name, now, without=member)
            if replica.name in own:
                share = total([share, own[replica.name]])
            found.append(share if replica.name in present else shortened(share))
        return found

    def _news(self, replicas: list[Replica], present: Set[str]) -> list[ReplicaNews]:
        now = self._clock()
        found = []
        for replica in replicas:
            leaves = not self._directory.stays(replica.name)
            if leaves or replica.name in present:
                news = self._book.state(replica.name).news(now)
                if news is not None:
                    found.append(news)
        return found

    def _allowances(self) -> dict[str, float]:
        now = self._clock()
        found = {
            r.name: self._book.state(r.name).health.allowance(now) for r in self._directory.all()
        }
        return {name: value for name, value in found.items() if value < 1.0}
