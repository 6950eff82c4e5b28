"""Exchange of bytes with a replica over a new connection.

That a connection is accepted does not show that the replica is reached: what lies between may
accept it, and then reset it or pass nothing on.
"""

import asyncio
from collections.abc import Awaitable, Callable

from reachlink.reachability._frames import FrameDecoder
from reachlink.reachability._paths import ConnectFailure, failure_of
from reachlink.reachability._sockets import ReplicaSocket

# Time in seconds within which a byte of the answer has to arrive.
EXCHANGE_TIMEOUT_S = 0.25
_READ_BYTES = 1 << 10

ProbeRequest = Callable[[str], Awaitable[bytes]]
"""Returns what may be sent to a replica to be answered; nothing if no request may be now."""


async def no_probe_request(address: str) -> bytes:
    """Return nothing: that a connection is made has to do."""
    return b""


async def exchange(connected: ReplicaSocket, request: bytes) -> ConnectFailure | None:
    """Send a request and close the connection.

    Returns
    -------
    ConnectFailure, optional
        Why no byte of an answer arrived; None if one did.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            await loop.sock_sendall(connected.socket, request)
            answered = await _is_answered(connected)
    except OSError as error:
        return failure_of(error)
    finally:
        connected.close()
    return None if answered else ConnectFailure.RESET


async def _is_answered(connected: ReplicaSocket) -> bool:
    """Wait for a byte from the replica; return whether one came before the end."""
    loop = asyncio.get_running_loop()
    decoder = FrameDecoder()
    while data := await loop.sock_recv(connected.socket, _READ_BYTES):
        if not connected.relayed or decoder.feed(data):
            return True
    return False
