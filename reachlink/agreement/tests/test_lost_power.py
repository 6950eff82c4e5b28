"""Accepted edits and claims outlast a lost disk while all other machines lose power.

The data folders are real; what was not synced is lost, torn or reordered.
Deliberately faulty variants verify that the checks detect violations.
"""

import os
from pathlib import Path

from reachlink.agreement import CorruptLogError, Storage
from reachlink.agreement.tests.power_world import PowerWorld
from reachlink.agreement.tests.unsynced_files import UnsyncedFiles
from reachlink.agreement.tests.world import BrokenPromiseError
from reachlink.control import ControlMachine

SCHEDULES = int(os.environ.get("REACHLINK_SCHEDULES", "2000")) // 8
STEPS = 240


def end_day(seed: int, folder: Path) -> bool:
    """Run a schedule; return whether it ended with a lost disk."""
    world = PowerWorld(seed, 3 if seed % 2 else 5, folder)
    try:
        world.run(STEPS)
        lost = world.end_day(elect_first=seed % 3 == 0, change_members=seed % 4 < 2)
        world.check_liveness()
    finally:
        world.close()
    return lost


def test_accepted_edits_and_claims_outlast_a_lost_disk_while_all_others_lose_power(tmp_path):
    lost = 0
    for seed in range(SCHEDULES):
        try:
            lost += end_day(seed, tmp_path)
        except (BrokenPromiseError, CorruptLogError) as error:
            raise AssertionError(f"schedule {seed}: {error}") from error
    # Guards against schedules in which no disk may be lost.
    assert lost > SCHEDULES // 4


def first_violation(folder: Path) -> str:
    for seed in range(SCHEDULES):
        try:
            end_day(seed, folder)
        except Exception as error:  # noqa: BLE001 - a faulty variant may fail in any way
            return f"{type(error).__name__}: {error}"
    return ""


def test_checks_catch_writes_that_are_not_synced(tmp_path, monkeypatch):
    monkeypatch.setattr(UnsyncedFiles, "sync", lambda self, descriptor: None)
    assert first_violation(tmp_path)


def test_checks_catch_folders_that_are_not_synced(tmp_path, monkeypatch):
    monkeypatch.setattr(UnsyncedFiles, "sync_folder", lambda self, folder: None)
    assert first_violation(tmp_path)


def test_checks_catch_a_log_that_forgets_its_term(tmp_path, monkeypatch):
    load = Storage.load

    def forgetful(storage):
        loaded = load(storage)
        loaded.term, loaded.voted_for = 0, ""
        return loaded

    monkeypatch.setattr(Storage, "load", forgetful)
    assert first_violation(tmp_path)


def test_checks_catch_claims_that_a_snapshot_forgets(tmp_path, monkeypatch):
    restore = ControlMachine.restore

    def forgetful(machine, data):
        restore(machine, data)
        machine.claims.claims.clear()

    monkeypatch.setattr(ControlMachine, "restore", forgetful)
    assert "BrokenPromiseError" in first_violation(tmp_path)
