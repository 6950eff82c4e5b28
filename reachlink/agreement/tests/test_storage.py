"""Synced data survives; an incomplete tail is truncated, other damage raises an error."""

import errno
import os
from pathlib import Path

import pytest

from reachlink.agreement import (
    CorruptLogError,
    Effects,
    Entry,
    EntryKind,
    Files,
    Storage,
    StorageError,
)
from reachlink.agreement._records import (
    EntryRecord,
    HardStateRecord,
    LogRecord,
    SnapshotRecord,
    frame,
)


def command(index: int, term: int = 1) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, f"command {index}".encode())


def write_entries(folder: Path, count: int) -> list[Entry]:
    storage = Storage(folder)
    storage.load()
    entries = [command(i) for i in range(1, count + 1)]
    for entry in entries:
        storage.persist(Effects(hard_state=True, append=[entry]), 1, "n1")
    storage.close()
    return entries


def segment(folder: Path) -> Path:
    (path,) = folder.glob("log-*.bin")
    return path


def load(folder: Path):
    storage = Storage(folder)
    try:
        return storage.load()
    finally:
        storage.close()


def test_synced_entries_are_loaded(tmp_path):
    entries = write_entries(tmp_path, 20)
    loaded = load(tmp_path)
    assert loaded.log.entries == entries
    assert (loaded.term, loaded.voted_for) == (1, "n1")


@pytest.mark.parametrize("lost", [1, 5, 12, 30])
def test_incomplete_tail_is_truncated_once(tmp_path, lost):
    entries = write_entries(tmp_path, 5)
    path = segment(tmp_path)
    path.write_bytes(path.read_bytes()[:-lost])
    first = load(tmp_path).log.entries
    assert first == entries[: len(first)]
    assert len(first) >= 4
    assert load(tmp_path).log.entries == first


def test_corruption_before_intact_records_raises(tmp_path):
    write_entries(tmp_path, 20)
    path = segment(tmp_path)
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(bytes(data))
    with pytest.raises(CorruptLogError, match="damaged record at byte"):
        load(tmp_path)


def test_corrupt_snapshot_raises(tmp_path):
    storage = Storage(tmp_path)
    storage.load()
    storage.save_snapshot(SnapshotRecord(3, 1, [], b"state"), 1, "", [command(4)])
    storage.close()
    path = tmp_path / "snapshot.bin"
    data = bytearray(path.read_bytes())
    data[-1] ^= 0xFF
    path.write_bytes(bytes(data))
    with pytest.raises(CorruptLogError, match="snapshot"):
        load(tmp_path)


def test_snapshot_replaces_the_log_before_it(tmp_path):
    write_entries(tmp_path, 20)
    storage = Storage(tmp_path)
    storage.load()
    storage.save_snapshot(SnapshotRecord(18, 1, [], b"state"), 2, "n2", [command(19), command(20)])
    storage.close()
    loaded = load(tmp_path)
    assert loaded.snapshot == b"state"
    assert loaded.log.snapshot_index == 18
    assert [e.index for e in loaded.log.entries] == [19, 20]
    assert (loaded.term, loaded.voted_for) == (2, "n2")


def test_crash_before_old_segments_are_deleted_is_harmless(tmp_path):
    write_entries(tmp_path, 20)
    old = segment(tmp_path)
    kept = old.read_bytes()
    storage = Storage(tmp_path)
    storage.load()
    storage.save_snapshot(SnapshotRecord(18, 1, [], b"state"), 1, "n1", [command(19)])
    storage.close()
    old.write_bytes(kept)
    loaded = load(tmp_path)
    assert loaded.log.snapshot_index == 18
    assert loaded.log.entries[0] == command(19)


class FullDisk(Files):
    """Disk with `room` bytes free."""

    def __init__(self, room: int) -> None:
        self.room = room

    def write(self, descriptor: int, data: bytes) -> None:
        if len(data) > self.room:
            super().write(descriptor, data[: self.room])
            raise OSError(errno.ENOSPC, "No space left on device")
        self.room -= len(data)
        super().write(descriptor, data)


def test_full_disk_raises_and_loses_no_synced_entry(tmp_path):
    entries = write_entries(tmp_path, 5)
    storage = Storage(tmp_path, FullDisk(20))
    storage.load()
    with pytest.raises(StorageError, match="No space left"):
        storage.persist(Effects(append=[command(6)]), 1, "n1")
    storage.close()
    assert load(tmp_path).log.entries == entries


def test_a_folder_is_locked_by_one_process(tmp_path):
    storage = Storage(tmp_path)
    with pytest.raises(StorageError):
        Storage(tmp_path)
    storage.close()


def test_a_new_disk_gets_a_new_identity(tmp_path):
    first = Storage(tmp_path / "a")
    second = Storage(tmp_path / "b")
    names = {first.identity("control-1").node_id, second.identity("control-1").node_id}
    again = first.identity("control-1").node_id
    first.close()
    second.close()
    assert len(names) == 2
    assert again in names


class PowerLostError(Exception):
    """The power is gone before the next file operation."""


class PowerLostAfterSnapshot(Files):
    """Machine that loses power once the snapshot is durable and before anything else is."""

    def replace(self, path: Path, data: bytes) -> None:
        super().replace(path, data)
        if path.name == "snapshot.bin":
            raise PowerLostError


