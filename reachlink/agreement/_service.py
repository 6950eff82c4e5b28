"""The shell around `Core`: one loop that syncs, sends, applies and answers."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

import msgspec

from reachlink.agreement._core import Core
from reachlink.agreement._messages import Entry, EntryKind, Member, Message
from reachlink.agreement._records import SnapshotRecord
from reachlink.agreement._state import Effects, Timing
from reachlink.agreement._steward import MemberHealth
from reachlink.agreement._storage import Loaded, Storage
from reachlink.agreement.exceptions import (
    AgreementError,
    DiskFullError,
    NotLeaderError,
    ProposalLostError,
)
from reachlink.kernel import Clock
from reachlink.telemetry import get_logger

SNAPSHOT_ENTRIES = 400
MAX_LOG_ENTRIES = 20_000
# A log that is larger is folded into a snapshot whatever its length: large
# commands would else fill the memory before there are enough of them.
MAX_LOG_BYTES = 4 << 20
# Framing of an entry on disk, besides its command.
ENTRY_BYTES = 24
POLL_S = 0.01
# How often a write is tried again while the disk is full, in seconds.
DISK_RETRY_S = 0.2

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class StateMachine(Protocol):
    """What the log drives; every replica applies the same entries in order."""

    def apply(self, index: int, term: int, command: bytes) -> Any:
        """Apply a committed command and return its result."""

    def on_members(self, index: int, members: list[Member]) -> None:
        """A membership was committed."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


@dataclass(slots=True)
class _Proposal:
    command: bytes
    future: asyncio.Future[Any]
    term: int = 0


