"""Connections to replicas, reused only if no bytes of another request can be on them."""

import asyncio
import itertools
import math
import re
from collections import deque
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from reachlink.kernel import BoundedConnection, steady_time
from reachlink.pacing import PacingTracker
from reachlink.reachability import (
    SUSPECT_AFTER_S,
    Dialer,
    DirectPath,
    PathTracker,
    RelayedProtocol,
)
from reachlink.upstreams._sends import Send, SendRecord, current_record
from reachlink.upstreams.exceptions import UpstreamBackoffError

# Idle time in seconds after which a replica is assumed to close a connection if it announces
# no timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A connection is not reused in the last part of its idle timeout, in seconds: the replica may
# have closed it already, with the notice still in transit.
IDLE_MARGIN_S = 0.7

_numbers = itertools.count(1)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class ReplicaConnection(BoundedConnection):
    """Connection with checks that `aiohttp` does not make.

    Bytes that arrive while the connection is idle belong to an earlier request, so the
    connection is aborted. A body that is delimited by the end of the connection is complete
    only if the connection was closed, not if it was reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.idle = False
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        # Replaced by the path to the replica once the connection is made.
        self.path = DirectPath()
        # Whether the connection leads through a peer, and which.
        self.relayed = False
        self.peer = ""
        # Name of the header field in which answers may name their request; empty if all do.
        self.request_header = ""
        # Whether the last answer did so, and whether the last request may run once.
        self.names_requests = True
        self.carries_once = False
        # Number of the connection in this process, and of the requests sent on it so far.
        self.number = next(_numbers)
        self.requests = 0
        # Called if the connection ends without a byte of an answer.
        self.on_unanswered: Callable[[], None] = lambda: None
        self.sent_at = float("inf")
        self._received_at = float("-inf")
        self._replica_ended = False

    @property
    def serves_one(self) -> bool:
        """Whether the connection is closed after its first request.

        Peers that stop soon have no relayed ones left then. Of an upstream that names no
        requests, what may run once gets connections on which no other answer can come.
        """
        return self.relayed or (self.carries_once and not self.names_requests)

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        idle_for_s = steady_time() - self.idle_since
        if not self.path.may_reuse(self.idle_since):
            return False
        return self.is_connected() and idle_for_s < self.idle_timeout_s - IDLE_MARGIN_S

    def data_received(self, data: bytes) -> None:
        """Process received bytes; abort the connection if it is idle."""
        if not data:
            # Reading goes on after a pause; nothing was heard.
            super().data_received(data)
            return
        self._received_at = steady_time()
        if not self.relayed:
            self.path.heard_at = self._received_at
        if self.idle:
            self.abort()
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Process the head of an answer, which may announce the idle timeout."""
        if self.idle:
            # It came in one piece with the end of the answer before, which freed the connection.
            self.abort()
            return
        header = self.request_header
        self.names_requests = not header or header in data[0].headers
        found = _KEEP_ALIVE_TIMEOUT.search(data[0].headers.get("Keep-Alive", ""))
        if found is not None:
            self.idle_timeout_s = float(found.group(1))
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """Note that the replica has ended the connection."""
        self._replica_ended = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body in progress if the connection was lost by an error."""
        ended_by_other = exc is not None or self._replica_ended
        if ended_by_other and not self.idle and self._received_at < self.sent_at < math.inf:
            self.on_unanswered()
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection reset: {exc!r}"))
        super().connection_lost(exc)


class AwaitedAnswers:
    """Connections that await an answer, by path.

    Parameters
    ----------
    suspect : callable
        Called with a path on which nothing was heard for long while answers are awaited.
    """

    def __init__(self, suspect: Callable[[DirectPath], None]) -> None:
        self._suspect = suspect
        # In the order in which requests were sent.
        self._connections: dict[str, dict[ReplicaConnection, None]] = {}
        self._timers: set[str] = set()

    def add(self, connection: ReplicaConnection, now: float) -> None:
        """Add a connection that a request is sent on."""
        connection.sent_at = now
        connection.begin_request()
        if connection.relayed:
            return
        path = connection.path
        path.dialed_at = now
        self._connections.setdefault(path.address, {})[connection] = None
        if path.address not in self._timers:
            self._timers.add(path.address)
            self._look_later(path)

    def discard(self, connection: ReplicaConnection) -> None:
        """Remove a connection whose answer has come, or that was closed."""
        on_path = self._connections.get(connection.path.address)
        if on_path is not None:
            on_path.pop(connection, None)

    def abort_silent(self, path: DirectPath, now: float) -> None:
        """Abort the connections on which nothing was heard for longer than sound replicas take."""
        for connection in list(self._connections.get(path.address, ())):
            if path.is_given_up(connection.sent_at, now):
                connection.fail("the path to the replica is lost")

    def _look_later(self, path: DirectPath) -> None:
        asyncio.get_running_loop().call_later(SUSPECT_AFTER_S, self._look, path)

    def _look(self, path: DirectPath) -> None:
        on_path = self._connections.get(path.address)
        if not on_path:
            self._timers.discard(path.address)
            self._connections.pop(path.address, None)
            return
        now, first = steady_time(), next(iter(on_path))
        path.dialed_at = now
        if path.is_overdue(first.sent_at, now) and now >= path.trusted_until:
            self._suspect(path)
        self._look_later(path)


class ReplicaConnector(aiohttp.TCPConnector):
    """Pool of `ReplicaConnection` that reuses the most recently used connection first.

    Every request to a replica gets its connection here. Requests to replicas in backoff are
    therefore rejected here, including those that were placed before the replica requested the
    backoff and those that waited for a connection when it did.

    Parameters
    ----------
    pacing : PacingTracker
        What replicas have asked for; is told of the requests at brittle replicas.
    paths : PathTracker
        Direct paths to the replicas.
    dialer : Dialer
        Makes connections.
    request_header : str
        Name of the header field in which answers may name their request; empty if all do.
    **options : object
        Passed to `aiohttp.TCPConnector`.
    """

    def __init__(
        self,
        pacing: PacingTracker,
        paths: PathTracker,
        dialer: Dialer,
        request_header: str,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._request_header = request_header
        self._pacing = pacing
        self._paths = paths
        self._dialer = dialer
        self._awaited = AwaitedAnswers(dialer.suspect)

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection to the replica, unless it is in backoff.

        Raises
        ------
        UpstreamBackoffError
            If the replica is in backoff; nothing is sent.
        AlreadySentError
            If the request may run once, was sent before and may have run; nothing is sent.
        """
        record = current_record()
        if record is not None:
            record.check()
        self._check_backoff(req)
        address = address_of(req.url)
        self._pacing.brittle.begin(address)
        try:
            connection = await super().connect(req, traces, timeout)
        except BaseException:
            self._pacing.brittle.end(address)
            raise
        try:
            self._check_backoff(req)
        except UpstreamBackoffError:
            connection.release()
            raise
        if isinstance(connection.protocol, ReplicaConnection):
            now = steady_time()
            _record_send(connection.protocol, now)
            self._awaited.add(connection.protocol, now)
        return connection

    def abort_silent(self, path: DirectPath) -> None:
        """Abort the connections on a lost path that await an answer in vain."""
        self._awaited.abort_silent(path, steady_time())

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        """Make a connection, directly or through a peer."""
        address = address_of(req.url)
        connected = await self._dialer.dial(address)
        protocol = ReplicaConnection(self._loop)
        protocol.path = self._paths.path(address, steady_time())
        protocol.request_header = self._request_header
        protocol.relayed = connected.relayed
        protocol.peer = connected.peer
        protocol.on_unanswered = lambda: self._note_unanswered(protocol.path, connected.peer)
        used = RelayedProtocol(protocol) if connected.relayed else protocol
        await self._loop.create_connection(lambda: used, sock=connected.socket)
        return protocol

    def _note_unanswered(self, path: DirectPath, peer: str) -> None:
        """Have the path examined, or the peer avoided, over which nothing came back."""
        if peer:
            self._dialer.avoid(peer)
        else:
            self._dialer.suspect(path)

    def _check_backoff(self, req: aiohttp.ClientRequest) -> None:
        remaining_s = self._pacing.backoffs.remaining_s(address_of(req.url), steady_time())
        if remaining_s > 0.0:
            raise UpstreamBackoffError(remaining_s)

    async def _get(self, key: Any, traces: Any) -> Connection | None:
        idle = self._conns.get(key)
        if idle and not _bring_to_front(idle) and idle:
            # All that are left may be mistaken; a new one is made.
            return None
        connection = await super()._get(key, traces)
        if connection is not None and isinstance(connection.protocol, ReplicaConnection):
            connection.protocol.idle = False
        return connection

    def _release(self, key: Any, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        serves_one = isinstance(protocol, ReplicaConnection) and protocol.serves_one
        super()._release(key, protocol, should_close=should_close or serves_one)
        if isinstance(protocol, ReplicaConnection):
            self._awaited.discard(protocol)
            self._pacing.brittle.end(protocol.path.address)
            protocol.idle = True
            protocol.idle_since = steady_time()


def _bring_to_front(idle: deque[tuple[ResponseHandler, float]]) -> bool:
    """Move the connection that was used last to the front; return whether there is one.

    Passes over those on which a late answer could pass for that to the present request.
    Closes those that are not reusable.
    """
    record = current_record()
    passed_over: list[tuple[ResponseHandler, float]] = []
    while idle:
        protocol, _ = idle[-1]
        if not isinstance(protocol, ReplicaConnection) or not protocol.reusable:
            idle.pop()
            protocol.close()
        elif record is not None and _may_be_mistaken(protocol, record):
            passed_over.append(idle.pop())
        else:
            break
    found = bool(idle)
    idle.extend(reversed(passed_over))
    idle.rotate(1 + len(passed_over))
    return found


def _may_be_mistaken(connection: ReplicaConnection, record: SendRecord) -> bool:
    """Return whether a late answer to an earlier request may pass for that to the present one.

    Either the request was sent on the connection before, so that the answer has the right
    request id; or answers name no request, and this one may run once.
    """
    unnamed = record.once and not connection.names_requests
    return unnamed or record.has_used(connection.number)


def _record_send(connection: ReplicaConnection, now: float) -> None:
    """Record that the present request is sent on a connection."""
    record = current_record()
    path = connection.path
    if record is not None:
        heard_ago_s = now - path.heard_at if math.isfinite(path.heard_at) else None
        send = Send(
            path.address, connection.number, connection.requests, connection.peer, heard_ago_s
        )
        record.add(send)
    connection.carries_once = record is not None and record.once
    connection.requests += 1


def address_of(url: URL) -> str:
    """Return the replica address of a URL, as ``host:port``."""
    return f"{url.host}:{url.port}"
