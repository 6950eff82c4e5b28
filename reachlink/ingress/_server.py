"""HTTP server whose callers together take a bounded part of the process."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, cast

from aiohttp import StreamReader, web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import _ErrInfo

from reachlink.ingress._connection_table import ConnectionPhase, ConnectionTable
from reachlink.ingress._limits import IngressLimits
from reachlink.kernel import steady_time
from reachlink.telemetry import LogLines, get_logger

Handler = Callable[[Any], Awaitable[web.StreamResponse]]

# What is read ahead of a body in bytes, of which the HTTP library takes twice as much. One chunk
# for each 16 of these bytes may wait as well, and a small chunk takes a hundred bytes.
READ_AHEAD_BYTES = 8 << 10
# Receive buffer of a connection in bytes: what has arrived and is not read takes memory as well.
RECEIVE_BUFFER_BYTES = 64 << 10
# Largest part of a body in bytes that waits for its reader.
MAX_BUFFERED_BYTES = 2 * READ_AHEAD_BYTES + RECEIVE_BUFFER_BYTES
# Largest time in seconds that a head may take to arrive, where no setting says less.
HEAD_TIMEOUT_S = 10.0
# Time in seconds beyond that, for bytes that wait to be read and for delays on the way.
HEAD_MARGIN_S = 1.0
# Interval in seconds between two checks of the heads.
CHECK_INTERVAL_S = 0.5
# Memory that a request takes in bytes which waits behind another one on its connection.
QUEUED_REQUEST_BYTES = 2 << 10
# Largest part in characters of the reason for which a request is malformed that is kept.
MAX_REASON_CHARACTERS = 100
# Time in seconds after which a request that finds no room may come again.
RETRY_S = 0.3
# Log lines about closed connections a second at the most.
LINES_PER_S = 5


def refuse(request: web.BaseRequest) -> web.Response:
    """Return the answer to a request that has not run, as there is no room for it."""
    response = web.Response(
        status=503, text="connections_over_budget", headers={"Retry-After": f"{RETRY_S:.3f}"}
    )
    response.force_close()
    return response


class BoundedRequestHandler(web.RequestHandler):
    """Connection that accounts for what has arrived on it.

    Parameters
    ----------
    server : BoundedServer
        Its server.
    **options : object
        Passed to `aiohttp.web.RequestHandler`.
    """

    __slots__ = ("_content", "_fed_before", "_reads_no_more", "_received", "_server")

    def __init__(self, server: "BoundedServer", **options: Any) -> None:
        super().__init__(server, **options)
        self._server = server
        # Bytes received, and those of them that are no part of the body that is arriving.
        self._received = 0
        self._fed_before = 0
        # The body that is arriving, if one is.
        self._content: StreamReader | None = None
        self._reads_no_more = False

    @property
    def has_queued(self) -> bool:
        """Whether another request waits behind the one that is handled."""
        return bool(self._messages)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; no bytes at all mean that reading goes on after a pause."""
        if self._reads_no_more:
            # The connection ends with the answers to what has come.
            return
        queued = len(self._messages)
        super().data_received(data)
        self._note_malformed()
        self._drop_tail()
        if data and self.transport is not None:
            self._received += len(data)
            added = max(0, len(self._messages) - max(1, queued))
            self._server.on_received(self, len(data) + added * QUEUED_REQUEST_BYTES)

    def _note_malformed(self) -> None:
        """Keep only the start of the reason if the received bytes are no request.

        The HTTP library's reason repeats all of them, in several times their size.
        """
        error, payload = self._messages[-1] if self._messages else (None, None)
        if not isinstance(error, _ErrInfo) or payload is None:
            return
        self._reads_no_more = True
        # Its traceback refers to the bytes, and to itself.
        error.exc.__traceback__ = None
        reason = error.message.partition("\n")[0][:MAX_REASON_CHARACTERS]
        short = HttpProcessingError(code=HTTPStatus.BAD_REQUEST, message=reason)
        self._messages[-1] = (_ErrInfo(HTTPStatus.BAD_REQUEST, short, reason), payload)

    def _drop_tail(self) -> None:
        """End the connection after its request if much came behind one to upgrade or connect.

        No server here does either, and a proper caller waits for the answer.
        """
        if len(self._message_tail) > READ_AHEAD_BYTES:
            self._message_tail = b""
            self._reads_no_more = True
            self.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that failed, or that is malformed."""
        if status != HTTPStatus.BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        self._server.note_malformed(message or "")
        response = web.Response(status=status, text=message)
        response.force_close()
        return response

    def begin_request(self, content: StreamReader) -> None:
        """Note that a request begins to be handled whose body may still be arriving."""
        self._content = content
        self._fed_before = self._received - content.total_bytes

    def end_request(self) -> None:
        """Note that the request has ended."""
        self._content = None

    def note_body_read(self) -> None:
        """Note that the reader of the body has been given all that is there of it."""
        self._server.on_body_read(self)

    @property
    def unparsed_bytes(self) -> int:
        """Bytes of the body that is arriving which are not given to its buffer yet."""
        if self._content is None:
            return 0
        return max(0, self._received - self._fed_before - self._content.total_bytes)


class BoundedServer(web.Server):
    """HTTP server that closes connections, or refuses requests, once there is no room for all.

    Parameters
    ----------
    handler : callable
        Answers requests.
    limits : IngressLimits
        What all callers together may take.
    head_timeout_s : callable
        Returns the largest time in seconds that a head may take to arrive.
    refuse : callable
        Returns the answer to a request for which there is no room.
    on_closed : callable
        Called with the reason for which a connection is closed.
    clock : callable
        Returns the monotonic time in seconds.
    **options : object
        Passed to `aiohttp.web.Server`.
    """

    def __init__(
        self,
        handler: Handler,
        limits: IngressLimits,
        head_timeout_s: Callable[[], float] = lambda: HEAD_TIMEOUT_S,
        refuse: Callable[[web.BaseRequest], web.StreamResponse] = refuse,
        on_closed: Callable[[str], None] = lambda reason: None,
        clock: Callable[[], float] = steady_time,
        **options: Any,
    ) -> None:
        options.setdefault("read_bufsize", READ_AHEAD_BYTES)
        super().__init__(self._admit, **options)
        self._handler = handler
        self._table = ConnectionTable(limits)
        self._head_timeout_s = head_timeout_s
        self._refuse = refuse
        self._on_closed = on_closed
        self._clock = clock
        self._late_heads: set[BoundedRequestHandler] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._lines = LogLines(LINES_PER_S, clock)
        self._log: Any = get_logger()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedRequestHandler(self, loop=self._loop, **self._kwargs)

    @property
    def table(self) -> ConnectionTable:
        """The open connections."""
        return self._table

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Note a new connection; one for which there is no room is closed."""
        super().connection_made(handler, transport)
        self._table.add(handler, self._clock())
        self._make_room(cast(BoundedRequestHandler, handler))
        self._check_later()

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Note the end of a connection."""
        super().connection_lost(handler, exc)
        self._table.remove(handler)
        self._late_heads.discard(cast(BoundedRequestHandler, handler))

    def on_received(self, handler: BoundedRequestHandler, size: int) -> None:
        """Note that bytes have arrived on a connection."""
        self._table.receive(handler, size, self._clock())
        if self._table.phase_of(handler) is ConnectionPhase.BODY:
            # What its reader was given, or the end of the request has dropped, is gone.
            self._table.process(handler, handler.unparsed_bytes + MAX_BUFFERED_BYTES)
        if self._table.is_full:
            self._make_room(handler)

    def on_body_read(self, handler: BoundedRequestHandler) -> None:
        """Note that the reader of a body has been given all that is there of it."""
        if not handler.has_queued:
            self._table.process(handler, handler.unparsed_bytes)

    def note_malformed(self, error: str) -> None:
        """Note that a connection ends as what was received is no request."""
        self._on_closed("malformed")
        if self._lines.admit():
            self._log.info("request_malformed", error=error, unlogged=self._lines.skipped())

    async def _admit(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request, if there is room for it."""
        handler = cast(BoundedRequestHandler, request.protocol)
        now = self._clock()
        arriving = request.body_exists and not request.content.is_eof()
        self._late_heads.discard(handler)
        self._table.begin(handler, arriving, now)
        handler.begin_request(request.content)
        if arriving:
            request.content.on_eof(lambda: self._table.body_ended(handler, self._clock()))
        elif not handler.has_queued:
            self._table.process(handler, 0)
        try:
            if not self._close_others(handler, lambda: self._table.admits_request):
                self._note(handler, "request_refused")
                return self._refuse(request)
            response = await self._handler(request)
            await _write_whole(request, response)
            return response
        finally:
            if not handler.has_queued:
                self._table.process(handler, 0)
            handler.end_request()
            self._table.rest(handler, self._clock())

    def _make_room(self, handler: BoundedRequestHandler) -> None:
        """Close connections until there is room for all others, in the end the given one.

        One whose request has arrived is kept: the request is refused.
        """
        has_room = self._close_others(handler, lambda: not self._table.is_full)
        if not has_room and not handler.has_queued:
            self._close(handler, "no_room")

    def _close_others(self, handler: BoundedRequestHandler, is_enough: Callable[[], bool]) -> bool:
        """Close connections of little use until that is enough; return whether it is."""
        now = self._clock()
        while not is_enough():
            other = cast(BoundedRequestHandler | None, self._table.least_useful(now))
            if other is None or other is handler:
                return False
            self._close(other, "room_for_others")
        return True

    def _close(self, handler: BoundedRequestHandler, reason: str) -> None:
        self._note(handler, reason)
        self._table.remove(handler)
        transport = handler.transport
        if transport is not None:
            # What was received is dropped with it.
            transport.abort()

    def _note(self, handler: BoundedRequestHandler, reason: str) -> None:
        self._on_closed(reason)
        if not self._lines.admit():
            return
        table = self._table
        phase = table.phase_of(handler)
        self._log.info(
            "caller_connection_closed",
            reason=reason,
            phase=phase.value if phase is not None else "",
            open=len(table),
            max_open=table.limits.max_connections,
            used_bytes=table.used_bytes,
            limit_bytes=table.limits.connection_bytes,
            unlogged=self._lines.skipped(),
        )

    def _check_later(self) -> None:
        if self._timer is None and len(self._table):
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Close connections whose head was late at the last check and is so still.

        Twice, since after a stall of the process timers run before what has arrived is read.
        """
        self._timer = None
        timeout_s = self._head_timeout_s() + HEAD_MARGIN_S
        late = self._table.late_heads(self._clock(), timeout_s)
        found = cast(set[BoundedRequestHandler], set(late))
        for handler in found & self._late_heads:
            self._close(handler, "head_timeout")
        self._late_heads = found - self._late_heads
        self._check_later()


async def _write_whole(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Write an answer that is there whole, and drop it.

    The HTTP library keeps the last answer of a connection that rests.
    """
    if not isinstance(response, web.Response):
        return
    try:
        await response.prepare(request)
        await response.write_eof()
    except ConnectionError:
        # The HTTP library finds the same, and ends the connection.
        return
    response.body = None


