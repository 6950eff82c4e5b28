"""Answers the requests of `_protocol` from one replica of the log."""

import asyncio
from dataclasses import dataclass
from functools import singledispatchmethod

import msgspec

from reachlink.agreement import (
    AgreementError,
    Candidate,
    Member,
    MembershipChangeError,
    NotLeaderError,
    ProposalLostError,
    ReplicaService,
    Storage,
)
from reachlink.control._commands import NoteCommand
from reachlink.control._machine import ControlMachine
from reachlink.control._protocol import (
    CHANNEL_CONTROL,
    CHANNEL_ROSTER,
    AnnounceAnswer,
    AnnounceRequest,
    Answer,
    AuditAnswer,
    AuditRequest,
    BarrierAnswer,
    BarrierRequest,
    LostAnswer,
    MembersAnswer,
    MembersRequest,
    ProposeAnswer,
    ProposeRequest,
    RefusedAnswer,
    ReplicaStatus,
    Request,
    RosterNote,
    StatusAnswer,
    StatusRequest,
    WatcherStatus,
    WatchRequest,
)
from reachlink.kernel import Clock
from reachlink.membership import InstanceRecord, Roster, SettingsAnswer
from reachlink.messaging import Bus, MessagingError, PeerUnreachableError, decode, encode
from reachlink.settings import SettingsTree

FORWARD_TIMEOUT_S = 0.4
BARRIER_TIMEOUT_S = 1.5
MEMBERS_TIMEOUT_S = 5.0
WATCHER_FORGOTTEN_S = 60.0
# Watchers that asked within this many seconds are told of to other instances.
WATCHER_RECENT_S = 2.0
# How long an announcement counts, in seconds; it is repeated every second.
CANDIDATE_FORGOTTEN_S = 5.0
# How soon a waiting watcher is told that the leader was lost, in seconds.
STALE_CHECK_S = 0.25


@dataclass(slots=True)
class _Watcher:
    revision: int
    seen_at: float
    record: InstanceRecord


