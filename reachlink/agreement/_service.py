"""Event loop around `Core`: persists, sends, applies and completes proposals."""

import asyncio
import contextlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

import msgspec

from reachlink.agreement._core import Core
from reachlink.agreement._membership_planner import MemberHealth
from reachlink.agreement._messages import Entry, EntryKind, Member, Message
from reachlink.agreement._records import SnapshotRecord
from reachlink.agreement._state import Effects, Timing
from reachlink.agreement._storage import LoadedState, Storage
from reachlink.agreement.exceptions import (
    AgreementError,
    DiskFullError,
    MembershipChangeError,
    NotLeaderError,
    ProposalLostError,
)
from reachlink.kernel import Clock
from reachlink.telemetry import get_logger

# Applied entries from which a log that is at least as large as its snapshot is compacted.
MIN_SNAPSHOT_ENTRIES = 400
# Applied entries from which a log is compacted even if it is smaller than its snapshot.
MAX_LOG_ENTRIES = 20_000
# A log above this size in bytes is compacted whatever its number of entries: large
# commands would otherwise exhaust memory before the entry limit is reached.
MAX_LOG_BYTES = 4 << 20
# Framing overhead of an entry on disk, in bytes.
ENTRY_OVERHEAD_BYTES = 24
# Interval between checks of a commit, a lease or an applied entry, in seconds.
POLL_INTERVAL_S = 0.01
# Interval between retries of a write while the disk is full, in seconds.
DISK_FULL_RETRY_INTERVAL_S = 0.2
# Interval between attempts to save a snapshot of the own state while the disk is full, in
# seconds. The log goes on meanwhile.
SNAPSHOT_RETRY_INTERVAL_S = 2.0

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class StateMachine(Protocol):
    """Replicated state machine; every replica applies the same entries in order."""

    def apply(self, index: int, term: int, command: bytes) -> Any:
        """Apply a committed command and return its result."""

    def on_members(self, index: int, members: list[Member]) -> None:
        """Handle a committed membership."""

    def snapshot(self) -> bytes:
        """Return the serialized state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a serialized one."""


@dataclass(slots=True)
class _Proposal:
    command: bytes
    future: asyncio.Future[Any]
    term: int = 0


