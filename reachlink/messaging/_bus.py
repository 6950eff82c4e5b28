"""One-way messages and calls between processes.

Every process binds one ROUTER socket and opens one DEALER socket for each
address that it sends to. All available messages are read when the descriptor
of a socket becomes readable, because waking the event loop for each message
costs several times as much as processing it.

Traffic is encrypted, and both ends authenticate, with a CURVE key pair that is
derived from the secret of the cluster. Without a secret there is neither
encryption nor authentication; this is only suitable for isolated networks.
"""

import asyncio
import hashlib
import itertools
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec
import zmq
from zmq.utils import z85

from reachlink.messaging._connection_monitor import ConnectionMonitor
from reachlink.messaging._traffic import Traffic
from reachlink.messaging.exceptions import (
    CallFailedError,
    CallTimeoutError,
    MessagingError,
    PeerUnreachableError,
)

Handler = Callable[[str, bytes], Awaitable[bytes | None]]
"""Receives the name of the sender and a body; returns the body of the answer to a call."""

HIGH_WATER_MARK = 1000
# Any number of messages of peers may wait to be read. ZeroMQ stops reading a connection that has
# reached a limit; if it then breaks, its next heartbeat ends the process by an assertion.
RECEIVE_HIGH_WATER_MARK = 0
# Messages read at a turn, so that a peer that sends without end does not hold up all else.
MESSAGES_PER_TURN = 500
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
# Without this timeout, a connection attempt during a network partition waits for a TCP
# retransmission, seconds after the partition has ended.
CONNECT_TIMEOUT_MS = 400
HANDSHAKE_TIMEOUT_MS = 1000
RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 1000
CONNECT_POLL_INTERVAL_S = 0.02
MAX_MESSAGE_BYTES = 64 << 20
MAX_CONNECTIONS = 4_096
ZAP_DOMAIN = b"reachlink"


class MessageKind(IntEnum):
    """Kind of a message."""

    SEND = 0
    CALL = 1
    ANSWER = 2
    FAILURE = 3


class _Header(msgspec.Struct, array_like=True):
    sender: str
    kind: MessageKind
    channel: str
    number: int


_encode_header = msgspec.msgpack.Encoder().encode
_decode_header = msgspec.msgpack.Decoder(_Header).decode


@dataclass(slots=True)
class _BusSocket:
    socket: zmq.Socket[bytes]
    descriptor: int
    pending_calls: dict[int, asyncio.Future[bytes]] = field(default_factory=dict)


