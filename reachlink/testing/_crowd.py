"""Crowds of callers that do not behave, on raw sockets."""

import asyncio
import socket
from collections.abc import Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Buffers of one caller's socket in bytes: small, so that the server has to hold the rest.
SOCKET_BYTES = 64 << 10
# Largest write at once, in bytes.
WRITE_BYTES = 64 << 10
# Interval in seconds between two looks at the progress of a crowd.
LOOK_INTERVAL_S = 0.25
# Looks without progress after which a crowd has settled.
QUIET_LOOKS = 4


@dataclass(frozen=True, slots=True)
class CrowdCaller:
    """What each caller of a crowd sends.

    Attributes
    ----------
    parts : tuple of bytes
        Sent one after the other; the connection stays open afterwards.
    reply_before_last : bool
        Whether a reply is awaited before the last part is sent.
    """

    parts: tuple[bytes, ...] = ()
    reply_before_last: bool = False


class Crowd:
    """Callers that connect, send and then stay connected, reading nothing more.

    Parameters
    ----------
    address : tuple of str and int
        Host and port of the server.
    caller : CrowdCaller
        What each one sends.
    count : int
        Number of callers.
    """

    def __init__(self, address: tuple[str, int], caller: CrowdCaller, count: int) -> None:
        self._address = address
        self._caller = caller
        self._count = count
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._sent = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes that all callers have sent so far."""
        return self._sent

    async def arrive(self) -> None:
        """Connect, send, and wait until nothing more is taken of any caller."""
        self._tasks = [asyncio.create_task(self._call()) for _ in range(self._count)]
        quiet, progress = 0, (-1, -1)
        while quiet < QUIET_LOOKS and not all(task.done() for task in self._tasks):
            await asyncio.sleep(LOOK_INTERVAL_S)
            now = (self._sent, sum(task.done() for task in self._tasks))
            quiet = quiet + 1 if now == progress else 0
            progress = now

    def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, self._address)
            for number, part in enumerate(self._caller.parts, 1):
                if self._caller.reply_before_last and number == len(self._caller.parts):
                    await loop.sock_recv(sock, WRITE_BYTES)
                for piece in _pieces(part):
                    await loop.sock_sendall(sock, piece)
                    self._sent += len(piece)
        except OSError:
            # The server may close the connection of such a caller at any time.
            return


@asynccontextmanager
async def crowd_at(address: tuple[str, int], caller: CrowdCaller, count: int) -> Any:
    """Have a crowd arrive and settle; it leaves at the end of the context."""
    crowd = Crowd(address, caller, count)
    try:
        await crowd.arrive()
        yield crowd
    finally:
        crowd.leave()


def _pieces(part: bytes) -> Iterator[bytes]:
    for start in range(0, len(part), WRITE_BYTES):
        yield part[start : start + WRITE_BYTES]


def peak_memory_mb(pid: int) -> float:
    """Return the largest resident memory that a process has had so far, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0]) / 1024
    raise ValueError(f"process {pid} has no memory")


def open_descriptors(pid: int) -> int:
    """Return the number of descriptors that a process has open."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
