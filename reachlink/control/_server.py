"""Answers the requests of `_protocol` from one replica of the log."""

import asyncio
from functools import singledispatchmethod

import msgspec

from reachlink.agreement import (
    AgreementError,
    Candidate,
    NotLeaderError,
    ProposalLostError,
    ReplicaService,
    Storage,
)
from reachlink.control._commands import NoteCommand
from reachlink.control._held_requests import HeldRequests
from reachlink.control._machine import ControlMachine
from reachlink.control._members import Announcements, changed_members
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
    QuarantineRequest,
    RefusedAnswer,
    ReleaseRequest,
    ReplicaStatus,
    Request,
    RosterNote,
    StatusAnswer,
    StatusRequest,
    WatchRequest,
)
from reachlink.control._watchers import Watchers
from reachlink.kernel import Clock
from reachlink.membership import (
    CoordinationLimits,
    InstanceRecord,
    Outbox,
    SettingsAnswer,
    pack_answer,
    whole_answer,
)
from reachlink.messaging import Bus, MessagingError, PeerUnreachableError, decode, encode
from reachlink.settings import SettingsTree

# How long the leader may take for a forwarded request, in seconds.
FORWARD_TIMEOUT_S = 0.4
# How long a confirmation that nothing newer is committed may take, in seconds.
BARRIER_TIMEOUT_S = 1.5
# How long an operator's change of the membership may take, in seconds.
MEMBERS_TIMEOUT_S = 5.0
# How soon a waiting watcher is told that the leader was lost, in seconds.
STALE_CHECK_S = 0.25


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
    limits : CoordinationLimits, optional
        How many entry instances coordinate placement.
    """

    def __init__(
        self,
        service: ReplicaService,
        machine: ControlMachine,
        storage: Storage,
        bus: Bus,
        clock: Clock,
        limits: CoordinationLimits | None = None,
    ) -> None:
        self._service = service
        self._machine = machine
        self._storage = storage
        self._bus = bus
        self._clock = clock
        self._watchers = Watchers(limits)
        self._outbox = Outbox()
        self._announcements = Announcements()
        self._changed = asyncio.Event()
        self._held = HeldRequests(
            bus, lambda: self._watchers.coordinators(clock.monotonic()), clock
        )

    @property
    def tree(self) -> SettingsTree:
        """Settings as this instance has applied them."""
        return self._machine.tree

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
            return await self._forward(msgspec.structs.replace(request, forwarded=True))
        try:
            return ProposeAnswer(await self._service.propose(encode(request.command)))
        except NotLeaderError as error:
            return RefusedAnswer(str(error), self._leader_address())
        except ProposalLostError as error:
            return LostAnswer(str(error))

    @answer.register
    async def _(self, request: WatchRequest) -> Answer:
        now = self._clock.monotonic()
        self._watchers.note(request, now)
        fresh = request.fresh and await self.catch_up()
        deadline = now + request.wait_s
        while self._machine.tree.revision <= request.revision:
            left = deadline - self._clock.monotonic()
            if left <= 0 or not self._service.has_leader_contact:
                break
            await self._wait_change(min(left, STALE_CHECK_S))
        answer = self._settings_since(request, fresh)
        now = self._clock.monotonic()
        return msgspec.structs.replace(
            answer,
            coordinators=self._watchers.coordinators(now),
            instances=self._watchers.count(now),
        )

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
            return await self._forward(msgspec.structs.replace(request, forwarded=True))
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
            watchers=self._watchers.statuses(self._clock.monotonic()),
        )

    @answer.register
    async def _(self, request: QuarantineRequest) -> Answer:
        return await self._held.show()

    @answer.register
    async def _(self, request: ReleaseRequest) -> Answer:
        return await self._held.release(request.fingerprint)

    async def on_roster(self, sender: str, body: bytes) -> None:
        """Take what another control instance tells of its watchers."""
        records = decode(body, RosterNote).instances
        self._watchers.note_elsewhere(records, self._clock.monotonic(), sender)

    def tell_roster(self) -> None:
        """Tell the other control instances who watches this one, be it nobody."""
        recent = self._watchers.recent(self._clock.monotonic())
        note = encode(RosterNote(recent))
        state = self._service.core.state
        for member in state.members:
            if member.node_id != state.node_id:
                self._bus.send(member.address, CHANNEL_ROSTER, note)

    def note_candidate(self, candidate: Candidate) -> None:
        """A replica has announced itself."""
        self._announcements.note(candidate, self._clock.monotonic())

    def candidates(self) -> list[Candidate]:
        """Return the replicas that announced themselves lately."""
        return self._announcements.recent(self._clock.monotonic())

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
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
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

    def _settings_since(self, request: WatchRequest, fresh: bool) -> SettingsAnswer:
        tree = self._machine.tree
        stale = not self._service.has_leader_contact
        controls = [
            InstanceRecord(m.node_id, m.address, m.availability_zone)
            for m in self._service.core.state.members
        ]
        head = SettingsAnswer(tree.revision, fresh, stale=stale, controls=controls)
        if request.head_only:
            return head
        return pack_answer(self._outbox, head, request.holding, self._content_since)

    def _content_since(self, revision: int) -> SettingsAnswer:
        deltas = self._machine.deltas_since(revision)
        if deltas is None:
            return whole_answer(self._machine.tree)
        return SettingsAnswer(self._machine.tree.revision, False, deltas)

    async def _change_members(self, request: MembersRequest) -> Answer:
        present = self._service.core.state.members
        members = changed_members(present, request)
        if members == present:
            return MembersAnswer(await self._service.committed_members(BARRIER_TIMEOUT_S))
        self._service.check_members(members)
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
            silent = 0.0 if own else now - progress.last_reply_at if progress else -1.0
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
