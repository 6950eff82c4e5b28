"""The few file operations that storage needs, in one place so that tests can fail them."""

import os
from pathlib import Path


class Files:
    """Plain files; nothing lasts until `sync`."""

    def open_append(self, path: Path) -> int:
        """Open or create a file for appending and return its descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of `data`."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Wait until what was written is on disk."""
        os.fdatasync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Cut a file to `size` bytes."""
        os.ftruncate(descriptor, size)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)

    def replace(self, path: Path, data: bytes) -> None:
        """Put a whole file in place so that either the old or the new one lasts."""
        draft = path.with_suffix(".tmp")
        descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        draft.rename(path)
        self.sync_folder(path.parent)

    def sync_folder(self, folder: Path) -> None:
        """Wait until the names in a folder are on disk."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
