"""Data folder of one replica: identity, log segments and a snapshot."""

import errno
import fcntl
import os
import secrets
from dataclasses import dataclass
from pathlib import Path

import msgspec

from reachlink.agreement._files import Files
from reachlink.agreement._log import Log
from reachlink.agreement._messages import Entry, Member
from reachlink.agreement._records import (
    BatchRecord,
    EntryRecord,
    HardStateRecord,
    LogRecord,
    SnapshotRecord,
    TruncateRecord,
    frame,
    read_records,
)
from reachlink.agreement._replay import Replay
from reachlink.agreement._state import Effects
from reachlink.agreement.exceptions import CorruptLogError, DiskFullError, StorageError

IDENTITY_FILE = "identity.json"
SNAPSHOT_FILE = "snapshot.bin"
# Index of the first entry of a log.
FIRST_INDEX = 1
_SUFFIX_BYTES = 4


class Identity(msgspec.Struct, forbid_unknown_fields=True):
    """Identity of a replica, created anew on each new disk.

    ``founding`` is the initial membership of a cluster, empty for a replica
    that is added later.
    """

    cluster: str
    node_id: str
    founding: list[Member] = []


@dataclass(slots=True)
class LoadedState:
    """Durable state loaded from disk."""

    log: Log
    term: int
    voted_for: str
    snapshot: bytes | None