class Bus:
    """Messaging endpoint of one process.

    Parameters
    ----------
    name : str
        Name of this process, sent with each message.
    secret : bytes
        Secret of the cluster; empty to disable authentication and encryption.
    routes : mapping of str to str, optional
        Replacement addresses to connect to, by address, for instance behind an
        address-translating gateway.
    max_connections : int
        Largest number of connections that peers may open to this process.
    max_message_bytes : int
        Size of the largest message that is received, in bytes.
    """

    def __init__(
        self,
        name: str,
        secret: bytes,
        routes: Mapping[str, str] | None = None,
        max_connections: int = MAX_CONNECTIONS,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        self._name = name
        self._max_connections = max_connections
        self._max_message_bytes = max_message_bytes
        self._monitor: ConnectionMonitor | None = None
        self._routes = dict(routes or {})
        self._secret_key = z85.encode(hashlib.sha256(secret).digest()) if secret else b""
        self._public_key = zmq.curve_public(self._secret_key) if secret else b""
        self._context = zmq.Context()
        self._loop = asyncio.get_running_loop()
        self._handlers: dict[str, Handler] = {}
        self._peers: dict[str, _BusSocket] = {}
        self._router: _BusSocket | None = None
        self._call_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.traffic = Traffic()

    def handle(self, channel: str, handler: Handler) -> None:
        """Set the handler of all messages on `channel`."""
        self._handlers[channel] = handler

    def bind(self, address: str) -> None:
        """Listen on ``host:port``.

        Raises
        ------
        MessagingError
            If the address cannot be bound.
        """
        socket = self._make_socket(zmq.ROUTER)
        socket.curve_server = bool(self._secret_key)
        # Nobody authenticates without a secret, but peers of the protocol's older versions are
        # refused: they have no heartbeats, and whoever repeats a name is kept and never read.
        socket.zap_domain = ZAP_DOMAIN
        try:
            socket.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise MessagingError(f"cannot listen on {address}: {error}") from error
        # The address may have left the choice of the port to the system.
        port = int(socket.getsockopt_string(zmq.LAST_ENDPOINT).rpartition(":")[2])
        self._monitor = ConnectionMonitor(socket, port, self._max_connections, self._loop)
        self._router = self._add_reader(socket)

    def send(self, address: str, channel: str, body: bytes) -> bool:
        """Send a one-way message; return whether ZeroMQ accepted it for sending."""
        return self._send_message(self._peer_socket(address), MessageKind.SEND, channel, 0, body)

    async def call(self, address: str, channel: str, body: bytes, timeout_s: float) -> bytes:
        """Send a call and return its answer.

        Raises
        ------
        PeerUnreachableError
            If no connection was available in time. Nothing was sent.
        CallTimeoutError
            If no answer arrived in time.
        CallFailedError
            If the handler of the peer failed.
        """
        peer = self._peer_socket(address)
        number = next(self._call_numbers)
        future: asyncio.Future[bytes] = self._loop.create_future()
        deadline = self._loop.time() + timeout_s
        while not self._send_message(peer, MessageKind.CALL, channel, number, body):
            if self._loop.time() > deadline:
                raise PeerUnreachableError(address)
            await asyncio.sleep(CONNECT_POLL_INTERVAL_S)
        peer.pending_calls[number] = future
        try:
            # Unlike `wait_for`, a cancellation ends it even if the answer arrives at that moment.
            async with asyncio.timeout_at(deadline):
                return await future
        except TimeoutError as error:
            raise CallTimeoutError(f"{channel} at {address}") from error
        finally:
            peer.pending_calls.pop(number, None)

    def forget(self, address: str) -> None:
        """Close the connection to an address that is no longer used.

        Pending calls to the address fail with `PeerUnreachableError`. They are not
        cancelled, because that would cancel the tasks that made them.
        """
        peer = self._peers.pop(address, None)
        if peer is not None:
            self._close_socket(peer)

    def close(self) -> None:
        """Close all sockets and cancel running handlers."""
        for task in self._tasks:
            task.cancel()
        for peer in self._peers.values():
            self._close_socket(peer)
        self._peers.clear()
        if self._monitor is not None:
            self._monitor.close()
        if self._router is not None:
            self._close_socket(self._router)
        self._context.term()

    def _make_socket(self, kind: int) -> zmq.Socket[bytes]:
        socket: zmq.Socket[bytes] = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        waiting = RECEIVE_HIGH_WATER_MARK if kind == zmq.ROUTER else HIGH_WATER_MARK
        socket.setsockopt(zmq.RCVHWM, waiting)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.MAXMSGSIZE, self._max_message_bytes)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        if self._secret_key:
            socket.curve_secretkey = self._secret_key
            socket.curve_publickey = self._public_key
        return socket

    def _peer_socket(self, address: str) -> _BusSocket:
        peer = self._peers.get(address)
        if peer is None:
            socket = self._make_socket(zmq.DEALER)
            # Without this, messages to an unreachable peer are queued and arrive outdated.
            socket.setsockopt(zmq.IMMEDIATE, 1)
            socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
            socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
            if self._public_key:
                socket.curve_serverkey = self._public_key
            socket.connect(f"tcp://{self._routes.get(address, address)}")
            peer = self._peers[address] = self._add_reader(socket)
        return peer

    def _add_reader(self, socket: zmq.Socket[bytes]) -> _BusSocket:
        bus_socket = _BusSocket(socket, socket.getsockopt(zmq.FD))  # type: ignore[arg-type]
        self._loop.add_reader(bus_socket.descriptor, self._read_all, bus_socket)
        return bus_socket

    def _close_socket(self, bus_socket: _BusSocket) -> None:
        self._loop.remove_reader(bus_socket.descriptor)
        bus_socket.socket.close(linger=0)
        for call in bus_socket.pending_calls.values():
            if not call.done():
                call.set_exception(PeerUnreachableError("the connection was closed"))

    def _send_message(
        self,
        bus_socket: _BusSocket,
        kind: MessageKind,
        channel: str,
        number: int,
        body: bytes,
        to: bytes | None = None,
    ) -> bool:
        header = _encode_header(_Header(self._name, kind, channel, number))
        frames = [header, body] if to is None else [to, header, body]
        try:
            bus_socket.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.traffic.dropped += 1
            return False
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(header) + len(body)
        # The descriptor is edge-triggered: sending may consume the event of received messages.
        self._loop.call_soon(self._read_all, bus_socket)
        return True

    def _read_all(self, bus_socket: _BusSocket) -> None:
        for _ in range(MESSAGES_PER_TURN):
            if bus_socket.socket.closed:
                return
            try:
                frames = bus_socket.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._process_message(bus_socket, frames)
        # The descriptor is edge-triggered: it does not tell again of those that are left.
        self._loop.call_soon(self._read_all, bus_socket)

    def _process_message(self, bus_socket: _BusSocket, frames: list[bytes]) -> None:
        *route, raw, body = frames
        self.traffic.received += 1
        self.traffic.received_bytes += len(raw) + len(body)
        try:
            header = _decode_header(raw)
        except msgspec.DecodeError:
            self.traffic.dropped += 1
            return
        if header.kind in (MessageKind.ANSWER, MessageKind.FAILURE):
            call = bus_socket.pending_calls.pop(header.number, None)
            if call is None:
                self.traffic.late += 1
                self.traffic.late_bytes += len(body)
            _complete_call(call, header.kind, body)
            return
        to = route[0] if route else None
        task = self._loop.create_task(self._run_handler(bus_socket, header, body, to))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_handler(
        self, bus_socket: _BusSocket, header: _Header, body: bytes, to: bytes | None
    ) -> None:
        handler = self._handlers.get(header.channel)
        kind = MessageKind.ANSWER
        answer: bytes | None
        try:
            if handler is None:
                raise CallFailedError(f"nothing handles {header.channel!r}")
            answer = await handler(header.sender, body)
        except Exception as error:  # noqa: BLE001 - every failure must reach the caller
            kind, answer = MessageKind.FAILURE, f"{type(error).__name__}: {error}".encode()
        if header.kind is MessageKind.CALL and not bus_socket.socket.closed:
            self._send_message(bus_socket, kind, "", header.number, answer or b"", to)


def _complete_call(call: asyncio.Future[bytes] | None, kind: MessageKind, body: bytes) -> None:
    if call is None or call.done():
        return
    if kind is MessageKind.ANSWER:
        call.set_result(body)
    else:
        call.set_exception(CallFailedError(body.decode(errors="replace")))
