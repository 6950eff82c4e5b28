"""The invariants of the replicated log hold under seeded random schedules.

Deliberately faulty variants verify that the checks detect violations.
"""

import os

import pytest

from reachlink.agreement import Effects, Log, ReplicaState
from reachlink.agreement.tests.world import BrokenPromiseError, Disk, World
from reachlink.control import ControlMachine

SCHEDULES = int(os.environ.get("REACHLINK_SCHEDULES", "2000"))
STEPS = 400
CHUNKS = 8
MUTANT_SCHEDULES = 600
# Schedules that end with a lost disk, and their steps before that.
POWER_SCHEDULES = SCHEDULES // 5
POWER_STEPS = 120


def run_schedule(seed: int, world_class: type[World] = World) -> World:
    world = world_class(seed, voters=3 if seed % 2 else 5)
    world.run(STEPS)
    world.check_liveness()
    return world


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_invariants_hold(chunk):
    accepted = 0
    for seed in range(chunk, SCHEDULES, CHUNKS):
        try:
            world = run_schedule(seed)
        except BrokenPromiseError as error:
            raise AssertionError(f"schedule {seed}: {error}") from error
        accepted += len(world.results)
    # Guards against schedules in which no edit is accepted.
    assert accepted > 3 * SCHEDULES // CHUNKS


def lose_disk_and_power(seed: int, world_class: type[World] = World) -> bool:
    world = world_class(seed, voters=3 if seed % 2 else 5)
    world.run(POWER_STEPS)
    world.blocked.clear()
    for node in world.nodes.values():
        if node.core is None:
            node.start()
    lost = world.lose_disk_and_power()
    world.check_liveness()
    return lost


def test_accepted_edits_outlast_a_lost_disk_while_all_others_lose_power():
    lost = 0
    for seed in range(POWER_SCHEDULES):
        try:
            lost += lose_disk_and_power(seed)
        except BrokenPromiseError as error:
            raise AssertionError(f"schedule {seed}: {error}") from error
    # Guards against schedules in which no disk may be lost.
    assert lost > POWER_SCHEDULES // 4


def test_checks_catch_entries_that_are_lost_with_the_power():
    with pytest.raises((BrokenPromiseError, AssertionError, ValueError, IndexError)):
        for seed in range(POWER_SCHEDULES):
            lose_disk_and_power(seed, with_disk(UnsyncedEntryDisk))


def first_violation(world_class: type[World] = World) -> str:
    for seed in range(MUTANT_SCHEDULES):
        try:
            run_schedule(seed, world_class)
        except BrokenPromiseError as error:
            return str(error)
        except (AssertionError, ValueError, IndexError) as error:
            return f"{type(error).__name__}: {error}"
    return ""


def test_a_late_snapshot_keeps_acknowledged_entries():
    """Schedule 29328: a snapshot older than the end of the log must not drop later entries."""
    run_schedule(29328)


class UnsyncedVoteDisk(Disk):
    """Disk that does not sync votes."""

    def persist(self, effects: Effects, term: int, voted_for: str, core_log: Log) -> None:
        super().persist(effects, self.term, self.voted_for, core_log)


class UnsyncedEntryDisk(Disk):
    """Disk that does not sync appended entries."""

    def persist(self, effects: Effects, term: int, voted_for: str, core_log: Log) -> None:
        if effects.append and not effects.truncate_from and not effects.install_snapshot:
            self.term, self.voted_for = term, voted_for
            return
        super().persist(effects, term, voted_for, core_log)


class LostEditIdsMachine(ControlMachine):
    """State machine that loses the edit ids on restoring a snapshot."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self._edits.clear()


def with_disk(disk: type[Disk]) -> type[World]:
    class Mutant(World):
        def make_disk(self) -> Disk:
            return disk()

    return Mutant


def test_checks_catch_votes_that_are_not_synced():
    assert "lead term" in first_violation(with_disk(UnsyncedVoteDisk))


def test_checks_catch_entries_that_are_not_synced():
    assert first_violation(with_disk(UnsyncedEntryDisk))


def test_checks_catch_a_quorum_of_one_less(monkeypatch):
    monkeypatch.setattr(ReplicaState, "quorum", lambda self: len(self.voters) // 2)
    assert first_violation()


def test_checks_catch_forgotten_edit_ids():
    class Mutant(World):
        def make_machine(self) -> ControlMachine:
            return LostEditIdsMachine()

    assert "got" in first_violation(Mutant)
