"""The data folder of one replica: identity, segments of the log, a snapshot."""

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
    CutRecord,
    EntryRecord,
    HardRecord,
    Record,
    SnapshotRecord,
    frame,
    read_records,
)
from reachlink.agreement._state import Effects
from reachlink.agreement.exceptions import CorruptLogError, DiskFullError, StorageError

IDENTITY_FILE = "identity.json"
SNAPSHOT_FILE = "snapshot.bin"
_SUFFIX_BYTES = 4


class Identity(msgspec.Struct, forbid_unknown_fields=True):
    """Who a replica is; made anew for each new disk.

    ``founding`` is the first membership of a cluster, empty for a replica
    that waits to be added.
    """

    cluster: str
    node_id: str
    founding: list[Member] = []


@dataclass(slots=True)
class Loaded:
    """What was on disk."""

    log: Log
    term: int
    voted_for: str
    snapshot: bytes | None


class Storage:
    """Durable state of one replica.

    Parameters
    ----------
    folder : pathlib.Path
        Data folder; made if missing.
    files : Files
        File operations.

    Raises
    ------
    StorageError
        If the folder cannot be used or another process uses it.
    """

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self._folder = folder
        self._files = files or Files()
        self._segment = 0
        self._descriptor = -1
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise StorageError(f"data folder {folder}: {error.strerror}") from error

    @property
    def has_identity(self) -> bool:
        """Whether the folder belongs to a replica already."""
        return (self._folder / IDENTITY_FILE).exists()

    def identity(self, name: str) -> Identity:
        """Return the replica's identity, made and synced on a new disk."""
        path = self._folder / IDENTITY_FILE
        try:
            return msgspec.json.decode(path.read_bytes(), type=Identity)
        except FileNotFoundError:
            identity = Identity("", f"{name}-{secrets.token_hex(_SUFFIX_BYTES)}")
            self.found(identity)
            return identity
        except msgspec.DecodeError as error:
            raise CorruptLogError(f"{path}: {error}") from error

    def found(self, identity: Identity) -> None:
        """Write the identity of a new replica."""
        data = msgspec.json.format(msgspec.json.encode(identity), indent=2)
        self._files.replace(self._folder / IDENTITY_FILE, data)

    def load(self) -> Loaded:
        """Read everything and open the log for appending.

        Raises
        ------
        CorruptLogError
            If something that was synced is damaged.
        """
        loaded = Loaded(Log(), 0, "", None)
        self._load_snapshot(loaded)
        segments = sorted(self._folder.glob("log-*.bin"))
        for path in segments:
            self._load_segment(path, loaded, last=path == segments[-1])
        self._segment = int(segments[-1].stem.split("-")[1]) if segments else 1
        self._descriptor = self._files.open_append(self._segment_path(self._segment))
        self._files.sync_folder(self._folder)
        return loaded

    def persist(self, effects: Effects, term: int, voted_for: str) -> None:
        """Write what a step must not forget, with one sync.

        Raises
        ------
        DiskFullError
            If there is no room; nothing was written, so that it may be tried again.
        StorageError
            If the disk fails; the replica must then stop.
        """
        records: list[Record] = []
        if effects.hard_state:
            records.append(HardRecord(term, voted_for))
        if effects.cut_from is not None:
            records.append(CutRecord(effects.cut_from))
        records.extend(EntryRecord(entry) for entry in effects.append)
        self._write(records)

    def save_snapshot(
        self, snapshot: SnapshotRecord, term: int, voted_for: str, rest: list[Entry]
    ) -> None:
        """Put a snapshot in place and drop the log behind it.

        Parameters
        ----------
        snapshot : SnapshotRecord
            The state.
        term, voted_for
            Hard state, written again at the start of the new segment.
        rest : list of Entry
            Entries after the snapshot.
        """
        try:
            self._files.replace(self._folder / SNAPSHOT_FILE, frame(snapshot))
        except OSError as error:
            raise StorageError(f"cannot write the snapshot: {error.strerror}") from error
        old = sorted(self._folder.glob("log-*.bin"))
        self._files.close(self._descriptor)
        self._segment += 1
        self._descriptor = self._files.open_append(self._segment_path(self._segment))
        records: list[Record] = [HardRecord(term, voted_for)]
        records.extend(EntryRecord(entry) for entry in rest)
        self._write(records)
        self._files.sync_folder(self._folder)
        for path in old:
            path.unlink()

    def size_bytes(self) -> int:
        """Return what the folder holds, in bytes."""
        return sum(path.stat().st_size for path in self._folder.iterdir())

    def close(self) -> None:
        """Close files and give the folder free."""
        if self._descriptor >= 0:
            self._files.close(self._descriptor)
        os.close(self._lock)

    def _segment_path(self, number: int) -> Path:
        return self._folder / f"log-{number:012d}.bin"

    def _write(self, records: list[Record]) -> None:
        data = b"".join(frame(r) for r in records)
        try:
            size = os.fstat(self._descriptor).st_size
            self._append(data, size)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise StorageError(f"cannot write the log: {error.strerror}") from error

    def _append(self, data: bytes, size: int) -> None:
        """Write to the end of the log, which has `size` bytes so far, or leave it as it is."""
        try:
            self._files.write(self._descriptor, data)
        except OSError as error:
            if error.errno != errno.ENOSPC:
                raise
            self._files.truncate(self._descriptor, size)
            raise DiskFullError(f"cannot write the log: {error.strerror}") from error

    def _load_snapshot(self, loaded: Loaded) -> None:
        path = self._folder / SNAPSHOT_FILE
        if not path.exists():
            return
        records = [record for _, record in read_records(path.read_bytes())]
        if len(records) != 1 or not isinstance(records[0], SnapshotRecord):
            raise CorruptLogError(f"{path} is damaged")
        snapshot = records[0]
        loaded.snapshot = snapshot.data
        loaded.log.reset(snapshot.index, snapshot.term, snapshot.members)

    def _load_segment(self, path: Path, loaded: Loaded, last: bool) -> None:
        data = path.read_bytes()
        end = 0
        try:
            for position, record in read_records(data):
                end = position
                _replay(record, loaded)
        except CorruptLogError as error:
            raise CorruptLogError(f"{path}: {error}") from error
        if end == len(data):
            return
        if not last:
            raise CorruptLogError(f"{path}: damaged at byte {end}, and not the newest segment")
        self._cut_tail(path, end)

    def _cut_tail(self, path: Path, size: int) -> None:
        descriptor = self._files.open_append(path)
        try:
            self._files.truncate(descriptor, size)
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)


def _replay(record: Record, loaded: Loaded) -> None:
    log = loaded.log
    if isinstance(record, HardRecord):
        loaded.term, loaded.voted_for = record.term, record.voted_for
    elif isinstance(record, CutRecord):
        if record.index > log.snapshot_index:
            log.cut_from(record.index)
    elif isinstance(record, EntryRecord):
        _replay_entry(record.entry, log)
    else:
        raise CorruptLogError("a snapshot stands in the log")


def _replay_entry(entry: Entry, log: Log) -> None:
    if entry.index <= log.snapshot_index:
        return
    if entry.index > log.last_index + 1:
        raise CorruptLogError(f"entry {log.last_index + 1} is missing")
    if entry.index <= log.last_index:
        log.cut_from(entry.index)
    log.append([entry])
