"""Simulation of replicas on real data folders, of which all may lose their power at once.

What was synced lasts; what was not is lost, torn or reordered. Beside edits there
are claims of requests that may run once, and their stored answers.
"""

import shutil
from pathlib import Path

import msgspec

from reachlink.agreement import Effects, Entry, EntryKind, Log, NotLeaderError, Storage
from reachlink.agreement._messages import AppendRequest, decode_members
from reachlink.agreement._records import SnapshotRecord
from reachlink.agreement.tests.unsynced_files import PowerLostError, UnsyncedFiles
from reachlink.agreement.tests.world import BrokenPromiseError, Disk, Node, World
from reachlink.control import (
    ClaimCommand,
    ClaimResult,
    ClaimStatus,
    Command,
    CompleteCommand,
    StoredAnswer,
)
from reachlink.messaging import encode

KEEP_S = 1e9
KEYS = 6
# Share of the steps of a replica in which its power fails, and after how many file operations.
POWER_LOSS_RATE = 0.02
MAX_OPERATIONS = 8
# Rounds of proposals before the end of the day, and messages delivered in each.
DELIVERIES = 40
ROUNDS = 400

_decode = msgspec.msgpack.Decoder(Command).decode


class FolderDisk(Disk):
    """Data folder of one replica."""

    def __init__(self, folder: Path, files: UnsyncedFiles) -> None:
        super().__init__()
        self.folder = folder
        self.files = files
        self.storage: Storage | None = None

    def open(self) -> None:
        founding = self.log.snapshot_members
        self.close()
        self.storage = Storage(self.folder, self.files)
        loaded = self.storage.load()
        if loaded.snapshot is None:
            loaded.log.snapshot_members = founding
        self.log, self.snapshot = loaded.log, loaded.snapshot
        self.term, self.voted_for = loaded.term, loaded.voted_for

    def close(self) -> None:
        if self.storage is not None:
            self.storage.close()
        self.storage = None

    def persist(self, effects: Effects, term: int, voted_for: str, core_log: Log) -> None:
        super().persist(effects, term, voted_for, core_log)
        assert self.storage is not None
        if effects.install_snapshot is not None:
            self._save()
        elif effects.must_sync():
            self.storage.persist(effects, term, voted_for)

    def compact(self, snapshot: bytes, core_log: Log) -> None:
        super().compact(snapshot, core_log)
        self._save()

    def _save(self) -> None:
        assert self.storage is not None
        log = self.log
        record = SnapshotRecord(
            log.snapshot_index, log.snapshot_term, log.snapshot_members, self.snapshot or b""
        )
        self.storage.save_snapshot(record, self.term, self.voted_for, log.entries)


class PowerNode(Node):
    """Replica whose machine may lose its power between any two file operations."""

    world: "PowerWorld"
    disk: FolderDisk

    def execute_effects(self) -> None:
        random = self.world.random
        if random.random() < self.world.power_loss_rate:
            self.disk.files.operations_left = random.randint(1, MAX_OPERATIONS)
        try:
            super().execute_effects()
        except PowerLostError:
            self.lose_power()
        self.disk.files.operations_left = None

    def lose_power(self) -> None:
        self.core = None
        self.disk.close()
        self.disk.files.lose_power()


