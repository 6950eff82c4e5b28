"""HTTP server for callers that leaves the closing of idle connections to `CallerConnections`."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from reachlink.entry._caller_connections import CallerConnections
from reachlink.ingress import BoundedServer, IngressLimits, listening_socket

# Keep-alive time of the HTTP library in seconds, which must not expire before the idle time.
SERVER_KEEPALIVE_S = 86400.0
# Time in seconds that handlers get to end once their connections close. The HTTP library takes 0
# for no limit.
CLOSE_TIMEOUT_S = 0.5


class CallerServer(BoundedServer):
    """HTTP server whose connections rest for as long as the settings in force say.

    Parameters
    ----------
    handler : callable
        Answers requests.
    connections : CallerConnections
        Connections of the server.
    limits : IngressLimits
        What all callers together may take.
    **options : object
        Passed to `BoundedServer`.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        connections: CallerConnections,
        limits: IngressLimits,
        **options: Any,
    ) -> None:
        super().__init__(
            lambda request: connections.handle(request, handler),
            limits,
            keepalive_timeout=SERVER_KEEPALIVE_S,
            access_log=None,
            # Bodies go to replicas unchanged, beside the field that names their coding.
            auto_decompress=False,
            handler_cancellation=True,
            **options,
        )
        self._caller_connections = connections

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Note a new connection."""
        super().connection_made(handler, transport)
        self._caller_connections.add(handler)

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Note the end of a connection."""
        super().connection_lost(handler, exc)
        self._caller_connections.discard(handler)


class CallerListener:
    """A `CallerServer` and the socket that it listens on.

    Parameters
    ----------
    server : CallerServer
        The server.
    backlog : int
        Number of connections that may wait to be accepted.
    """

    def __init__(self, server: CallerServer, backlog: int) -> None:
        self._runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        self._backlog = backlog

    @property
    def runner(self) -> web.ServerRunner:
        """Runner of the server."""
        return self._runner

    async def start(self, host: str, port: int, listener: socket.socket | None = None) -> None:
        """Listen on an address, or on a socket that listens there already."""
        await self._runner.setup()
        listener = listener or listening_socket(host, port)
        await web.SockSite(self._runner, listener, backlog=self._backlog).start()

    async def stop_listening(self) -> None:
        """Accept no new connections; those that are open go on."""
        for site in list(self._runner.sites):
            await site.stop()

    async def close(self) -> None:
        """Close every connection."""
        await self._runner.cleanup()