class ControlServer:
    """Serves entry daemons, operators and the other control instances.

    Parameters
    ----------
    service : ReplicaService
        The replica of the log.
    machine : ControlMachine
        Its state.
    storage : Storage
        Its data folder.
    bus : Bus
        For forwarding to the leader.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        service: ReplicaService,
        machine: ControlMachine,
        storage: Storage,
        bus: Bus,
        clock: Clock,
    ) -> None:
        self._service = service
        self._machine = machine
        self._storage = storage
        self._bus = bus
        self._clock = clock
        self._watchers: dict[str, _Watcher] = {}
        self._changed = asyncio.Event()
        self._roster = Roster()
        self._announced: dict[str, tuple[float, Candidate]] = {}

    async def handle(self, sender: str, body: bytes) -> bytes:
        """Answer one request from the bus."""
        return encode(await self.answer(decode(body, Request)))  # type: ignore[arg-type]

    @singledispatchmethod
    async def answer(self, request: Request) -> Answer:
        """Answer one request.

        Parameters
        ----------
        request : Request
            Any of the request types.

        Returns
        -------
        Answer
            Its answer, or `RefusedAnswer` or `LostAnswer`.
        """
        raise TypeError(f"unknown request {type(request).__name__}")

    @answer.register
    async def _(self, request: ProposeRequest) -> Answer:
        if not self._service.core.is_leader and not request.forwarded:
            return await self._forward(ProposeRequest(request.command, forwarded=True))
        try:
            return ProposeAnswer(await self._service.propose(encode(request.command)))
        except NotLeaderError as error:
            return RefusedAnswer(str(error), self._leader_address())
        except ProposalLostError as error:
            return LostAnswer(str(error))

    @answer.register
    async def _(self, request: WatchRequest) -> Answer:
        now = self._clock.monotonic()
        asker = InstanceRecord(request.instance, request.address, request.availability_zone)
        self._watchers[request.instance] = _Watcher(request.revision, now, asker)
        if asker.address:
            self._roster.note([asker], now)
        fresh = request.fresh and await self.catch_up()
        deadline = now + request.wait_s
        while self._machine.tree.revision <= request.revision:
            left = deadline - self._clock.monotonic()
            if left <= 0 or not self._service.hears_leader:
                break
            await self._wait_change(min(left, STALE_CHECK_S))
        answer = self._settings_since(request.revision, fresh)
        peers = self._roster.peers_of(asker, self._clock.monotonic()) if asker.address else []
        return msgspec.structs.replace(answer, peers=peers)

    @answer.register
    async def _(self, request: AnnounceRequest) -> Answer:
        if not self._service.core.is_leader:
            if request.forwarded:
                return RefusedAnswer("this instance does not lead", self._leader_address())
            return await self._forward(msgspec.structs.replace(request, forwarded=True))
        candidate = Candidate(request.node_id, request.address, request.availability_zone)
        self.note_candidate(candidate)
        return AnnounceAnswer(self._stands_in_membership(candidate))

    @answer.register
    async def _(self, request: BarrierRequest) -> Answer:
        try:
            return BarrierAnswer(await self._service.barrier(BARRIER_TIMEOUT_S))
        except NotLeaderError as error:
            return RefusedAnswer(str(error), self._leader_address())

    @answer.register
    async def _(self, request: AuditRequest) -> Answer:
        return AuditAnswer(self._machine.audit.since(request.since, request.limit))

    @answer.register
    async def _(self, request: MembersRequest) -> Answer:
        if not self._service.core.is_leader and not request.forwarded:
            return await self._forward(_forwarded(request))
        try:
            return await self._change_members(request)
        except ProposalLostError as error:
            return LostAnswer(str(error))
        except AgreementError as error:
            return RefusedAnswer(str(error), self._leader_address())

    @answer.register
    async def _(self, request: StatusRequest) -> Answer:
        state = self._service.core.state
        return StatusAnswer(
            node_id=state.node_id,
            role=state.role.value,
            term=state.term,
            leader=state.leader,
            commit=state.commit,
            applied=self._service.applied,
            revision=self._machine.tree.revision,
            disk_bytes=self._storage.size_bytes(),
            replicas=self._replica_statuses(),
            watchers=self._watcher_statuses(),
        )

    async def on_roster(self, sender: str, body: bytes) -> None:
        """Take what another control instance tells of its watchers."""
        self._roster.note(decode(body, RosterNote).instances, self._clock.monotonic())

    def tell_roster(self) -> None:
        """Tell the other control instances who watches this one."""
        recent = self._clock.monotonic() - WATCHER_RECENT_S
        own = [w.record for w in self._watchers.values() if w.record.address and w.seen_at > recent]
        if not own:
            return
        note = encode(RosterNote(own))
        state = self._service.core.state
        for member in state.members:
            if member.node_id != state.node_id:
                self._bus.send(member.address, CHANNEL_ROSTER, note)

    @property
    def tree(self) -> SettingsTree:
        """Settings as this instance has applied them."""
        return self._machine.tree

    def note_candidate(self, candidate: Candidate) -> None:
        """A replica has announced itself."""
        self._announced[candidate.address] = (self._clock.monotonic(), candidate)

    def candidates(self) -> list[Candidate]:
        """Return the replicas that announced themselves lately."""
        oldest = self._clock.monotonic() - CANDIDATE_FORGOTTEN_S
        self._announced = {a: c for a, c in self._announced.items() if c[0] >= oldest}
        return [candidate for _, candidate in self._announced.values()]

    def _stands_in_membership(self, candidate: Candidate) -> bool:
        return any(
            (m.node_id, m.availability_zone) == (candidate.node_id, candidate.availability_zone)
            for m in self._service.core.state.members
        )

    def on_applied(self) -> None:
        """Wake every watcher: the state may have changed."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _wait_change(self, timeout_s: float) -> bool:
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def _forward(self, request: Request) -> Answer:
        address = self._leader_address()
        if not address:
            return RefusedAnswer("there is no leader now")
        try:
            raw = await self._bus.call(address, CHANNEL_CONTROL, encode(request), FORWARD_TIMEOUT_S)
            return decode(raw, Answer)  # type: ignore[arg-type]
        except PeerUnreachableError as error:
            return RefusedAnswer(f"the leader cannot be reached: {error}")
        except MessagingError as error:
            return LostAnswer(f"the leader did not answer: {error}")

    async def catch_up(self) -> bool:
        """Apply everything committed before now; return whether that was possible."""
        if self._service.core.is_leader:
            answer = await self.answer(BarrierRequest())
        else:
            answer = await self._forward(BarrierRequest())
        if not isinstance(answer, BarrierAnswer):
            return False
        return await self._service.wait_applied(answer.index, BARRIER_TIMEOUT_S)

    def _settings_since(self, revision: int, fresh: bool) -> SettingsAnswer:
        tree = self._machine.tree
        stale = not self._service.hears_leader
        controls = [
            InstanceRecord(m.node_id, m.address, m.availability_zone)
            for m in self._service.core.state.members
        ]
        answer = SettingsAnswer(tree.revision, fresh, stale=stale, controls=controls)
        if tree.revision <= revision:
            return answer
        deltas = self._machine.deltas_since(revision)
        if deltas is not None:
            return msgspec.structs.replace(answer, deltas=deltas)
        return msgspec.structs.replace(answer, values=dict(tree.values))

    async def _change_members(self, request: MembersRequest) -> Answer:
        members = _changed(self._service.core.state.members, request)
        detail = f"{request.action} {request.node_id} {request.address}".strip()
        note = NoteCommand("members", request.author, request.source, detail, self._clock.wall())
        await self._service.propose(encode(note))
        await self._service.change_members(members, MEMBERS_TIMEOUT_S)
        return MembersAnswer(members)

    def _leader_address(self) -> str:
        state = self._service.core.state
        found = [m.address for m in state.members if m.node_id == state.leader]
        return found[0] if found else ""

    def _replica_statuses(self) -> list[ReplicaStatus]:
        state = self._service.core.state
        now = self._clock.monotonic()
        statuses: list[ReplicaStatus] = []
        for member in state.members:
            progress = state.progress.get(member.node_id)
            own = member.node_id == state.node_id
            match = state.log.last_index if own else progress.match_index if progress else -1
            silent = 0.0 if own else now - progress.heard_at if progress else -1.0
            statuses.append(
                ReplicaStatus(
                    member.node_id,
                    member.address,
                    member.availability_zone,
                    member.voting,
                    match,
                    min(silent, 1e9),
                )
            )
        return statuses

    def _watcher_statuses(self) -> list[WatcherStatus]:
        now = self._clock.monotonic()
        for name, watcher in list(self._watchers.items()):
            if now - watcher.seen_at > WATCHER_FORGOTTEN_S:
                del self._watchers[name]
        return [
            WatcherStatus(name, watcher.revision, now - watcher.seen_at)
            for name, watcher in sorted(self._watchers.items())
        ]


def _forwarded(request: MembersRequest) -> MembersRequest:
    return MembersRequest(
        request.action,
        request.node_id,
        request.address,
        request.availability_zone,
        request.author,
        request.source,
        forwarded=True,
    )


def _changed(members: list[Member], request: MembersRequest) -> list[Member]:
    """Return the membership after adding, promoting or removing one replica."""
    others = [m for m in members if m.node_id != request.node_id]
    held = next((m for m in members if m.node_id == request.node_id), None)
    if request.action == "add":
        if held is not None:
            raise MembershipChangeError(f"{request.node_id} is a member already")
        added = Member(request.node_id, request.address, request.availability_zone, False)
        return [*others, added]
    if held is None:
        raise MembershipChangeError(f"{request.node_id} is not a member")
    if request.action == "remove":
        return others
    if request.action == "promote":
        return [*others, Member(held.node_id, held.address, held.availability_zone, True)]
    raise MembershipChangeError(f"unknown action {request.action!r}: use add, promote or remove")
