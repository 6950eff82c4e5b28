"""Files of a machine that may lose its power: what was not synced is lost, torn or reordered."""

import os
from dataclasses import dataclass
from pathlib import Path
from random import Random

from reachlink.agreement import Files


class PowerLostError(Exception):
    """The power is gone before the next file operation."""


@dataclass(slots=True, eq=False)
class _File:
    """Content that is synced, and the content when its name was taken from it, if that was."""

    synced: bytes
    detached: bytes | None = None


class UnsyncedFiles(Files):
    """Files of one flat folder, with a record of what is synced.

    Parameters
    ----------
    folder : pathlib.Path
        The folder.
    random : random.Random
        Draws what of the rest lasts.
    """

    def __init__(self, folder: Path, random: Random) -> None:
        self._folder = folder
        self._random = random
        self._names: dict[str, _File] = {}
        self._durable: dict[str, _File] = {}
        self._pending: list[tuple[str, _File | None]] = []
        self._open: dict[int, _File] = {}
        self.operations_left: int | None = None

    def open_append(self, path: Path) -> int:
        if path.name not in self._names:
            self._name(path.name, _File(b""))
        descriptor = super().open_append(path)
        self._open[descriptor] = self._names[path.name]
        return descriptor

    def write(self, descriptor: int, data: bytes) -> None:
        super().write(descriptor, data)
        self._spend()

    def sync(self, descriptor: int) -> None:
        self._spend()
        size = os.fstat(descriptor).st_size
        self._open[descriptor].synced = os.pread(descriptor, size, 0)

    def replace(self, path: Path, data: bytes) -> None:
        self._spend()
        self._detach(path)
        temporary = path.with_suffix(".tmp")
        temporary.write_bytes(data)
        temporary.rename(path)
        self._name(path.name, _File(data))
        self.sync_folder(path.parent)

    def remove(self, path: Path) -> None:
        self._detach(path)
        path.unlink()
        self._name(path.name, None)
        self._spend()

    def sync_folder(self, folder: Path) -> None:
        self._spend()
        self._durable = dict(self._names)
        self._pending.clear()

    def lose_power(self) -> None:
        """Leave in the folder what is synced, and any part of the rest."""
        kept = dict(self._durable)
        for name, file in self._pending:
            if self._random.random() < 0.5:
                continue
            kept.pop(name, None)
            if file is not None:
                kept[name] = file
        contents = {name: self._torn(name, file) for name, file in kept.items()}
        for name in self._names:
            (self._folder / name).unlink(missing_ok=True)
        for name, content in contents.items():
            (self._folder / name).write_bytes(content)
        self._names = {name: _File(content) for name, content in contents.items()}
        self._durable = dict(self._names)
        self._pending.clear()
        self._open.clear()
        self.operations_left = None

    def _spend(self) -> None:
        if self.operations_left is None:
            return
        self.operations_left -= 1
        if self.operations_left <= 0:
            raise PowerLostError

    def _name(self, name: str, file: _File | None) -> None:
        self._names.pop(name, None)
        if file is not None:
            self._names[name] = file
        self._pending.append((name, file))

    def _detach(self, path: Path) -> None:
        if path.name in self._names:
            self._names[path.name].detached = path.read_bytes()

    def _torn(self, name: str, file: _File) -> bytes:
        written = file.detached
        if written is None:
            written = (self._folder / name).read_bytes()
        if not written.startswith(file.synced):
            return self._random.choice([file.synced, written])
        tail = written[len(file.synced) :]
        cut = self._random.randint(0, len(tail))
        kept = self._random.choice([b"", tail, tail[:cut], bytes(cut) + tail[cut:]])
        return file.synced + kept
