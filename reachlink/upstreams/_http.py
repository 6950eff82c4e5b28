"""The HTTP client side, shared by the adapters."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from random import Random
from typing import Any

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from reachlink.kernel import steady_time
from reachlink.pacing import LimitGate, LocalGate, PacingTracker, PermitOptions, parse_limit
from reachlink.telemetry import get_logger
from reachlink.upstreams._bodies import WRITE_CHUNK_BYTES, FlowControlledBody
from reachlink.upstreams._connections import ReplicaConnector, address_of
from reachlink.upstreams._retry_after import requested_backoff_s
from reachlink.upstreams.exceptions import (
    UpstreamBrokenError,
    UpstreamLimitedError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)

# Headers that `aiohttp` would add by itself; what is relayed has its own.
_NO_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
CONNECT_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 2.0
# How long a small request waits for its permit at a replica with a limit, in seconds.
CONTROL_PERMIT_WAIT_S = 0.5
MAX_ERROR_BYTES = 64 << 10
MAX_LINE_BYTES = 1 << 20
# What is read ahead of an answer where that is bounded, in bytes; the library takes twice that.
READ_AHEAD_BYTES = 32 << 10
# Most of an unreadable field that a log line shows, in characters.
MAX_LOGGED_CHARACTERS = 40

# Field of an answer with the requests a second that a replica takes from all together.
LIMIT_HEADER = "X-Fleet-Rate-Limit"
# HTTP statuses of success (RFC 9110, section 15.3).
_SUCCESS_STATUSES = range(200, 300)

# Statuses with which an upstream says that it did not run the request.
REFUSED_STATUSES = frozenset({400, 404, 409, 413, 422, 429, 503})


class ErrorDetail(msgspec.Struct):
    """The inner part of an error body."""

    code: str | int | None = None
    message: str = ""


class ErrorBody(msgspec.Struct):
    """An error in the shape that OpenAI-compatible servers use."""

    error: ErrorDetail = msgspec.field(default_factory=ErrorDetail)


class HttpClient:
    """One session for all upstreams of a process.

    Parameters
    ----------
    max_connections : int
        Bound on open connections; 0 for none.
    connect_timeout_s : float
        Longest time to make a connection, in seconds.
    bounded : bool
        Whether what is buffered of a body or an answer is bounded closely, for processes
        that count what they hold.

    Attributes
    ----------
    pacing : PacingTracker
        What the replicas ask of who sends to them, as all their answers here said.
    gate : LimitGate
        Grants permits for replicas with a limit; a process that is not the only one to send
        replaces it by one that asks the others.
    limit_header : str
        Field of their answers in which they do.
    """

    def __init__(
        self,
        max_connections: int = 0,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        bounded: bool = False,
    ) -> None:
        self.pacing = PacingTracker(Random())
        self.gate: LimitGate = LocalGate(steady_time)
        self.limit_header = LIMIT_HEADER
        # Called when a replica names another limit than before, or none any more.
        self.on_limit_change: Callable[[], None] = lambda: None
        self._max_connections = max_connections
        self._connect_timeout_s = connect_timeout_s
        self._bounded = bounded
        self._open_session: aiohttp.ClientSession | None = None
        self._log: Any = get_logger()

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:
            connector = ReplicaConnector(
                self.pacing.backoffs, limit=self._max_connections, ttl_dns_cache=None
            )
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._connect_timeout_s)
            options: dict[str, Any] = {"read_bufsize": READ_AHEAD_BYTES} if self._bounded else {}
            self._open_session = aiohttp.ClientSession(
                connector=connector, timeout=timeout, auto_decompress=False, **options
            )
        return self._open_session

    async def close(self) -> None:
        """Close every connection."""
        if self._open_session is not None:
            await self._open_session.close()

    async def dispatch(
        self, method: str, url: str, headers: Mapping[str, str], body: bytes
    ) -> aiohttp.ClientResponse:
        """Send a request at most once and return the response with its body unread.

        Raises
        ------
        UpstreamHeldBackError
            The upstream has asked for a backoff, or gets as much as it takes.
        UpstreamUnreachableError
            No connection could be made.
        UpstreamBrokenError
            The connection failed after the request was sent.
        """
        await self.admit(address_of(URL(url)))
        sent_at = steady_time()
        with _convert_errors():
            response = await self._session.request(
                method,
                url,
                headers=dict(headers),
                data=body,
                allow_redirects=False,
                middlewares=(SingleDispatch(),),
            )
        self._record_backoff(response)
        self._record_limit(response, sent_at)
        return response

    async def relay(
        self,
        method: str,
        url: str,
        headers: list[tuple[str, str]],
        body: bytes,
        admitted: bool = False,
    ) -> aiohttp.ClientResponse:
        """Send a request as it came, at most once, and return the response with its body unread.

        With `admitted` it has had its permit already, as `admit` returned.

        Raises
        ------
        UpstreamHeldBackError
            The upstream has asked for a backoff, or gets as much as it takes.
        UpstreamUnreachableError
            No connection could be made.
        UpstreamBrokenError
            The connection failed after the request was sent.
        """
        if not admitted:
            await self.admit(address_of(URL(url, encoded=True)))
        sent_at = steady_time()
        with _convert_errors(ValueError):
            response = await self._session.request(
                method,
                URL(url, encoded=True),
                headers=CIMultiDict(headers),
                data=self._payload(body),
                skip_auto_headers=_NO_AUTO_HEADERS,
                allow_redirects=False,
                middlewares=(SingleDispatch(),),
            )
        self._record_backoff(response)
        self._record_limit(response, sent_at)
        return response

    def _payload(self, body: bytes) -> "bytes | FlowControlledBody | None":
        if self._bounded and len(body) > WRITE_CHUNK_BYTES:
            return FlowControlledBody(body)
        return body or None

    async def admit(self, address: str, max_wait_s: float = 0.0, background: bool = False) -> None:
        """Return when another request may be sent to a replica, as far as its limit goes.

        Whatever is sent passes here: first tries, repeats, continuations, reports and
        orders. All of it reaches the replica, which names a limit on the sum.

        Parameters
        ----------
        address : str
            The replica.
        max_wait_s : float
            Longest wait for the request's permit, in seconds.
        background : bool
            Whether it gives way to all others.

        Raises
        ------
        UpstreamLimitedError
            The permit would come later; none was taken.
        """
        limits = self.pacing.limits
        limit = limits.get(address)
        if limit is None:
            return
        now = steady_time()
        remaining_s = limits.remaining_s(address, now)
        if remaining_s > max_wait_s and not limits.admits(address, now):
            raise UpstreamLimitedError(remaining_s)
        remaining_s = await self.gate.acquire(address, limit, PermitOptions(max_wait_s, background))
        if remaining_s <= max_wait_s:
            await asyncio.sleep(remaining_s)
            return
        if not background:
            limits.block(address, remaining_s, steady_time())
        raise UpstreamLimitedError(remaining_s)

    async def connect(self, address: str) -> None:
        """Connect to an address and close the connection.

        Raises
        ------
        UpstreamUnreachableError
            Nobody listens there, or nothing is heard.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            raise UpstreamUnreachableError(str(error) or type(error).__name__) from error
        writer.close()

    @asynccontextmanager
    async def control(
        self, method: str, url: str, body: bytes | None = None, background: bool = False
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a small request whose repetition does no harm.

        With `background` it gives way to all others where the upstream has named a limit.
        """
        await self.admit(
            address_of(URL(url)), 0.0 if background else CONTROL_PERMIT_WAIT_S, background
        )
        with _convert_errors():
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                async with self._session.request(method, url, data=body) as response:
                    self._record_backoff(response)
                    self._record_limit(response)
                    yield response

    def _record_backoff(self, response: aiohttp.ClientResponse) -> None:
        """Take what an answer says of when its replica wants to be asked again."""
        address = address_of(response.url)
        try:
            wait_s = requested_backoff_s(response.status, response.headers, time.time())
        except ValueError as error:
            reason = str(error)[:MAX_LOGGED_CHARACTERS]
            self._log.info("backoff_unreadable", address=address, reason=reason)
            return
        if wait_s is None:
            self.pacing.note_answer(address, steady_time())
            return
        self.pacing.backoffs.record(address, wait_s, steady_time())
        self._log.info(
            "backoff_requested", address=address, status=response.status, wait_s=round(wait_s, 3)
        )

    def _record_limit(self, response: aiohttp.ClientResponse, sent_at: float | None = None) -> None:
        """Take what an answer says of how much its replica takes from all together.

        Parameters
        ----------
        response : aiohttp.ClientResponse
            The answer.
        sent_at : float, optional
            When the request was sent, in monotonic seconds, where an answer that names no
            limit ends one; reports and refusals do not.
        """
        address = address_of(response.url)
        text = response.headers.get(self.limit_header)
        if text is None:
            succeeded = response.status in _SUCCESS_STATUSES
            ends = sent_at is not None and succeeded
            if ends and self.pacing.limits.record_absence(address, sent_at or 0.0, steady_time()):
                self._log.info("limit_ended", address=address)
                self.on_limit_change()
            return
        try:
            per_s = parse_limit(text)
        except ValueError as error:
            reason = str(error)[:MAX_LOGGED_CHARACTERS]
            self._log.info("limit_unreadable", address=address, reason=reason)
            return
        if self.pacing.limits.record(address, per_s, steady_time()):
            self._log.info("limit_named", address=address, per_s=per_s)
            self.on_limit_change()


@contextmanager
def _convert_errors(*broken: type[Exception]) -> Iterator[None]:
    """Turn the library's errors, and `broken` besides, into this layer's."""
    failures: tuple[type[Exception], ...] = (aiohttp.ClientError, OSError, TimeoutError, *broken)
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamUnreachableError(str(error)) from error
    except failures as error:
        raise UpstreamBrokenError(str(error) or type(error).__name__) from error


class SingleDispatch:
    """Client middleware that lets a request go out once.

    `aiohttp` sends requests of idempotent methods again by itself when a
    kept-alive connection turns out dead. Whether that is safe is for the
    retry policy to decide, never for the library.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Pass the request on, or fail if it went out before."""
        if self._sent:
            raise UpstreamBrokenError("the connection broke after the request was sent")
        self._sent = True
        return await handler(request)


async def raise_refusal(response: aiohttp.ClientResponse) -> None:
    """Turn an error response to a dispatched request into this layer's errors."""
    try:
        raw = await response.content.read(MAX_ERROR_BYTES)
        detail = msgspec.json.decode(raw, type=ErrorBody).error
    except msgspec.DecodeError:
        detail = ErrorDetail(message="the upstream's error could not be read")
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamBrokenError(str(error)) from error
    finally:
        response.release()
    if response.status in REFUSED_STATUSES:
        code = str(detail.code or response.status)
        raise UpstreamRefusedError(response.status, code, detail.message)
    raise UpstreamBrokenError(f"upstream failed with status {response.status}: {detail.message}")