class BoundedAppRunner(web.AppRunner):
    """Runner of an application whose callers together take a bounded part of the process.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application.
    limits : IngressLimits
        What all callers together may take.
    on_closed : callable
        Called with the reason for which a connection is closed.
    refuse : callable
        Returns the answer to a request for which there is no room.
    **options : object
        Passed to `aiohttp.web.AppRunner`.
    """

    def __init__(
        self,
        app: web.Application,
        limits: IngressLimits,
        on_closed: Callable[[str], None] = lambda reason: None,
        refuse: Callable[[web.BaseRequest], web.StreamResponse] = refuse,
        **options: Any,
    ) -> None:
        super().__init__(app, access_log=None, **options)
        self._limits = limits
        self._on_closed = on_closed
        self._refuse = refuse

    async def listen(self, host: str, port: int) -> None:
        """Start the application and listen on an address."""
        await self.setup()
        await web.SockSite(self, listening_socket(host, port)).start()

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()
        return BoundedServer(
            made.request_handler,
            self._limits,
            on_closed=self._on_closed,
            refuse=self._refuse,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            loop=made._loop,
            **made._kwargs,
        )


def note_body_read(request: web.BaseRequest) -> None:
    """Note that the reader of a request's body has been given all that is there of it."""
    if isinstance(request.protocol, BoundedRequestHandler):
        request.protocol.note_body_read()


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address, whose connections buffer little.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffer(listener)
        listener.bind((host, port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


def limit_receive_buffer(listener: socket.socket) -> None:
    """Limit what the connections that a socket accepts buffer before it is read."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
