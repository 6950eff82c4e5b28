"""Connections to replicas: reused only where no other request's bytes can be on them."""

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
from reachlink.upstreams.exceptions import UpstreamBackoffError

# A replica that announces no idle time is taken to close connections after
# this many seconds.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A connection is not used again this close to the end of its idle time, in
# seconds: the replica's close may be on its way.
IDLE_MARGIN_S = 0.7

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class ReplicaConnection(ResponseHandler):
    """One connection, with what `aiohttp` does not look after.

    Bytes that arrive while no request waits belong to an earlier one: the
    connection is dropped. A body that ends with its connection is complete
    only if the connection was closed, not if it was reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self.idle = False
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it."""
        idle_for_s = steady_time() - self.idle_since
        return self.is_connected() and idle_for_s < self.idle_timeout_s - IDLE_MARGIN_S

    def data_received(self, data: bytes) -> None:
        """Take bytes from the replica."""
        if self.idle and data:
            self.abort()
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take the head of an answer, which may tell how long the connection rests."""
        found = _KEEP_ALIVE_TIMEOUT.search(data[0].headers.get("Keep-Alive", ""))
        if found is not None:
            self.idle_timeout_s = float(found.group(1))
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tell a body in progress that it was cut off."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection reset: {exc!r}"))
        super().connection_lost(exc)


class ReplicaConnector(aiohttp.TCPConnector):
    """Pool of `ReplicaConnection`, the most recently used first.

    Whatever is sent to a replica gets its connection here, so that this is where one in
    backoff is left alone, also by what was decided before it asked for that and by what
    has waited for a connection meanwhile.

    Parameters
    ----------
    backoffs : BackoffTracker
        The replicas that have asked for a backoff.
    **options : object
        Passed to `aiohttp.TCPConnector`.
    """

    def __init__(self, backoffs: BackoffTracker, **options: Any) -> None:
        super().__init__(**options)
        self._backoffs = backoffs
        self._factory: Any = functools.partial(ReplicaConnection, loop=self._loop)

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection to a replica that is not in backoff.

        Raises
        ------
        UpstreamBackoffError
            If it is; nothing is sent then.
        """
        self._check_backoff(req)
        connection = await super().connect(req, traces, timeout)
        try:
            self._check_backoff(req)
        except UpstreamBackoffError:
            connection.release()
            raise
        return connection

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
    """Return host and port of a URL, as replicas' addresses are written."""
    return f"{url.host}:{url.port}"
