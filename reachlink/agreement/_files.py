"""File operations of `Storage`; tests replace them to inject disk faults."""

import os
from pathlib import Path


class Files:
    """Operations on regular files; appended data is durable only after `sync`."""

    def open_append(self, path: Path) -> int:
        """Open or create a file for appending and return its descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of `data`."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Flush the written data of a file to disk."""
        os.fdatasync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(descriptor, size)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)

    def replace(self, path: Path, data: bytes) -> None:
        """Replace a file atomically and durably."""
        temporary = path.with_suffix(".tmp")
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write(descriptor, data)
            os.fsync(descriptor)
        except OSError:
            # On a full disk, a part of the file would take the room that entries need.
            temporary.unlink()
            raise
        finally:
            os.close(descriptor)
        temporary.rename(path)
        self.sync_folder(path.parent)

    def remove(self, path: Path) -> None:
        """Remove a file; durable only after `sync_folder`."""
        path.unlink()

    def sync_folder(self, folder: Path) -> None:
        """Flush the entries of a directory to disk."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