class ReplicaService:
    """One replica with its disk and its state machine.

    Parameters
    ----------
    node_id : str
        Identity of the replica.
    storage : Storage
        Its data folder.
    loaded : Loaded
        What the folder held.
    machine : StateMachine
        What the log drives.
    send : callable
        Sends ``(address, payload)`` to another replica, or drops it.
    clock : Clock
        Source of time.
    timing : Timing
        Durations.
    on_applied : callable, optional
        Called after entries were applied or a snapshot was installed.
    started_at : float, optional
        When this process started, in monotonic seconds; see `Core`.
    """

    def __init__(
        self,
        node_id: str,
        storage: Storage,
        loaded: Loaded,
        machine: StateMachine,
        send: Callable[[str, bytes], object],
        clock: Clock,
        timing: Timing | None = None,
        on_applied: Callable[[], None] | None = None,
        started_at: float | None = None,
    ) -> None:
        self._on_applied = on_applied
        self._storage = storage
        self._machine = machine
        self._send = send
        self._clock = clock
        self._core = Core(
            node_id,
            loaded.log,
            loaded.term,
            loaded.voted_for,
            timing or Timing(),
            Random(node_id),
            clock.monotonic(),
            started_at,
        )
        self._snapshot = loaded.snapshot or b""
        self._log_bytes = sum(len(e.data) + ENTRY_BYTES for e in loaded.log.entries)
        if loaded.snapshot is not None:
            machine.restore(loaded.snapshot)
        self._applied = loaded.log.snapshot_index
        self._waiting: list[_Proposal] = []
        self._proposed: dict[int, _Proposal] = {}
        self._inbox: list[tuple[str, Message]] = []
        self._wakeup = asyncio.Event()
        self._log = get_logger()
        self._role = ""
        self._disk_full = False
        # A replica that was just added knows no membership yet, but must answer.
        self._addresses: dict[str, str] = {}

    @property
    def core(self) -> Core:
        """The decision logic, to be read only."""
        return self._core

    @property
    def hears_leader(self) -> bool:
        """Whether this replica leads, or has heard the leader within an election time-out."""
        state = self._core.state
        if self._core.is_leader:
            return True
        silent = self._clock.monotonic() - state.heard_leader_at
        return bool(state.leader) and silent < state.timing.election_max_s

    def member_health(self) -> dict[str, MemberHealth]:
        """Return what this leader knows of the other members, by node id."""
        state = self._core.state
        now = self._clock.monotonic()
        return {
            node: MemberHealth(now - p.acked_sent_at, p.match_index >= state.commit)
            for node, p in state.progress.items()
        }

    @property
    def applied(self) -> int:
        """Index of the last applied entry."""
        return self._applied

    def receive(self, sender: str, address: str, payload: bytes) -> None:
        """Take a message of another replica that is reached at `address`."""
        self._addresses[sender] = address
        if self._disk_full:
            # It could not be acted on, and the sender repeats what matters.
            return
        self._inbox.append((sender, _decode(payload)))
        self._wakeup.set()

    async def propose(self, command: bytes) -> Any:
        """Add a command to the log and return its result once it is applied.

        Raises
        ------
        NotLeaderError
            Nothing was proposed.
        ProposalLostError
            The command may be committed later, or never.
        """
        if not self._core.is_leader or self._disk_full:
            raise NotLeaderError("" if self._disk_full else self._core.state.leader)
        proposal = _Proposal(command, asyncio.get_running_loop().create_future())
        self._waiting.append(proposal)
        self._wakeup.set()
        return await proposal.future

    async def change_members(self, members: list[Member], timeout_s: float) -> None:
        """Propose a membership and wait until it is committed."""
        index = self._core.propose_members(members, self._clock.monotonic())
        term = self._core.state.term
        self._wakeup.set()
        deadline = self._clock.monotonic() + timeout_s
        while self._applied < index:
            if self._core.state.term != term or self._clock.monotonic() > deadline:
                raise ProposalLostError("the membership change may be committed later, or never")
            await asyncio.sleep(POLL_S)

    async def barrier(self, timeout_s: float) -> int:
        """Return an index that covers everything committed before the call.

        Raises
        ------
        NotLeaderError
            This replica does not lead, or is not certain of it in time.
        """
        deadline = self._clock.monotonic() + timeout_s
        while True:
            now = self._clock.monotonic()
            state = self._core.state
            opened = state.commit >= state.term_start_index
            if self._core.is_leader and opened and self._core.lease_until() > now:
                return state.commit
            if not self._core.is_leader or now > deadline:
                raise NotLeaderError(state.leader)
            await asyncio.sleep(POLL_S)

    async def wait_applied(self, index: int, timeout_s: float) -> bool:
        """Wait until an entry is applied here; return whether it was in time."""
        deadline = self._clock.monotonic() + timeout_s
        while self._applied < index:
            if self._clock.monotonic() > deadline:
                return False
            await asyncio.sleep(POLL_S)
        return True

    async def run(self) -> None:
        """Work until cancelled.

        Raises
        ------
        StorageError
            The disk failed; nothing that depended on it was sent.
        """
        try:
            while True:
                await self._step()
                await self._wait()
        finally:
            self._fail_all(ProposalLostError("this replica stops"))

    async def _wait(self) -> None:
        self._wakeup.clear()
        if self._inbox or self._waiting:
            return
        delay = max(0.0, self._core.next_due() - self._clock.monotonic())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wakeup.wait(), delay)

    async def _step(self) -> None:
        now = self._clock.monotonic()
        inbox, self._inbox = self._inbox, []
        for sender, message in inbox:
            self._core.receive(sender, message, now)
        self._core.tick(now)
        self._propose_waiting(now)
        effects = self._core.take_effects()
        await self._persist(effects)
        self._carry_out(effects, now)
        self._note_role()

    def _propose_waiting(self, now: float) -> None:
        waiting, self._waiting = self._waiting, []
        if not waiting:
            return
        try:
            indexes = self._core.propose([p.command for p in waiting], now)
        except NotLeaderError as error:
            for proposal in waiting:
                _fail(proposal, error)
            return
        for index, proposal in zip(indexes, waiting, strict=True):
            proposal.term = self._core.state.term
            self._proposed[index] = proposal

    async def _persist(self, effects: Effects) -> None:
        """Write what a step must not forget; wait while the disk is full.

        Nothing that depends on it is sent meanwhile, as on a slow disk: the
        others elect another leader.
        """
        if effects.install is not None or not effects.must_sync():
            return
        state = self._core.state
        while True:
            try:
                self._storage.persist(effects, state.term, state.voted_for)
                break
            except DiskFullError as error:
                self._note_disk_full(str(error))
                await asyncio.sleep(DISK_RETRY_S)
        self._log_bytes += sum(len(e.data) + ENTRY_BYTES for e in effects.append)
        if self._disk_full:
            self._disk_full = False
            self._log.info("disk_regained", term=state.term, index=state.log.last_index)

    def _note_disk_full(self, reason: str) -> None:
        if self._disk_full:
            return
        self._disk_full = True
        self._inbox.clear()
        waiting, self._waiting = self._waiting, []
        for proposal in waiting:
            _fail(proposal, NotLeaderError(""))
        self._log.error("disk_full", reason=reason, role=self._core.state.role.value)

    def _carry_out(self, effects: Effects, now: float) -> None:
        state = self._core.state
        if effects.install is not None:
            install = effects.install
            record = SnapshotRecord(
                install.index, install.index_term, install.members, install.data
            )
            self._storage.save_snapshot(record, state.term, state.voted_for, state.log.entries)
            self._snapshot = install.data
            self._machine.restore(install.data)
            self._applied = install.index
        self._addresses.update((m.node_id, m.address) for m in state.members)
        for node, message in effects.messages:
            self._send_to(node, message)
        for node in effects.snapshot_to:
            self._send_to(node, self._core.snapshot_message(self._snapshot, now))
        for entry in effects.committed:
            self._apply(entry)
        if self._on_applied is not None and (effects.committed or effects.install):
            self._on_applied()
        self._core.step_down_if_removed(now)
        self._compact()

    def _send_to(self, node: str, message: Message) -> None:
        if node in self._addresses:
            self._send(self._addresses[node], _encode(message))

    def _apply(self, entry: Entry) -> None:
        result: Any = None
        if entry.kind is EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.term, entry.data)
        elif entry.kind is EntryKind.MEMBERS:
            _, members = self._core.state.log.members_at(entry.index)
            self._machine.on_members(entry.index, members)
        self._applied = entry.index
        proposal = self._proposed.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term != entry.term:
            _fail(proposal, ProposalLostError("another leader's entry took its place"))
        elif not proposal.future.done():
            proposal.future.set_result(result)

    def _compact(self) -> None:
        log = self._core.state.log
        entries = self._applied - log.snapshot_index
        # A snapshot costs as much as it is large: the log may grow to its size first.
        large = self._log_bytes >= len(self._snapshot)
        due = entries >= SNAPSHOT_ENTRIES and (large or entries >= MAX_LOG_ENTRIES)
        if not due and self._log_bytes < MAX_LOG_BYTES:
            return
        if not entries:
            return
        self._snapshot = self._machine.snapshot()
        self._core.compact(self._applied)
        record = SnapshotRecord(
            log.snapshot_index, log.snapshot_term, log.snapshot_members, self._snapshot
        )
        state = self._core.state
        self._storage.save_snapshot(record, state.term, state.voted_for, log.entries)
        self._log_bytes = 0
        self._log.info("snapshot_saved", index=self._applied, bytes=len(self._snapshot))

    def _note_role(self) -> None:
        state = self._core.state
        role = state.role.value
        if role == self._role:
            return
        self._role = role
        self._log.info("role_changed", role=role, term=state.term, leader=state.leader)
        if not self._core.is_leader:
            self._fail_all(ProposalLostError("leadership ended"))

    def _fail_all(self, error: AgreementError) -> None:
        for proposal in [*self._proposed.values(), *self._waiting]:
            _fail(proposal, error)
        self._proposed.clear()
        self._waiting.clear()


def _fail(proposal: _Proposal, error: AgreementError) -> None:
    if not proposal.future.done():
        proposal.future.set_exception(error)
