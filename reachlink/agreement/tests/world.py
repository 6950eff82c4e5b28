"""Simulation of replicas with message loss, partitions, crashes and membership changes.

`Core` and `ControlMachine` are real; the network, the disks and the clock are
simulated with a seeded random generator. The invariants of the replicated log
are checked during each step.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from reachlink.agreement import (
    Core,
    Effects,
    Entry,
    EntryKind,
    Log,
    Member,
    MembershipChangeError,
    Message,
    NotLeaderError,
    Timing,
)
from reachlink.agreement._messages import decode_members
from reachlink.control import ControlMachine, EditCommand, EditResult, EditStatus
from reachlink.messaging import encode
from reachlink.settings import Change

SNAPSHOT_EVERY = 12
PATH = "defaults.limits.queue_length"


class BrokenPromiseError(AssertionError):
    """An invariant of the replicated log is violated."""


@dataclass
class Disk:
    """Synced state of one replica."""

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)
    snapshot: bytes | None = None

    def persist(self, effects: Effects, term: int, voted_for: str, core_log: Log) -> None:
        if effects.hard_state or effects.install_snapshot:
            self.term, self.voted_for = term, voted_for
        if effects.install_snapshot:
            snapshot = effects.install_snapshot
            self.snapshot = snapshot.data
            self.log.reset(snapshot.index, snapshot.index_term, snapshot.members)
            self.log.append(core_log.entries)
            return
        if effects.truncate_from is not None:
            self.log.truncate_from(effects.truncate_from)
        self.log.append(effects.append)

    def open(self) -> None:
        """Load what is synced, at a start."""

    def compact(self, snapshot: bytes, core_log: Log) -> None:
        self.snapshot = snapshot
        self.log = copy_of(core_log)

    def copy_log(self) -> Log:
        return copy_of(self.log)


def copy_of(log: Log) -> Log:
    members, entries = list(log.snapshot_members), list(log.entries)
    return Log(log.snapshot_index, log.snapshot_term, members, entries)


class Node:
    """Replica; `core` is None while it is stopped."""

    def __init__(self, world: "World", node_id: str, founding: list[Member]) -> None:
        self.world = world
        self.node_id = node_id
        self.disk = world.make_disk()
        self.disk.log.snapshot_members = founding
        self.core: Any = None
        self.machine: ControlMachine = world.make_machine()
        self.applied = 0

    def start(self) -> None:
        world = self.world
        self.disk.open()
        self.machine = world.make_machine()
        if self.disk.snapshot is not None:
            self.machine.restore(self.disk.snapshot)
        self.applied = self.disk.log.snapshot_index
        self.core = Core(
            self.node_id,
            self.disk.copy_log(),
            self.disk.term,
            self.disk.voted_for,
            Timing(),
            Random(world.random.getrandbits(32)),
            world.now,
        )

    def execute_effects(self) -> None:
        core, world = self.core, self.world
        assert core is not None
        effects = core.pop_effects()
        if world.random.random() < world.crash_rate:
            # Crash with all or none of this step on disk, before anything is sent.
            if world.random.random() < 0.5:
                self._persist(effects)
            self.core = None
            return
        self._persist(effects)
        if effects.install_snapshot:
            self.machine.restore(effects.install_snapshot.data)
            self.applied = effects.install_snapshot.index
        for to, message in effects.messages:
            world.network.append((self.node_id, to, message))
        for to in effects.snapshot_to:
            message = core.snapshot_message(self.disk.snapshot or b"", world.now)
            world.network.append((self.node_id, to, message))
        for entry in effects.committed:
            self._apply(entry)
        core.step_down_if_removed(world.now)
        if self.applied - core.state.log.snapshot_index >= SNAPSHOT_EVERY:
            self._compact()
        world.check_leader(self)

    def _persist(self, effects: Effects) -> None:
        state = self.core.state
        self.disk.persist(effects, state.term, state.voted_for, state.log)

    def _apply(self, entry: Entry) -> None:
        if entry.index != self.applied + 1:
            raise BrokenPromiseError(f"{self.node_id} applies {entry.index} after {self.applied}")
        self.world.check_committed(self, entry)
        self.applied = entry.index
        if entry.kind is EntryKind.COMMAND:
            before = self.machine.tree.revision
            result = self.machine.apply(entry.index, entry.term, entry.data)
            if self.machine.tree.revision < before:
                raise BrokenPromiseError("a revision decreased")
            self.world.check_result(entry, result)

    def _compact(self) -> None:
        core = self.core
        snapshot = self.machine.snapshot()
        core.compact(self.applied)
        self.disk.compact(snapshot, core.state.log)


class World:
    """Replicas, network and clients of one schedule."""

    node_class = Node

    def __init__(self, seed: int, voters: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.crash_rate = 0.004
        self.network: list[tuple[str, str, Message]] = []
        self.blocked: set[tuple[str, str]] = set()
        self.committed: dict[int, Entry] = {}
        self.leaders: dict[int, str] = {}
        self.results: dict[str, EditResult] = {}
        self.edits: list[EditCommand] = []
        self.lost_at = float("-inf")
        founding = [Member(f"n{i}", "", "", True) for i in range(voters)]
        self.created_nodes = voters
        self.nodes = {m.node_id: self.node_class(self, m.node_id, founding) for m in founding}
        for node in self.nodes.values():
            node.start()

    def make_disk(self) -> Disk:
        return Disk()

    def make_machine(self) -> ControlMachine:
        return ControlMachine()

    def run(self, steps: int) -> None:
        actions = [
            (self.deliver_some, 60),
            (self.pass_time, 25),
            (self.propose_edit, 10),
            (self.partition, 1),
            (self.restart, 2),
            (self.change_members, 2),
            (self.lose_disk, 0.5),
        ]
        names, weights = zip(*actions, strict=True)
        for action in self.random.choices(names, weights, k=steps):
            action()

    def check_liveness(self) -> None:
        """Check liveness: once every replica runs, an edit is accepted in bounded time."""
        self.blocked.clear()
        self.crash_rate = 0.0
        for node in self.nodes.values():
            if node.core is None:
                node.start()
        before = len([r for r in self.results.values() if r.status is EditStatus.ACCEPTED])
        for _ in range(400):
            self.pass_time(0.05)
            self.propose_edit()
            for _ in range(40):
                self.deliver()
            done = [r for r in self.results.values() if r.status is EditStatus.ACCEPTED]
            if len(done) > before:
                return
        raise BrokenPromiseError("no edit is accepted although every replica runs")

    def running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.core is not None]

    def deliver_some(self) -> None:
        for _ in range(self.random.randint(1, 8)):
            self.deliver()

    def deliver(self) -> None:
        if not self.network:
            return
        # Delivers 80% of the messages in order.
        position = 0 if self.random.random() < 0.8 else self.random.randrange(len(self.network))
        sender, to, message = self.network.pop(position)
        fate = self.random.random()
        if (sender, to) in self.blocked or fate < 0.03 or to not in self.nodes:
            return
        if fate < 0.06:
            self.network.append((sender, to, message))
        node = self.nodes[to]
        if node.core is not None:
            node.core.receive(sender, message, self.now)
            node.execute_effects()

    def pass_time(self, most: float = 0.12) -> None:
        self.now += self.random.uniform(0.0, most)
        for node in self.running():
            if node.core.next_due() <= self.now:
                node.core.tick(self.now)
                node.execute_effects()

    def propose_edit(self) -> None:
        """Propose an edit based on the revision of a random replica, or resend an earlier edit."""
        running = self.running()
        if not running:
            return
        node = self.random.choice(running)
        if self.edits and self.random.random() < 0.3:
            command = self.random.choice(self.edits)
        else:
            number = len(self.edits)
            change = Change(PATH, number)
            base = node.machine.tree.revision
            command = EditCommand(f"e{number}", base, [change], "op", "", float(number))
            self.edits.append(command)
        leaders = [n for n in running if n.core.is_leader]
        for leader in leaders:
            try:
                leader.core.propose([encode(command)], self.now)
            except NotLeaderError:
                continue
            leader.execute_effects()

    def partition(self) -> None:
        self.blocked.clear()
        if self.random.random() < 0.4:
            return
        one_way = self.random.random() < 0.4
        side = {n for n in self.nodes if self.random.random() < 0.5}
        for a in side:
            for b in set(self.nodes) - side:
                self.blocked.add((a, b))
                if not one_way:
                    self.blocked.add((b, a))

    def restart(self) -> None:
        node = self.random.choice(list(self.nodes.values()))
        if node.core is None:
            node.start()
        elif self.random.random() < 0.3:
            node.core = None

    def change_members(self) -> None:
        if self.now - self.lost_at < 2.0:
            # Time in seconds in which a leader detects that a replica is lost.
            return
        leaders = [n for n in self.running() if n.core.is_leader]
        for leader in leaders:
            members = self._random_membership(leader)
            try:
                leader.core.propose_members(members, self.now)
            except (MembershipChangeError, NotLeaderError):
                continue
            leader.execute_effects()

    def _random_membership(self, leader: Node) -> list[Member]:
        members = list(leader.core.state.members)
        learners = [m for m in members if not m.voting]
        voters = [m for m in members if m.voting]
        if learners and self.random.random() < 0.7:
            chosen = self.random.choice(learners)
            rest = [m for m in members if m != chosen]
            return [*rest, Member(chosen.node_id, "", "", True)]
        if len(voters) > 3 and self.random.random() < 0.6:
            gone = self.random.choice(voters)
            return [m for m in members if m != gone]
        if len(members) < 6:
            return [*members, Member(self._new_node(), "", "", False)]
        return members

    def _new_node(self) -> str:
        name = f"n{self.created_nodes}"
        self.created_nodes += 1
        self.nodes[name] = self.node_class(self, name, [])
        self.nodes[name].start()
        return name

    def lose_disk(self) -> None:
        """Remove a random replica and its disk, if every membership keeps a majority."""
        self.lose_disk_of(self.random.choice(list(self.nodes)))

    def lose_disk_of(self, victim: str) -> None:
        rest = set(self.nodes) - {victim}
        logs = [node.disk.log for node in self.nodes.values()]
        logs += [node.core.state.log for node in self.running()]
        if all(self._keeps_majority(log, rest) for log in logs):
            del self.nodes[victim]
            self.lost_at = self.now

    def lose_disk_and_power(self) -> bool:
        """Right after an edit is accepted, lose one disk, and the power of all other replicas.

        Returns whether an edit was accepted and the loss was one that must be borne.
        """
        before = len(self.results)
        for _ in range(400):
            self.pass_time(0.05)
            self.propose_edit()
            for _ in range(40):
                self.deliver()
                if len(self.results) > before:
                    return self._lose_disk_and_power()
        return False

    def _lose_disk_and_power(self) -> bool:
        nodes = len(self.nodes)
        self.lose_disk()
        for node in self.nodes.values():
            node.core = None
        self.network.clear()
        for node in self.nodes.values():
            node.start()
        return len(self.nodes) < nodes

    def _keeps_majority(self, log: Log, alive: set[str]) -> bool:
        memberships = [log.snapshot_members]
        memberships += [decode_members(e.data) for e in log.entries if e.kind is EntryKind.MEMBERS]
        for members in memberships:
            voters = [m.node_id for m in members if m.voting]
            if len([v for v in voters if v in alive]) <= len(voters) // 2:
                return not voters
        return True

    def check_leader(self, node: Node) -> None:
        if node.core is None or not node.core.is_leader:
            return
        state = node.core.state
        first = self.leaders.setdefault(state.term, node.node_id)
        if first != node.node_id:
            raise BrokenPromiseError(f"{first} and {node.node_id} both lead term {state.term}")

    def check_committed(self, node: Node, entry: Entry) -> None:
        first = self.committed.setdefault(entry.index, entry)
        if first != entry:
            raise BrokenPromiseError(
                f"{node.node_id} commits another entry {entry.index}: {entry} after {first}"
            )

    def check_result(self, entry: Entry, result: object) -> None:
        if not isinstance(result, EditResult):
            return
        edit_id = decode_edit_id(entry)
        first = self.results.setdefault(edit_id, result)
        if first != result:
            raise BrokenPromiseError(f"edit {edit_id} got {result} after {first}")


def decode_edit_id(entry: Entry) -> str:
    return msgspec.msgpack.decode(entry.data, type=EditCommand).edit_id