class PowerWorld(World):
    """Replicas on data folders below `folder`."""

    node_class = PowerNode

    def __init__(self, seed: int, voters: int, folder: Path) -> None:
        self.folder = folder
        self.power_loss_rate = POWER_LOSS_RATE
        self.disks: list[FolderDisk] = []
        self.claim_results: dict[int, ClaimResult] = {}
        self.granted: dict[str, str] = {}
        self.answers: dict[str, StoredAnswer] = {}
        super().__init__(seed, voters)

    def make_disk(self) -> Disk:
        folder = self.folder / f"disk-{len(self.disks)}"
        folder.mkdir()
        disk = FolderDisk(folder, UnsyncedFiles(folder, self.random))
        self.disks.append(disk)
        return disk

    def close(self) -> None:
        for disk in self.disks:
            disk.close()
            shutil.rmtree(disk.folder)

    def propose_edit(self) -> None:
        """Propose an edit, a claim or how a claimed request ended."""
        if self.random.random() < 0.5:
            super().propose_edit()
            return
        number = self.random.randrange(KEYS)
        request = f"r{self.random.randrange(3)}"
        at = float(len(self.edits))
        command: Command = ClaimCommand("w", f"k{number}", "h", request, "entry", KEEP_S, at)
        if self.random.random() < 0.5:
            answer = StoredAnswer(200, "", f"{request} ran {self.random.random()}".encode())
            command = CompleteCommand("w", f"k{number}", request, "ran", answer, at)
        for leader in [n for n in self.running() if n.core.is_leader]:
            try:
                leader.core.propose([encode(command)], self.now)
            except NotLeaderError:
                continue
            leader.execute_effects()

    def check_result(self, entry: Entry, result: object) -> None:
        super().check_result(entry, result)
        if not isinstance(result, ClaimResult):
            return
        first = self.claim_results.setdefault(entry.index, result)
        if first is not result:
            if first != result:
                raise BrokenPromiseError(f"entry {entry.index} got {result} after {first}")
            return
        command = _decode(entry.data)
        assert isinstance(command, ClaimCommand | CompleteCommand)
        self._check_claim(command, result)

    def _check_claim(self, command: ClaimCommand | CompleteCommand, result: ClaimResult) -> None:
        key = command.key
        if result.status is ClaimStatus.GRANTED:
            holder = self.granted.setdefault(key, result.request_id)
            if holder != result.request_id or key in self.answers:
                raise BrokenPromiseError(f"{key} is granted to {result.request_id} after {holder}")
        if isinstance(command, CompleteCommand) and result.status is ClaimStatus.DONE:
            assert result.answer is not None
            self.answers[key] = result.answer
        elif result.status is ClaimStatus.DONE and result.answer != self.answers.get(key):
            raise BrokenPromiseError(f"{key} got {result.answer} for {self.answers.get(key)}")

    def start_all(self) -> None:
        self.blocked.clear()
        for node in self.nodes.values():
            if node.core is None:
                node.start()

    def end_day(self, elect_first: bool, change_members: bool) -> bool:
        """Lose one disk and the power of all other replicas right after something is accepted.

        Parameters
        ----------
        elect_first : bool
            Whether the leader is stopped first, so that another one accepts.
        change_members : bool
            Whether membership changes are proposed meanwhile.

        Returns
        -------
        bool
            Whether the lost disk is one whose loss must be borne.
        """
        self.power_loss_rate = 0.0
        self.crash_rate = 0.0
        self.start_all()
        if elect_first:
            for node in self.running():
                if node.core.is_leader:
                    node.core = None
        before = len(self.results) + len(self.claim_results)
        for _ in range(ROUNDS):
            self.pass_time(0.05)
            self.propose_edit()
            if change_members:
                self.change_members()
            for _ in range(DELIVERIES):
                self.deliver()
                if len(self.results) + len(self.claim_results) > before:
                    return self._lose_disk_and_power()
        return False

    def lose_disk(self) -> None:
        """Remove the leader or a random replica, with its disk, if that must be borne."""
        leaders = [n.node_id for n in self.running() if n.core.is_leader]
        if leaders and self.random.random() < 0.5:
            self.lose_disk_of(self.random.choice(leaders))
        else:
            super().lose_disk()

    def lose_disk_of(self, victim: str) -> None:
        """Remove a replica and its disk, unless a membership, be it on its way, forbids it."""
        rest = set(self.nodes) - {victim}
        sent = [m.entries for _, _, m in self.network if isinstance(m, AppendRequest)]
        if all(self._keeps_majority(Log(entries=entries), rest) for entries in sent):
            super().lose_disk_of(victim)

    def _keeps_majority(self, log: Log, alive: set[str]) -> bool:
        # A replica that was added knows no membership at first, but those in its entries.
        changes = [e for e in log.entries if e.kind is EntryKind.MEMBERS]
        memberships = [log.snapshot_members, *(decode_members(e.data) for e in changes)]
        logs = [Log(snapshot_members=members) for members in memberships]
        return all(super(PowerWorld, self)._keeps_majority(one, alive) for one in logs)

    def _lose_disk_and_power(self) -> bool:
        nodes = len(self.nodes)
        self.lose_disk()
        self.network.clear()
        for node in self.nodes.values():
            assert isinstance(node, PowerNode)
            node.lose_power()
        for node in self.nodes.values():
            node.start()
        return len(self.nodes) < nodes
