"""HTTP client that the adapters share."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from reachlink.kernel import read_bounded, steady_time
from reachlink.pacing import (
    LimitGate,
    LocalGate,
    PacingTracker,
    PermitOptions,
)
from reachlink.reachability import (
    ConnectFailure,
    Dialer,
    DirectDialer,
    DirectPath,
    PathTracker,
)
from reachlink.telemetry import get_logger
from reachlink.upstreams._bodies import WRITE_CHUNK_BYTES, FlowControlledBody
from reachlink.upstreams._connections import ReplicaConnector, address_of
from reachlink.upstreams._conversions import (
    SingleDispatch,
    convert_errors,
    convert_timeout,
    url_of,
)
from reachlink.upstreams._pacing_recorder import PacingRecorder
from reachlink.upstreams._sends import SendRecord, recording
from reachlink.upstreams.exceptions import (
    UpstreamBrittleError,
    UpstreamHeldBackError,
    UpstreamLimitedError,
)

# Header fields that `aiohttp` adds by default; relayed requests bring their own.
_NO_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
CONNECT_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 2.0
# Longest wait for the examination of a path, in seconds. Shorter than a probe of a replica.
SETTLE_TIMEOUT_S = 0.3
# Longest wait of a control request for its permit at a replica with a rate limit, in seconds.
CONTROL_PERMIT_WAIT_S = 0.5
# Largest answer to a control request in bytes.
MAX_CONTROL_BYTES = 1 << 20
MAX_LINE_BYTES = 1 << 20
# Read buffer of an answer in bytes if buffering is bounded. `aiohttp` buffers up to twice that.
READ_AHEAD_BYTES = 32 << 10


class HttpClient:
    """HTTP client with one session for all upstreams of a process.

    Parameters
    ----------
    max_connections : int
        Limit on open connections; 0 for no limit.
    connect_timeout_s : float
        Timeout for opening a connection, in seconds.
    bounded : bool
        Whether small buffers are used for bodies and answers, for processes that account
        for the bytes they hold.
    name : str
        Name of this instance.

    Attributes
    ----------
    pacing : PacingTracker
        Backoffs and rate limits that the replicas request in their answers.
    gate : LimitGate
        Grants permits for replicas with a rate limit. A process that is not the only sender
        replaces it by a gate that coordinates with the other senders.
    recorder : PacingRecorder
        Records what the replicas request in their answers.
    paths : PathTracker
        Direct paths to the replicas.
    dialer : Dialer
        Makes connections. A process with peers replaces it by one that asks them where direct
        connections fail, before the first request.
    on_connect_failed : callable
        Called with the kind of each failure to connect to a replica.
    probe_path : str
        Path at which replicas answer a GET request without work; empty if there is none.
    request_header : str
        Name of the header field in which answers may name their request; empty if those that
        do not are refused. Set before the first request.
    """

    def __init__(
        self,
        max_connections: int = 0,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        bounded: bool = False,
        name: str = "",
    ) -> None:
        self.pacing = PacingTracker(Random(), name)
        self.gate: LimitGate = LocalGate(steady_time)
        self.recorder = PacingRecorder(self.pacing)
        self.on_connect_failed: Callable[[ConnectFailure], None] = lambda failure: None
        self.paths = PathTracker(lambda failure: self.on_connect_failed(failure))
        self.dialer: Dialer = DirectDialer(self.paths, connect_timeout_s)
        self.probe_path = ""
        self.request_header = ""
        self._max_connections = max_connections
        self._bounded = bounded
        self._open_session: aiohttp.ClientSession | None = None
        self._connector: ReplicaConnector | None = None
        self._log: Any = get_logger()

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:
            self._connector = connector = ReplicaConnector(
                self.pacing,
                self.paths,
                self.dialer,
                self.request_header,
                limit=self._max_connections,
                ttl_dns_cache=None,
            )
            timeout = aiohttp.ClientTimeout(total=None)
            options: dict[str, Any] = {"read_bufsize": READ_AHEAD_BYTES} if self._bounded else {}
            self._open_session = aiohttp.ClientSession(
                connector=connector, timeout=timeout, auto_decompress=False, **options
            )
        return self._open_session

    async def close(self) -> None:
        """Close every connection."""
        self.dialer.close()
        if self._open_session is not None:
            await self._open_session.close()

    async def dispatch(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        record: SendRecord | None = None,
    ) -> aiohttp.ClientResponse:
        """Send a request at most once and return the response with its body unread.

        The send is added to `record`.

        Raises
        ------
        UpstreamHeldBackError
            If the upstream has asked for a backoff or its rate limit is reached.
        UpstreamUnreachableError
            If no connection could be made.
        UpstreamBrokenError
            If the connection failed after the request was sent.
        """
        exact_url = url_of(url)
        await self.admit(address_of(exact_url))
        sent_at = steady_time()
        with convert_errors(), recording(record):
            response = await self._session.request(
                method,
                exact_url,
                headers=dict(headers),
                data=body,
                allow_redirects=False,
                middlewares=(SingleDispatch(),),
            )
        self.recorder.record(response, sent_at)
        return response

    async def relay(
        self,
        method: str,
        url: str,
        headers: list[tuple[str, str]],
        body: bytes,
        admitted: bool = False,
        record: SendRecord | None = None,
    ) -> aiohttp.ClientResponse:
        """Relay a request at most once and return the response with its body unread.

        The target and the header fields are sent unchanged. With `admitted`, the request
        already has its permit from `admit`. The send is added to `record`.

        Raises
        ------
        UpstreamHeldBackError
            If the upstream has asked for a backoff or its rate limit is reached.
        UpstreamUnreachableError
            If no connection could be made.
        UpstreamBrokenError
            If the connection failed after the request was sent.
        """
        exact_url = url_of(url)
        if not admitted:
            await self.admit(address_of(exact_url))
        sent_at = steady_time()
        with convert_errors(ValueError), recording(record):
            response = await self._session.request(
                method,
                exact_url,
                headers=CIMultiDict(headers),
                data=self._payload(body),
                skip_auto_headers=_NO_AUTO_HEADERS,
                allow_redirects=False,
                middlewares=(SingleDispatch(),),
            )
        self.recorder.record(response, sent_at)
        return response

    def _payload(self, body: bytes) -> "bytes | FlowControlledBody | None":
        if self._bounded and len(body) > WRITE_CHUNK_BYTES:
            return FlowControlledBody(body)
        return body or None

    async def admit(self, address: str, max_wait_s: float = 0.0, background: bool = False) -> None:
        """Wait until the replica's rate limit allows another request.

        Every request needs a permit: first attempts, retries, continuations, reports and
        orders. The limit of a replica applies to all of them together.

        Parameters
        ----------
        address : str
            Address of the replica.
        max_wait_s : float
            Longest wait for the permit, in seconds.
        background : bool
            Whether the request gives way to all other requests to the replica.

        Raises
        ------
        UpstreamLimitedError
            If the permit would take longer than `max_wait_s`; none is reserved.
        UpstreamBrittleError
            If the replica is brittle and has as many requests as this instance may have there.
        """
        limits, now = self.pacing.limits, steady_time()
        brittle_s = 0.0 if background else self.pacing.brittle.remaining_s(address, now)
        if brittle_s > 0.0:
            raise UpstreamBrittleError(brittle_s)
        limit = limits.get(address)
        if limit is None:
            return
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
        """Open a connection to an address and close it.

        Raises
        ------
        UpstreamUnreachableError
            If the connection is refused or times out.
        """
        with convert_errors():
            connected = await self.dialer.dial(address)
        connected.close()

    async def probe_request(self, address: str) -> bytes:
        """Return a request that gives a replica no work; nothing if it may get none now."""
        if not self.probe_path or self.pacing.backoffs.remaining_s(address, steady_time()) > 0.0:
            return b""
        try:
            await self.admit(address, background=True)
        except UpstreamHeldBackError:
            return b""
        head = f"GET {self.probe_path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
        return head.encode()

    async def settle(self, address: str) -> None:
        """Wait until it is known whose fault it is that a replica does not answer.

        Raises
        ------
        UpstreamUnreachableError
            If that takes too long; the cause is a `TimeoutError`.
        """
        with convert_timeout(address):
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                await self.dialer.settle(address)

    def abort_silent(self, path: DirectPath) -> None:
        """Abort the connections on a lost path that await an answer in vain."""
        if self._connector is not None:
            self._connector.abort_silent(path)

    @asynccontextmanager
    async def control(
        self, method: str, url: str, body: bytes | None = None, background: bool = False
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a small, idempotent request.

        With `background`, it gives way to all other requests if the upstream has advertised a
        rate limit.
        """
        await self.admit(
            address_of(URL(url)), 0.0 if background else CONTROL_PERMIT_WAIT_S, background
        )
        with convert_errors():
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                # Tasks and timers that a request has started are in its context.
                with recording(None):
                    response = await self._session.request(method, url, data=body)
                async with response:
                    self.recorder.record(response)
                    yield response


async def read_control(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer to a control request; raises an `aiohttp.ClientError`."""
    return await read_bounded(response, MAX_CONTROL_BYTES)
