"""Connections of callers: how long they may rest, and how a planned stop ends them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from reachlink.entry._cut_requests import log_cut_requests
from reachlink.entry._unsent_answers import UnsentAnswers
from reachlink.kernel import steady_time
from reachlink.telemetry import get_logger

# Time in seconds that a connection may rest beyond what callers make use of.
IDLE_MARGIN_S = 1.0
# Interval in seconds between two checks of the resting connections.
CHECK_INTERVAL_S = 0.5
# Time in seconds for which an overdue connection is read before its close: after a stall of the
# process, timers run before what has arrived meanwhile is read.
LAST_READ_S = 0.05
# Passes of the event loop after which a request that was read has begun to be handled.
SETTLE_PASSES = 4
# Interval in seconds at which the end of a planned stop looks at the connections.
FINISH_POLL_S = 0.05
# Time in seconds for which the connections must be quiet before a planned stop closes them: a
# caller that has just got an answer may send its next request at once.
QUIET_S = 0.5


class CallerConnection:
    """One connection of a caller.

    Parameters
    ----------
    protocol : aiohttp.web.RequestHandler
        HTTP protocol of the connection.
    now : float
        Monotonic time in seconds.
    idle_timeout_s : float
        Time in seconds for which callers may use a resting connection.
    """

    __slots__ = ("_allowed_rest_s", "_began_at", "_protocol", "_request", "_rests_since")

    def __init__(self, protocol: web.RequestHandler, now: float, idle_timeout_s: float) -> None:
        self._protocol = protocol
        self._request: web.BaseRequest | None = None
        self._began_at = now
        self.rest(now, idle_timeout_s)

    @property
    def running(self) -> bool:
        """Whether a request is being handled."""
        return self._request is not None

    @property
    def request(self) -> web.BaseRequest | None:
        """The request that is being handled; None if none is."""
        return self._request

    @property
    def began_at(self) -> float:
        """Monotonic time in seconds at which the last request began to be handled."""
        return self._began_at

    @property
    def rests_since(self) -> float:
        """Monotonic time in seconds at which the last request ended, or the connection was made."""
        return self._rests_since

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None

    @property
    def is_ended(self) -> bool:
        """Whether the connection is closed and nothing is left to be sent on it."""
        transport = self._protocol.transport
        if transport is None:
            return True
        return transport.is_closing() and not transport.get_write_buffer_size()

    @property
    def _transport(self) -> asyncio.Transport | None:
        """Transport of the connection; None if it is closed or closing."""
        transport = self._protocol.transport
        return None if transport is None or transport.is_closing() else transport

    def begin(self, request: web.BaseRequest, now: float) -> None:
        """Note that a request has been read."""
        self._request, self._began_at = request, now

    def rest(self, now: float, idle_timeout_s: float) -> None:
        """Note that no request is being handled."""
        self._request = None
        self._rests_since = now
        self._allowed_rest_s = idle_timeout_s

    def is_overdue(self, now: float, idle_timeout_s: float) -> bool:
        """Return whether callers make no use of the connection any more.

        If the idle time has changed meanwhile, the longer one applies: the caller may know
        either.
        """
        allowed_s = max(self._allowed_rest_s, idle_timeout_s) + IDLE_MARGIN_S
        return not self.running and now - self._rests_since > allowed_s

    def pause(self) -> None:
        """Read nothing more from the caller."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read from the caller again."""
        if self._transport is not None:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection."""
        self._protocol.force_close()


class CallerConnections:
    """All connections of callers.

    Parameters
    ----------
    idle_timeout_s : callable
        Returns the time in seconds for which callers may use a resting connection.
    on_closed : callable
        Called with the reason for which a connection is closed.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        idle_timeout_s: Callable[[], float],
        on_closed: Callable[[str], None] = lambda reason: None,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._on_closed = on_closed
        self._clock = clock
        self._connections: dict[web.RequestHandler, CallerConnection] = {}
        self._unsent = UnsentAnswers(lambda: self._connections, clock)
        self._timer: asyncio.TimerHandle | None = None
        self._closing: set[asyncio.Task[None]] = set()
        self._log: Any = get_logger()

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    @property
    def running_count(self) -> int:
        """Number of connections with a request that is being handled."""
        return sum(connection.running for connection in self._connections.values())

    def add(self, protocol: web.RequestHandler) -> CallerConnection:
        """Return the connection of a protocol, which is new unless it is known."""
        connection = self._connections.get(protocol)
        if connection is None:
            connection = CallerConnection(protocol, self._clock(), self._idle_timeout_s())
            self._connections[protocol] = connection
            self._check_later()
        return connection

    def discard(self, protocol: web.RequestHandler) -> None:
        """Remove a connection that is closed."""
        self._connections.pop(protocol, None)

    async def handle(
        self,
        request: web.BaseRequest,
        handler: Callable[[Any], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Handle a request; its connection does not rest meanwhile."""
        connection = self.add(request.protocol)
        connection.begin(request, self._clock())
        try:
            return await handler(request)
        finally:
            connection.rest(self._clock(), self._idle_timeout_s())

    async def finish(self, unread_patience_s: float) -> None:
        """Answer the requests that are still on their way to this instance, then read no more.

        For the end of a planned stop, when no new connections are accepted.

        Parameters
        ----------
        unread_patience_s : float
            Time in seconds for which callers may read nothing of their last answers.
        """
        await self._wait_until_quiet()
        for connection in self._connections.values():
            connection.pause()
        await _settle()
        for connection in self._connections.values():
            if connection.running:
                # Its request was read before; the rest of the body may not have been.
                connection.resume()
        while self.running_count:
            await asyncio.sleep(FINISH_POLL_S)
        await self._unsent.sent(unread_patience_s)
        if unsent := self._unsent.count:
            self._log.warning("answers_cut", count=unsent, reason="not read in time")
        self._log.info("caller_connections_finished", open=len(self._connections))

    async def wait(self, patience_s: float) -> None:
        """Wait for what is being handled, at most `patience_s` seconds."""
        until = self._clock() + patience_s
        while self.running_count and self._clock() < until:
            await asyncio.sleep(FINISH_POLL_S)

    async def end(self, patience_s: float) -> None:
        """Wait for what is being handled, and name what is then cut.

        For the end of a stop, just before all connections are closed.

        Parameters
        ----------
        patience_s : float
            Longest wait in seconds.
        """
        await self.wait(patience_s)
        running = [(c.request, c.began_at) for c in self._connections.values()]
        cut = [(request, began_at) for request, began_at in running if request is not None]
        log_cut_requests(self._log, cut, self._clock())

    def close(self) -> None:
        """Check the connections no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for task in self._closing:
            task.cancel()

    async def _wait_until_quiet(self) -> None:
        """Wait until the connections are quiet, and still are after one more reading."""
        was_quiet = False
        while not (was_quiet and self._is_quiet()):
            was_quiet = self._is_quiet()
            await asyncio.sleep(FINISH_POLL_S)

    def _is_quiet(self) -> bool:
        """Return whether no caller has been answered for some time, or is being answered."""
        since = self._clock() - QUIET_S
        open_ones = [one for one in self._connections.values() if one.is_open]
        return not any(one.running or one.rests_since > since for one in open_ones)

    def _check_later(self) -> None:
        if self._timer is None and self._connections:
            self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        for protocol, connection in list(self._connections.items()):
            if connection.is_ended and not connection.running:
                self.discard(protocol)
            elif self._is_overdue(connection):
                self._close_later(protocol, connection)
        self._check_later()

    def _is_overdue(self, connection: CallerConnection) -> bool:
        return connection.is_open and connection.is_overdue(self._clock(), self._idle_timeout_s())

    def _close_later(self, protocol: web.RequestHandler, connection: CallerConnection) -> None:
        task = asyncio.create_task(self._close_overdue(protocol, connection))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close_overdue(
        self, protocol: web.RequestHandler, connection: CallerConnection
    ) -> None:
        """Close a connection, unless a request has come in by now."""
        await asyncio.sleep(LAST_READ_S)
        if not self._is_overdue(connection):
            return
        connection.pause()
        await _settle()
        if not self._is_overdue(connection):
            connection.resume()
            return
        self._log.info(
            "caller_connection_closed",
            reason="idle",
            rested_s=round(self._clock() - connection.rests_since, 1),
            idle_timeout_s=self._idle_timeout_s(),
        )
        self._on_closed("idle")
        self.discard(protocol)
        connection.close()


async def _settle() -> None:
    """Let requests that were read begin to be handled.

    Not longer: a request that arrives meanwhile is not read.
    """
    for _ in range(SETTLE_PASSES):
        await asyncio.sleep(0)
