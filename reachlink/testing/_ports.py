"""Free ports from the system, kept apart from those of other suites on this machine.

A port that is free when it is chosen may be taken before the process that it
is meant for binds it. Ports are therefore handed out in blocks, and a block is
held by a lock on a file for as long as the process that took it lives.
"""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_LOWEST = 10_000
_USUAL_EPHEMERAL = 32_768
# Ports that are locked together: a small fleet takes two blocks, and the range
# has room for a hundred such fleets.
BLOCK_PORTS = 100


class PortPool:
    """Hands out ports that no other pool on this machine hands out.

    Parameters
    ----------
    folder : pathlib.Path
        Where the lock files of the blocks are; the same for all pools.
    source : random.Random
        Draws the order in which blocks are tried.
    """

    def __init__(self, folder: Path, source: random.Random) -> None:
        self._folder = folder
        self._source = source
        self._locks: list[int] = []
        self._unused: list[int] = []

    def take(self, count: int) -> list[int]:
        """Return distinct free TCP ports on the loopback address.

        Parameters
        ----------
        count : int
            How many.

        Raises
        ------
        OSError
            If too few ports are left on this machine.
        """
        found: list[int] = []
        while len(found) < count:
            if not self._unused:
                self._unused = self._lock_block()
            port = self._unused.pop()
            if _is_free(port):
                found.append(port)
        return found

    def close(self) -> None:
        """Give the blocks back."""
        for lock in self._locks:
            os.close(lock)
        self._locks.clear()
        self._unused.clear()

    def _lock_block(self) -> list[int]:
        """Lock a block that no other pool has, and return its ports."""
        starts = list(range(_LOWEST, _first_ephemeral() - BLOCK_PORTS + 1, BLOCK_PORTS))
        self._source.shuffle(starts)
        self._folder.mkdir(parents=True, exist_ok=True)
        for start in starts:
            if self._try_lock(start):
                return list(range(start, start + BLOCK_PORTS))
        raise OSError("every block of ports is taken by other processes")

    def _try_lock(self, start: int) -> bool:
        lock = os.open(self._folder / f"{start}.lock", os.O_RDWR | os.O_CREAT, 0o666)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            return False
        self._locks.append(lock)
        return True


_pool = PortPool(Path(tempfile.gettempdir()) / "reachlink-ports", random.SystemRandom())


def free_ports(count: int) -> list[int]:
    """Return distinct free TCP ports on the loopback address.

    Parameters
    ----------
    count : int
        How many.

    Returns
    -------
    list of int
        Ports below the range from which the system takes those of outgoing
        connections, and not those of any other live process that asked here.
    """
    return _pool.take(count)


def _first_ephemeral() -> int:
    try:
        return int(_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return _USUAL_EPHEMERAL


def _is_free(port: int) -> bool:
    with socket.socket() as trial:
        try:
            trial.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
