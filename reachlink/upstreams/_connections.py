"""Connections to replicas, reused only if no bytes of another request can be on them."""

import asyncio
import functools
import re
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from reachlink.kernel import steady_time
from reachlink.pacing import BackoffTracker
from reachlink.reachability import Contact, ContactTracker, failure_of
from reachlink.upstreams.exceptions import UpstreamBackoffError

# Idle time in seconds after which a replica is assumed to close a connection if it announces
# no timeout.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A connection is not reused in the last part of its idle timeout, in seconds: the replica may
# have closed it already, with the notice still in transit.
IDLE_MARGIN_S = 0.7

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class ReplicaConnection(ResponseHandler):
    """Connection with checks that `aiohttp` does not make.

    Bytes that arrive while the connection is idle belong to an earlier request, so the
    connection is aborted. A body that is delimited by the end of the connection is complete
    only if the connection was closed, not if it was reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.idle = False
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        # Replaced by the contact with the replica once the connection is made.
        self.contact = Contact()

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        idle_for_s = steady_time() - self.idle_since
        return self.is_connected() and idle_for_s < self.idle_timeout_s - IDLE_MARGIN_S

    def data_received(self, data: bytes) -> None:
        """Process received bytes; abort the connection if it is idle."""
        self.contact.heard_at = steady_time()
        if self.idle and data:
            self.abort()
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Process the head of an answer, which may announce the idle timeout."""
        found = _KEEP_ALIVE_TIMEOUT.search(data[0].headers.get("Keep-Alive", ""))
        if found is not None:
            self.idle_timeout_s = float(found.group(1))
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body in progress if the connection was lost by an error."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection reset: {exc!r}"))
        super().connection_lost(exc)


class ReplicaConnector(aiohttp.TCPConnector):
    """Pool of `ReplicaConnection` that reuses the most recently used connection first.

    Every request to a replica gets its connection here. Requests to replicas in backoff are
    therefore rejected here, including those that were placed before the replica requested the
    backoff and those that waited for a connection when it did.

    Parameters
    ----------
    backoffs : BackoffTracker
        Tracker of the replicas that have requested a backoff.
    contacts : ContactTracker
        Is told how connections are made or fail.
    **options : object
        Passed to `aiohttp.TCPConnector`.
    """

    def __init__(self, backoffs: BackoffTracker, contacts: ContactTracker, **options: Any) -> None:
        super().__init__(**options)
        self._backoffs = backoffs
        self._contacts = contacts
        self._factory: Any = functools.partial(ReplicaConnection, loop=self._loop)

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection to the replica, unless it is in backoff.

        Raises
        ------
        UpstreamBackoffError
            If the replica is in backoff; nothing is sent.
        """
        self._check_backoff(req)
        connection = await super().connect(req, traces, timeout)
        try:
            self._check_backoff(req)
        except UpstreamBackoffError:
            connection.release()
            raise
        return connection

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        """Make a connection, and record how that went."""
        address, begun = address_of(req.url), steady_time()
        try:
            protocol = await super()._create_connection(req, traces, timeout)
        except (aiohttp.ClientConnectorError, OSError) as error:
            cause = error.os_error if isinstance(error, aiohttp.ClientConnectorError) else error
            now = steady_time()
            failure = failure_of(cause)
            self._contacts.note_connect_failed(address, failure, now - begun, now)
            raise
        now = steady_time()
        contact = self._contacts.of(address, now)
        contact.heard_at = now
        if isinstance(protocol, ReplicaConnection):
            protocol.contact = contact
        return protocol

    def _check_backoff(self, req: aiohttp.ClientRequest) -> None:
        remaining_s = self._backoffs.remaining_s(address_of(req.url), steady_time())
        if remaining_s > 0.0:
            raise UpstreamBackoffError(remaining_s)

    async def _get(self, key: Any, traces: Any) -> Connection | None:
        idle = self._conns.get(key)
        while idle:
            protocol, _ = idle[-1]
            if isinstance(protocol, ReplicaConnection) and protocol.reusable:
                break
            idle.pop()
            protocol.close()
        if idle:
            idle.rotate(1)
        connection = await super()._get(key, traces)
        if connection is not None and isinstance(connection.protocol, ReplicaConnection):
            connection.protocol.idle = False
        return connection

    def _release(self, key: Any, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        super()._release(key, protocol, should_close=should_close)
        if isinstance(protocol, ReplicaConnection):
            protocol.idle = True
            protocol.idle_since = steady_time()


def address_of(url: URL) -> str:
    """Return the replica address of a URL, as ``host:port``."""
    return f"{url.host}:{url.port}"