class ReplicaService:
    """Replica with its storage and state machine.

    Parameters
    ----------
    node_id : str
        Identity of the replica.
    storage : Storage
        Data folder of the replica.
    loaded : LoadedState
        State loaded from the data folder.
    machine : StateMachine
        State machine to which committed entries are applied.
    send : callable
        Called with ``(address, payload)``. Sends a message to another replica;
        messages may be lost.
    clock : Clock
        Source of monotonic time.
    timing : Timing, optional
        Heartbeat interval, election timeouts and clock drift bound.
    on_applied : callable, optional
        Called after entries are applied or a snapshot is installed.
    started_at : float, optional
        Monotonic time in seconds at which this process started; see `Core`.
    """

    def __init__(
        self,
        node_id: str,
        storage: Storage,
        loaded: LoadedState,
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
        self._log_bytes = sum(len(e.data) + ENTRY_OVERHEAD_BYTES for e in loaded.log.entries)
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
        self._next_snapshot_at = float("-inf")
        # Positive infinity while nothing is written.
        self._write_began_at = float("inf")
        # A disk that hangs must not keep the event loop.
        self._writer = ThreadPoolExecutor(max_workers=1, thread_name_prefix="log-writer")
        self._ended = False
        # A newly added replica has no membership yet but must reply to the leader.
        self._addresses: dict[str, str] = {}

    @property
    def core(self) -> Core:
        """Raft state machine of the replica; callers must not modify it."""
        return self._core

    @property
    def has_leader_contact(self) -> bool:
        """Whether this replica leads or got a message of the leader within an election timeout.

        A leader that waits for its disk that long doesn't count: others may have elected
        another one meanwhile.
        """
        state = self._core.state
        now = self._clock.monotonic()
        if self._core.is_leader:
            return not self._waits_for_disk()
        silent = now - state.leader_contact_at
        return bool(state.leader) and silent < state.timing.election_max_s

    def member_health(self) -> dict[str, MemberHealth]:
        """Return the health of the other members by node id, as this leader sees it."""
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
        """Queue a message from another replica, whose replies go to `address`."""
        self._addresses[sender] = address
        if self._disk_full or self._waits_for_disk():
            # Nothing can be persisted, and the sender retries what is necessary.
            return
        self._inbox.append((sender, _decode(payload)))
        self._wakeup.set()

    async def propose(self, command: bytes) -> Any:
        """Append a command to the log and return its result once it is applied.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader, waits for its disk or has ended. Nothing
            was proposed.
        ProposalLostError
            If leadership is lost. The command may be committed later, or never.
        """
        if self._disk_full or self._waits_for_disk() or self._ended:
            raise NotLeaderError("")
        if not self._core.is_leader:
            raise NotLeaderError(self._core.state.leader)
        proposal = _Proposal(command, asyncio.get_running_loop().create_future())
        self._waiting.append(proposal)
        self._wakeup.set()
        return await proposal.future

    def check_members(self, members: list[Member]) -> None:
        """Check whether a membership could be proposed now.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        MembershipChangeError
            If the change is not allowed now.
        """
        self._core.check_members(members, self._clock.monotonic())

    async def committed_members(self, timeout_s: float) -> list[Member]:
        """Return the membership that is committed now.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader, or has no valid lease in time.
        MembershipChangeError
            If a change of the membership is under way.
        """
        await self.barrier(timeout_s)
        state = self._core.state
        if state.members_index > self._applied:
            raise MembershipChangeError("the previous change is not committed yet")
        return list(state.members)

    async def change_members(self, members: list[Member], timeout_s: float) -> None:
        """Propose a membership and wait until it is committed."""
        index = self._core.propose_members(members, self._clock.monotonic())
        term = self._core.state.term
        self._wakeup.set()
        deadline = self._clock.monotonic() + timeout_s
        while self._applied < index:
            if self._core.state.term != term or self._clock.monotonic() > deadline:
                raise ProposalLostError("the membership change may be committed later, or never")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def barrier(self, timeout_s: float) -> int:
        """Return a commit index that includes everything committed before the call.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader, or has no valid lease in time.
        """
        deadline = self._clock.monotonic() + timeout_s
        while True:
            now = self._clock.monotonic()
            state = self._core.state
            term_committed = state.commit >= state.term_start_index
            if self._core.is_leader and term_committed and self._core.lease_expiry() > now:
                return state.commit
            if not self._core.is_leader or now > deadline:
                raise NotLeaderError(state.leader)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_applied(self, index: int, timeout_s: float) -> bool:
        """Wait until the entry at `index` is applied; return False on timeout."""
        deadline = self._clock.monotonic() + timeout_s
        while self._applied < index:
            if self._clock.monotonic() > deadline:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def run(self) -> None:
        """Run until cancelled.

        Raises
        ------
        StorageError
            If the disk fails. Nothing that depends on the failed write is sent.
        """
        try:
            while True:
                await self._step()
                await self._wait_for_work()
        finally:
            self._ended = True
            self._writer.shutdown(wait=False)
            self._fail_all(ProposalLostError("this replica stops"))

    async def _wait_for_work(self) -> None:
        self._wakeup.clear()
        if self._inbox or self._waiting:
            return
        delay = max(0.0, self._core.next_due() - self._clock.monotonic())
        with contextlib.suppress(TimeoutError):
            # Unlike `wait_for`, a cancellation ends it even at the moment of a wake-up.
            async with asyncio.timeout(delay):
                await self._wakeup.wait()

    async def _step(self) -> None:
        now = self._clock.monotonic()
        inbox, self._inbox = self._inbox, []
        for sender, message in inbox:
            self._core.receive(sender, message, now)
        self._core.tick(now)
        self._propose_waiting(now)
        effects = self._core.pop_effects()
        await self._persist(effects)
        self._execute(effects, now)
        await self._compact()
        self._log_role_change()

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
        """Write the durable part of the effects; retry while the disk is full.

        Nothing that depends on the write is sent meanwhile. As with a slow
        disk, the other replicas elect another leader.
        """
        if not effects.must_sync():
            return
        state = self._core.state
        self._write_began_at = self._clock.monotonic()
        while True:
            try:
                await self._write(effects)
                break
            except DiskFullError as error:
                self._begin_disk_full(str(error))
                await asyncio.sleep(DISK_FULL_RETRY_INTERVAL_S)
        self._write_began_at = float("inf")
        if effects.install_snapshot is not None:
            self._log_bytes = 0
        self._log_bytes += sum(len(e.data) + ENTRY_OVERHEAD_BYTES for e in effects.append)
        if self._disk_full:
            self._disk_full = False
            self._log.info("disk_regained", term=state.term, index=state.log.last_index)

    async def _write(self, effects: Effects) -> None:
        state = self._core.state
        hard_state = (state.term, state.voted_for)
        snapshot = effects.install_snapshot
        if snapshot is None:
            await self._in_writer(self._storage.persist, effects, *hard_state)
            return
        record = SnapshotRecord(
            snapshot.index, snapshot.index_term, snapshot.members, snapshot.data
        )
        rest = list(state.log.entries)
        await self._in_writer(self._storage.save_snapshot, record, *hard_state, rest)

    async def _in_writer(self, write: Callable[..., None], *arguments: Any) -> None:
        """Run a write in the writer's thread; where cancelled, return only after the write."""
        loop = asyncio.get_running_loop()
        writing = loop.run_in_executor(self._writer, write, *arguments)
        try:
            await asyncio.shield(writing)
        except asyncio.CancelledError:
            await asyncio.wait({writing})
            raise

    def _waits_for_disk(self) -> bool:
        """Whether a write takes so long that others may have elected another leader."""
        waited = self._clock.monotonic() - self._write_began_at
        return waited >= self._core.state.timing.election_max_s

    def _begin_disk_full(self, reason: str) -> None:
        if self._disk_full:
            return
        self._disk_full = True
        self._inbox.clear()
        waiting, self._waiting = self._waiting, []
        for proposal in waiting:
            _fail(proposal, NotLeaderError(""))
        self._log.error("disk_full", reason=reason, role=self._core.state.role.value)

    def _execute(self, effects: Effects, now: float) -> None:
        state = self._core.state
        if effects.install_snapshot is not None:
            snapshot = effects.install_snapshot
            self._snapshot = snapshot.data
            self._machine.restore(snapshot.data)
            self._applied = snapshot.index
        self._addresses.update((m.node_id, m.address) for m in state.members)
        for node, message in effects.messages:
            self._send_to(node, message)
        for node in effects.snapshot_to:
            self._send_to(node, self._core.snapshot_message(self._snapshot, now))
        for entry in effects.committed:
            self._apply(entry)
        if self._on_applied is not None and (effects.committed or effects.install_snapshot):
            self._on_applied()
        self._core.step_down_if_removed(now)

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

    async def _compact(self) -> None:
        log = self._core.state.log
        entries = self._applied - log.snapshot_index
        # The cost of a snapshot grows with its size: compact only once the log is as large.
        large = self._log_bytes >= len(self._snapshot)
        due = entries >= MIN_SNAPSHOT_ENTRIES and (large or entries >= MAX_LOG_ENTRIES)
        if not due and self._log_bytes < MAX_LOG_BYTES:
            return
        if not entries or self._clock.monotonic() < self._next_snapshot_at:
            return
        await self._save_snapshot()

    async def _save_snapshot(self) -> None:
        state = self._core.state
        log = state.log
        snapshot = self._machine.snapshot()
        _, members = log.members_at(self._applied)
        term = log.term_at(self._applied)
        assert term is not None
        record = SnapshotRecord(self._applied, term, members, snapshot)
        rest = log.slice(self._applied + 1, len(log.entries))
        hard_state = (state.term, state.voted_for)
        self._write_began_at = self._clock.monotonic()
        try:
            await self._in_writer(self._storage.save_snapshot, record, *hard_state, rest)
        except DiskFullError as error:
            self._next_snapshot_at = self._clock.monotonic() + SNAPSHOT_RETRY_INTERVAL_S
            self._log.error("snapshot_postponed", reason=str(error), index=self._applied)
            return
        finally:
            self._write_began_at = float("inf")
        self._core.compact(self._applied)
        self._snapshot = snapshot
        self._log_bytes = 0
        self._log.info("snapshot_saved", index=self._applied, bytes=len(self._snapshot))

    def _log_role_change(self) -> None:
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
