"""Sockets to replicas and to the peers that relay to them."""

import asyncio
import socket
from dataclasses import dataclass

# Time in seconds without any byte, after which TCP starts to probe an idle connection, and
# between two probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# Time in milliseconds for which sent bytes, or probes, may stay without acknowledgement. It
# overrides the number of probes. Longer than the second for which a sound replica may be silent.
USER_TIMEOUT_MS = 3000


@dataclass(slots=True, frozen=True)
class ReplicaSocket:
    """Connected socket that leads to a replica.

    Attributes
    ----------
    socket : socket.socket
        The socket.
    relayed : bool
        Whether it leads there through a peer.
    peer : str
        Name of that peer.
    """

    socket: socket.socket
    relayed: bool = False
    peer: str = ""

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


async def connect_socket(address: str, timeout_s: float) -> socket.socket:
    """Return a socket connected to ``host:port``.

    Raises
    ------
    OSError
        If no connection could be made; `TimeoutError` if there was no answer in time.
    """
    host, _, port = address.rpartition(":")
    connected = _make_socket()
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().sock_connect(connected, (host, int(port)))
    except BaseException:
        connected.close()
        raise
    return connected


def _make_socket() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setblocking(False)
    set_timeouts(made)
    return made


def set_timeouts(sock: socket.socket) -> None:
    """Have TCP end a connection whose other end gives no sign.

    Keepalive probes and the user timeout are set together: the user timeout also decides
    when probes give up, whatever their number.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