def test_entries_that_another_leader_replaced_stay_away_when_power_fails_at_a_snapshot(tmp_path):
    storage = Storage(tmp_path, PowerLostAfterSnapshot())
    storage.load()
    storage.persist(Effects(append=[command(i) for i in range(1, 11)]), 1, "n1")
    replacing = [command(i, term=2) for i in range(6, 9)]
    storage.persist(Effects(hard_state=True, truncate_from=6, append=replacing), 2, "n2")
    with pytest.raises(PowerLostError):
        storage.save_snapshot(SnapshotRecord(8, 2, [], b"state"), 2, "n2", [])
    storage.close()
    loaded = load(tmp_path)
    assert (loaded.log.last_index, loaded.log.last_term) == (8, 2)


def test_entries_that_a_received_snapshot_replaced_stay_away_when_power_fails(tmp_path):
    storage = Storage(tmp_path, PowerLostAfterSnapshot())
    storage.load()
    storage.persist(Effects(append=[command(i) for i in range(1, 11)]), 1, "n1")
    with pytest.raises(PowerLostError):
        storage.save_snapshot(SnapshotRecord(8, 2, [], b"state"), 2, "n2", [])
    storage.close()
    loaded = load(tmp_path)
    assert (loaded.log.last_index, loaded.log.last_term) == (8, 2)


@pytest.mark.parametrize("later", [[], [command(9, term=2)]])
def test_entries_that_a_received_snapshot_replaced_do_not_return_with_a_segment(tmp_path, later):
    write_entries(tmp_path, 10)
    old = segment(tmp_path)
    kept = old.read_bytes()
    storage = Storage(tmp_path)
    storage.load()
    storage.save_snapshot(SnapshotRecord(8, 2, [], b"state"), 2, "n2", [])
    storage.persist(Effects(append=later), 2, "n2")
    storage.close()
    old.write_bytes(kept)
    loaded = load(tmp_path)
    assert loaded.log.entries == later
    assert (loaded.term, loaded.voted_for) == (2, "n2")


def unbatched(*records: LogRecord) -> bytes:
    """Return a segment in which each record has its own checksum."""
    return b"".join(frame(record) for record in records)


def test_an_entry_after_a_received_snapshot_stays_beside_an_unbatched_segment(tmp_path):
    snapshot, later = SnapshotRecord(8, 2, [], b"state"), command(9, term=2)
    replaced = [EntryRecord(command(i)) for i in range(1, 11)]
    (tmp_path / "snapshot.bin").write_bytes(frame(snapshot))
    (tmp_path / "log-000000000001.bin").write_bytes(unbatched(*replaced))
    segment_after = unbatched(HardStateRecord(2, "n2"), EntryRecord(later))
    (tmp_path / "log-000000000002.bin").write_bytes(segment_after)
    loaded = load(tmp_path)
    assert loaded.log.entries == [later]


class SyncedSizes(Files):
    """Records the size of each file at its last sync, by inode."""

    def __init__(self) -> None:
        self.sizes: dict[int, int] = {}

    def sync(self, descriptor: int) -> None:
        super().sync(descriptor)
        found = os.fstat(descriptor)
        self.sizes[found.st_ino] = found.st_size


class KilledAfterWrite(Files):
    """Process that is killed after a write and before its sync."""

    def write(self, descriptor: int, data: bytes) -> None:
        super().write(descriptor, data)
        raise PowerLostError


def test_entries_of_a_process_killed_before_its_sync_are_synced_before_they_count(tmp_path):
    storage = Storage(tmp_path, KilledAfterWrite())
    storage.load()
    with pytest.raises(PowerLostError):
        storage.persist(Effects(append=[command(1)]), 1, "n1")
    storage.close()
    files = SyncedSizes()
    storage = Storage(tmp_path, files)
    loaded = storage.load()
    storage.close()
    found = segment(tmp_path).stat()
    assert loaded.log.entries == [command(1)]
    assert files.sizes.get(found.st_ino) == found.st_size


PAGE_BYTES = 4096


def test_a_batch_whose_first_page_was_lost_with_the_power_is_an_incomplete_tail(tmp_path):
    entries = write_entries(tmp_path, 5)
    path = segment(tmp_path)
    synced = path.stat().st_size
    storage = Storage(tmp_path)
    storage.load()
    large = [Entry(6 + i, 1, EntryKind.COMMAND, b"x" * 1500) for i in range(6)]
    storage.persist(Effects(append=large), 1, "n1")
    storage.close()
    data = bytearray(path.read_bytes())
    data[synced:PAGE_BYTES] = bytes(PAGE_BYTES - synced)
    path.write_bytes(bytes(data))
    assert load(tmp_path).log.entries == entries


class SyncedFolders(Files):
    """Records the folders that were synced."""

    def __init__(self) -> None:
        self.folders: set[Path] = set()

    def sync_folder(self, folder: Path) -> None:
        super().sync_folder(folder)
        self.folders.add(folder)


def test_a_new_data_folder_is_not_lost_with_the_power(tmp_path):
    files = SyncedFolders()
    Storage(tmp_path / "var" / "data", files).close()
    assert files.folders >= {tmp_path, tmp_path / "var"}