class Storage:
    """Durable state of one replica.

    Parameters
    ----------
    folder : pathlib.Path
        Data folder; created if missing.
    files : Files, optional
        File operations.

    Raises
    ------
    StorageError
        If the folder cannot be used or another process has locked it.
    """

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self._folder = folder
        self._files = files or Files()
        self._segment = 0
        self._descriptor = -1
        try:
            self._make_folder(folder)
            self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise StorageError(f"data folder {folder}: {error.strerror}") from error

    @property
    def has_identity(self) -> bool:
        """Whether the folder contains an identity."""
        return (self._folder / IDENTITY_FILE).exists()

    def identity(self, name: str) -> Identity:
        """Return the identity of the replica; create and sync it on a new disk."""
        path = self._folder / IDENTITY_FILE
        try:
            return msgspec.json.decode(path.read_bytes(), type=Identity)
        except FileNotFoundError:
            identity = Identity("", f"{name}-{secrets.token_hex(_SUFFIX_BYTES)}")
            self.write_identity(identity)
            return identity
        except msgspec.DecodeError as error:
            raise CorruptLogError(f"{path}: {error}") from error

    def write_identity(self, identity: Identity) -> None:
        """Write and sync the identity of the replica."""
        data = msgspec.json.format(msgspec.json.encode(identity), indent=2)
        self._files.replace(self._folder / IDENTITY_FILE, data)

    def load(self) -> LoadedState:
        """Load the snapshot and the log, and open the log for appending.

        Raises
        ------
        CorruptLogError
            If synced data is damaged.
        """
        loaded = LoadedState(Log(), 0, "", None)
        self._load_snapshot(loaded)
        replay = Replay(loaded.log.snapshot_index, loaded.log.snapshot_term)
        segments = sorted(self._folder.glob("log-*.bin"))
        for path in segments:
            self._load_segment(path, replay, last=path == segments[-1])
        loaded.term, loaded.voted_for = replay.hard_state.term, replay.hard_state.voted_for
        loaded.log.append(replay.entries_after_snapshot())
        self._segment = int(segments[-1].stem.split("-")[1]) if segments else 1
        self._descriptor = self._files.open_append(self._segment_path(self._segment))
        # A process that ended between a write and its sync left data that is not durable.
        self._files.sync(self._descriptor)
        self._files.sync_folder(self._folder)
        return loaded

    def persist(self, effects: Effects, term: int, voted_for: str) -> None:
        """Append the durable part of the effects to the log, with one sync.

        Raises
        ------
        DiskFullError
            If the disk is full. Nothing was written, so the call may be retried.
        StorageError
            If the disk fails. The replica must then stop.
        """
        records: list[LogRecord] = []
        if effects.hard_state:
            records.append(HardStateRecord(term, voted_for))
        if effects.truncate_from is not None:
            records.append(TruncateRecord(effects.truncate_from))
        records.extend(EntryRecord(entry) for entry in effects.append)
        self._write(BatchRecord(records))

    def save_snapshot(
        self, snapshot: SnapshotRecord, term: int, voted_for: str, rest: list[Entry]
    ) -> None:
        """Replace the snapshot, start a new log segment and delete the old segments.

        Parameters
        ----------
        snapshot : SnapshotRecord
            Snapshot to write.
        term : int
            Current term, written at the start of the new segment.
        voted_for : str
            Candidate voted for in that term, written with it; empty if none.
        rest : list of Entry
            Entries after the snapshot.

        Raises
        ------
        DiskFullError
            If the disk is full. What was held before still is; the call may be retried.
        StorageError
            If the disk fails. The replica must then stop.
        """
        try:
            self._files.replace(self._folder / SNAPSHOT_FILE, frame(snapshot))
        except OSError as error:
            kind = DiskFullError if error.errno == errno.ENOSPC else StorageError
            raise kind(f"cannot write the snapshot: {error.strerror}") from error
        old = sorted(self._folder.glob("log-*.bin"))
        self._files.close(self._descriptor)
        self._segment += 1
        self._descriptor = self._files.open_append(self._segment_path(self._segment))
        # Segments that are left although they were deleted count no longer.
        records: list[LogRecord] = [HardStateRecord(term, voted_for), TruncateRecord(FIRST_INDEX)]
        records.extend(EntryRecord(entry) for entry in rest)
        self._write(BatchRecord(records))
        self._files.sync_folder(self._folder)
        for path in old:
            self._files.remove(path)

    def size_bytes(self) -> int:
        """Return the size of the files in the folder in bytes."""
        return sum(path.stat().st_size for path in self._folder.iterdir())

    def close(self) -> None:
        """Close the files and release the lock of the folder."""
        if self._descriptor >= 0:
            self._files.close(self._descriptor)
        os.close(self._lock)

    def _make_folder(self, folder: Path) -> None:
        """Create the folder and its missing parents, and sync their entries."""
        missing = [path for path in (folder, *folder.parents) if not path.exists()]
        folder.mkdir(parents=True, exist_ok=True)
        for path in missing:
            self._files.sync_folder(path.parent)

    def _segment_path(self, number: int) -> Path:
        return self._folder / f"log-{number:012d}.bin"

    def _write(self, batch: BatchRecord) -> None:
        data = frame(batch)
        try:
            size = os.fstat(self._descriptor).st_size
            self._append(data, size)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise StorageError(f"cannot write the log: {error.strerror}") from error

    def _append(self, data: bytes, size: int) -> None:
        """Append to the log of `size` bytes; if the disk is full, undo a partial write."""
        try:
            self._files.write(self._descriptor, data)
        except OSError as error:
            if error.errno != errno.ENOSPC:
                raise
            self._files.truncate(self._descriptor, size)
            raise DiskFullError(f"cannot write the log: {error.strerror}") from error

    def _load_snapshot(self, loaded: LoadedState) -> None:
        path = self._folder / SNAPSHOT_FILE
        if not path.exists():
            return
        records = [record for _, record in read_records(path.read_bytes())]
        if len(records) != 1 or not isinstance(records[0], SnapshotRecord):
            raise CorruptLogError(f"{path} is damaged")
        snapshot = records[0]
        loaded.snapshot = snapshot.data
        loaded.log.reset(snapshot.index, snapshot.term, snapshot.members)

    def _load_segment(self, path: Path, replay: Replay, last: bool) -> None:
        data = path.read_bytes()
        end = 0
        replay.begin_segment()
        try:
            for position, record in read_records(data):
                end = position
                replay.apply(record)
        except CorruptLogError as error:
            raise CorruptLogError(f"{path}: {error}") from error
        if end == len(data):
            return
        if not last:
            raise CorruptLogError(f"{path}: damaged at byte {end}, and not the newest segment")
        self._truncate_tail(path, end)

    def _truncate_tail(self, path: Path, size: int) -> None:
        descriptor = self._files.open_append(path)
        try:
            self._files.truncate(descriptor, size)
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)
