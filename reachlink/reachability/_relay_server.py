"""Relaying connections to replicas for peers that have lost their path there."""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any, cast

from reachlink.kernel import steady_time
from reachlink.messaging import Bus, decode, encode
from reachlink.reachability._dialer import Dialer
from reachlink.reachability._frames import END, frame_header
from reachlink.reachability._messages import (
    CHANNEL_RELAY,
    CLAIMED,
    TOKEN_BYTES,
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from reachlink.reachability._paths import PathTracker
from reachlink.reachability._sockets import ReplicaSocket, set_timeouts
from reachlink.reachability.exceptions import NotReachedError
from reachlink.telemetry import get_logger

# Maximum number of relayed connections. Together they hold 24 MB if all ends stop reading.
MAX_RELAYS = 256
# Maximum number of connections that have claimed nothing yet; peers claim at once.
MAX_UNCLAIMED = 256
# Bytes that one end has not read from which on the other end is not read.
HIGH_WATER_BYTES = 16 << 10
# Maximum number of bytes that are read from one end at once.
READ_BYTES = 16 << 10
# Time in seconds for which a connection is held for the peer that asked for it.
CLAIM_VALIDITY_S = 0.5
# Timeout in seconds of a connection that is made for a peer. Peers ask others meanwhile, and all
# of them may be cut off but one.
DIAL_TIMEOUT_S = 0.12
# Time in seconds after a failed connection in which the replica is not tried for a peer.
RECENT_FAILURE_S = 0.2
# Time in seconds for which a connection shows that this instance has not lost its links.
RECENT_CONNECTION_S = 0.3


class RelayServer:
    """Connects to replicas for peers and passes their bytes on.

    Parameters
    ----------
    bus : Bus
        Message bus to the peers.
    address : tuple of str and int
        Host and port at which peers claim connections; port 0 for any.
    address_of : callable
        Returns the address of a replica by name; None if it is unknown.
    paths : PathTracker
        Direct paths of this instance.
    direct : Dialer
        Makes direct connections.
    count : callable
        Called with the outcome of each request of a peer.
    """

    def __init__(
        self,
        bus: Bus,
        address: tuple[str, int],
        address_of: Callable[[str], str | None],
        paths: PathTracker,
        direct: Dialer,
        count: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self._address = address
        self._address_of = address_of
        self._paths = paths
        self._direct = direct
        self._count = count
        self._listener: asyncio.Server | None = None
        self._starting = asyncio.Lock()
        self._unclaimed: dict[bytes, _ReplicaEnd] = {}
        self._relays: set[_ReplicaEnd] = set()
        # Connections at the port for claims that have claimed nothing yet.
        self._claimants: set[_PeerEnd] = set()
        self._is_draining = False
        self._log: Any = get_logger()
        bus.handle(CHANNEL_RELAY, self._on_request)

    @property
    def count(self) -> int:
        """Number of connections that are relayed, or held for a peer.

        One whose replica has closed it counts until the peer has got the rest.
        """
        return len(self._relays)

    def drain(self) -> None:
        """Take no more connections."""
        self._is_draining = True

    def close(self) -> None:
        """Close all connections and stop listening."""
        for relay in list(self._relays):
            relay.abort()
        if self._listener is not None:
            self._listener.close()

    async def _on_request(self, sender: str, body: bytes) -> bytes:
        reply = await self._open(decode(body, RelayRequest))
        self._count(reply.outcome.value)
        return encode(reply)

    async def _open(self, request: RelayRequest) -> RelayReply:
        if self._is_draining or len(self._relays) >= MAX_RELAYS:
            return RelayReply(RelayOutcome.BUSY)
        address = self._address_of(request.replica)
        if address is None:
            return RelayReply(RelayOutcome.UNKNOWN)
        now = steady_time()
        path = self._paths.path(address, now)
        if path.is_lost or path.suspected_at is not None:
            return RelayReply(RelayOutcome.CUT_OFF)
        if path.is_failing(now, RECENT_FAILURE_S):
            return await self._unreachable(address)
        port = await self._listening_port()
        if port is None:
            return RelayReply(RelayOutcome.BUSY)
        try:
            token = await self._hold(await self._dial(address))
        except (NotReachedError, OSError):
            return await self._unreachable(address)
        return RelayReply(RelayOutcome.OPENED, port, token)

    async def _unreachable(self, address: str) -> RelayReply:
        """Return the answer for a replica that is not reached, by whose fault that is."""
        reaches_other = await self._reaches_other(address)
        return RelayReply(RelayOutcome.UNREACHABLE if reaches_other else RelayOutcome.CUT_OFF)

    async def _reaches_other(self, address: str) -> bool:
        """Return whether a new connection to another replica can be made.

        Bytes on open connections do not show it: these may live on where new ones are refused.
        """
        if steady_time() - self._paths.connected_at < RECENT_CONNECTION_S:
            return True
        other = self._paths.last_heard(excluding=address)
        if other is None:
            return False
        try:
            connected = await self._dial(other)
        except (NotReachedError, TimeoutError):
            return False
        connected.close()
        return True

    async def _dial(self, address: str) -> ReplicaSocket:
        """Return a direct connection that is made soon enough for a peer that waits for it.

        Raises
        ------
        NotReachedError, TimeoutError
            If none is.
        """
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            return await self._direct.dial(address)

    async def _hold(self, connected: ReplicaSocket) -> bytes:
        """Keep a connection for the peer; return the token that claims it."""
        loop = asyncio.get_running_loop()
        end = _ReplicaEnd(self._relays.discard)
        await loop.create_connection(lambda: end, sock=connected.socket)
        self._relays.add(end)
        token = secrets.token_bytes(TOKEN_BYTES)
        self._unclaimed[token] = end
        loop.call_later(CLAIM_VALIDITY_S, self._drop_unclaimed, token)
        return token

    def _drop_unclaimed(self, token: bytes) -> None:
        end = self._unclaimed.pop(token, None)
        if end is not None:
            end.abort()

    def claim(self, token: bytes) -> "_ReplicaEnd | None":
        """Return the connection that a token claims, once."""
        return self._unclaimed.pop(token, None)

    async def _listening_port(self) -> int | None:
        """Return the port at which peers claim connections, listening from the first time on."""
        async with self._starting:
            if self._listener is None:
                host, port = self._address
                try:
                    self._listener = await asyncio.get_running_loop().create_server(
                        lambda: _PeerEnd(self.claim, self._claimants), host, port
                    )
                except OSError as error:
                    self._log.error("relay_not_listening", host=host, port=port, reason=str(error))
                    return None
        port = self._listener.sockets[0].getsockname()[1]
        return int(port)


class _End(asyncio.BufferedProtocol):
    """One end of a relayed connection, of which only little is read at once."""

    def __init__(self) -> None:
        self._buffer = bytearray(READ_BYTES)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        raise NotImplementedError


class _ReplicaEnd(_End):
    """Connection to the replica."""

    def __init__(self, on_closed: Callable[["_ReplicaEnd"], None]) -> None:
        super().__init__()
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._peer: asyncio.Transport | None = None
        self._ended = False
        self._lost = False
        self._peer_lost = False

    @property
    def held_bytes(self) -> int:
        """Bytes that the peer has yet to read."""
        return self._peer.get_write_buffer_size() if self._peer is not None else 0

    @property
    def is_open(self) -> bool:
        """Whether the replica has not closed the connection."""
        return self._transport is not None and not self._transport.is_closing()

    def join(self, peer: asyncio.Transport) -> asyncio.Transport:
        """Pass everything on to a peer from now on; return the replica's transport."""
        assert self._transport is not None
        self._peer = peer
        return self._transport

    def abort(self) -> None:
        """End the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    def data_received(self, data: bytes) -> None:
        if self._peer is None:
            # A replica sends nothing before it has got a request.
            self.abort()
            return
        self._peer.writelines([frame_header(data), data])

    def eof_received(self) -> bool:
        self._ended = True
        return False

    def peer_lost(self) -> None:
        """Note that the connection to the peer is closed, and nothing is left to be sent there."""
        assert self._transport is not None
        self._peer_lost = True
        if not self._transport.is_closing():
            self._transport.close()
        self._note_if_closed()

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        if self._peer is not None and not self._peer.is_closing():
            if self._ended and exc is None:
                self._peer.write(END)
            self._peer.close()
        self._note_if_closed()

    def _note_if_closed(self) -> None:
        if self._lost and (self._peer is None or self._peer_lost):
            self._on_closed(self)

    def pause_writing(self) -> None:
        if self._peer is not None:
            self._peer.pause_reading()

    def resume_writing(self) -> None:
        if self._peer is not None and not self._peer.is_closing():
            self._peer.resume_reading()


class _PeerEnd(_End):
    """Connection of the peer, which first claims a connection to a replica."""

    def __init__(
        self, claim: Callable[[bytes], _ReplicaEnd | None], claimants: "set[_PeerEnd]"
    ) -> None:
        super().__init__()
        self._claim = claim
        self._claimants = claimants
        self._token = b""
        self._transport: asyncio.Transport | None = None
        self._end: _ReplicaEnd | None = None
        self._replica: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if len(self._claimants) >= MAX_UNCLAIMED:
            self._transport.abort()
            return
        self._claimants.add(self)
        self._transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        set_timeouts(transport.get_extra_info("socket"))
        self._timer = asyncio.get_running_loop().call_later(CLAIM_VALIDITY_S, self._transport.abort)

    def data_received(self, data: bytes) -> None:
        if self._replica is not None:
            self._replica.write(data)
            return
        self._token += data[: TOKEN_BYTES - len(self._token)]
        if len(self._token) == TOKEN_BYTES:
            self._join(data)

    def _join(self, data: bytes) -> None:
        assert self._transport is not None and self._timer is not None
        self._timer.cancel()
        self._claimants.discard(self)
        end = self._claim(self._token)
        # The peer sends nothing more until it has got the confirmation.
        if end is None or not end.is_open or not data:
            self._transport.abort()
            return
        self._transport.write(CLAIMED)
        self._end = end
        self._replica = end.join(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._claimants.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._end is not None:
            self._end.peer_lost()

    def pause_writing(self) -> None:
        if self._replica is not None:
            self._replica.pause_reading()

    def resume_writing(self) -> None:
        if self._replica is not None and not self._replica.is_closing():
            self._replica.resume_reading()
