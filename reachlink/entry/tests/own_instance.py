"""One entry instance in this process, with replicas that a test writes out byte by byte."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any

import msgspec

from reachlink.control import WatchRequest
from reachlink.entry import EntryConfig, EntryDaemon, PlatformSource
from reachlink.membership import ListedInstance, SettingsAnswer
from reachlink.settings import hash_key

KEY = "key-of-a-workspace"
WORKSPACE = "borettslag-nord"
MODEL = "explain"
PLAIN = "readings"
WAIT_S = 20.0
UNKNOWN = b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}"

Serve = Callable[["ReplicaRequest", asyncio.StreamWriter], Awaitable[None]]


class ReplicaRequest(msgspec.Struct):
    """A request as a replica reads it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Replica:
    """A replica.

    Parameters
    ----------
    serve : callable
        Answers requests of callers.
    known : bytes
        What it answers to questions about generations; by default it knows of none.
    serve_rest : callable, optional
        Answers requests for the rest of a generation; by default in the same way.
    """

    def __init__(
        self, serve: Serve, known: bytes = UNKNOWN, serve_rest: Serve | None = None
    ) -> None:
        self.serve = serve
        self.serve_rest = serve_rest
        self.known = known
        self.requests: list[ReplicaRequest] = []
        self.address = ""
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while request := await read_request(reader):
                if request.method in ("POST", "PUT"):
                    self.requests.append(request)
                    await self.serve(request, writer)
                elif self.serve_rest is not None and "/events" in request.path:
                    await self.serve_rest(request, writer)
                else:
                    writer.write(self.known if "/generations" in request.path else UNKNOWN)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> ReplicaRequest | None:
    """Return the next request on a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    method, path, _ = first.split(" ")
    headers = dict(line.split(": ", 1) for line in lines)
    length = int(headers.get("Content-Length", "0"))
    return ReplicaRequest(method, path, headers, await reader.readexactly(length))


class EventLog:
    """Collects log lines."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **values: Any) -> None:
        self.events.append((event, values))

    warning = error = info

    def named(self, event: str) -> list[dict[str, Any]]:
        """Return the values of each line of an event."""
        return [values for name, values in self.events if name == event]


class OwnInstance:
    """An entry instance that serves one model and one plain service.

    Parameters
    ----------
    replicas : Replica
        Replicas of both.
    settings : dict, optional
        Further values of the settings.
    confirmed : bool
        Whether the settings are confirmed to be the newest.
    stop_grace_s : float
        Time after which the process is ended once a planned stop began, in seconds.
    """

    def __init__(
        self,
        *replicas: Replica,
        settings: dict[str, Any] | None = None,
        confirmed: bool = True,
        stop_grace_s: float = 0.0,
    ) -> None:
        self.replicas = replicas
        self._confirmed = confirmed
        self._values = {
            f"services.{MODEL}.kind": "model",
            f"services.{PLAIN}.kind": "plain",
            f"workspaces.{WORKSPACE}.key_hashes": [hash_key(KEY)],
            **(settings or {}),
        }
        config = EntryConfig(
            name="e1",
            availability_zone="a",
            port=0,
            bus_address="127.0.0.1:*",
            cluster_secret="",
            controls=["127.0.0.1:1"],
            platform=PlatformSource(url="http://127.0.0.1:1/"),
            balancer_delay_s=0.0,
            stop_grace_s=stop_grace_s,
        )
        self.daemon = EntryDaemon(config)
        self.node = self.daemon._node
        self.log = EventLog()
        self.node.log = self.log
        self.daemon._connections._log = self.log
        self.node.cancellation._log = self.log
        self.port = 0

    async def __aenter__(self) -> "OwnInstance":
        for replica in self.replicas:
            await replica.start()
        self.daemon._platform = self
        self.node.settings.take(SettingsAnswer(1, True, values=self._values))
        self.node.ready = True
        if self._confirmed:
            # No control instance is there to confirm what this one has.
            request = WatchRequest("entry", 1, 0.0)
            self.node.confirmation.note(request, SettingsAnswer(1, True), float("inf"))
        await self.daemon.start()
        await self.daemon._read_platform()
        assert self.daemon._runner is not None
        self.port = self.daemon._runner.addresses[0][1]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.daemon.stop()
        for replica in self.replicas:
            await replica.close()

    async def instances(self) -> list[ListedInstance]:
        """Return the platform's list."""
        return [
            ListedInstance(f"{upstream}-{number}", upstream, "a", replica.address)
            for upstream in (MODEL, PLAIN)
            for number, replica in enumerate(self.replicas)
        ]

    async def close(self) -> None:
        """Stand for the platform's adapter."""

    async def connect(self, receive_buffer_bytes: int = 0) -> "RawCaller":
        """Return a caller on a connection of its own.

        Parameters
        ----------
        receive_buffer_bytes : int
            How much the system takes before the caller reads; 0 for the system's choice.
        """
        connection = socket.socket()
        if receive_buffer_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", self.port))
        return RawCaller(*await asyncio.open_connection(sock=connection))


class Answer(msgspec.Struct):
    """An answer as a caller reads it."""

    status: int
    headers: dict[str, str]
    body: bytes

    def error(self) -> dict[str, Any]:
        """Return the error in the body."""
        found: dict[str, Any] = msgspec.json.decode(self.body)["error"]
        return found


class RawCaller:
    """A caller that writes bytes and reads answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(
        self, path: str, body: bytes = b"{}", headers: bytes = b"", key: bytes = KEY.encode()
    ) -> None:
        """Send a POST request."""
        head = b"POST %b HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %b\r\n" % (path.encode(), key)
        size = b"" if b"Content-Length" in headers else b"Content-Length: %d\r\n" % len(body)
        self.writer.write(head + size + headers + b"\r\n" + body)

    async def answer(self) -> Answer:
        """Read an answer that is whole.

        Raises
        ------
        asyncio.IncompleteReadError
            If the connection ends before the end of the answer.
        """
        async with asyncio.timeout(WAIT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").rstrip().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines)
            if headers.get("Transfer-Encoding") == "chunked":
                body = await self._chunks()
            else:
                body = await self.reader.readexactly(int(headers.get("Content-Length", "0")))
            return Answer(int(first.split(" ")[1]), headers, body)

    async def _chunks(self) -> bytes:
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return body

    def close(self) -> None:
        """End the connection at once."""
        self.writer.transport.abort()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def chat_body(**fields: Any) -> bytes:
    """Return a body for the model."""
    messages = [{"role": "user", "content": "hello"}]
    return msgspec.json.encode({"model": MODEL, "messages": messages, **fields})


def chat_event(request_id: str, offset: int, final: bool = False, text: str = "x") -> bytes:
    """Return one event of an engine's generation ``g1``."""
    choice = {"delta": {"content": text}, "finish_reason": "stop" if final else None}
    data = {"id": request_id, "generation": "g1", "offset": offset, "choices": [choice]}
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


ENGINE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Generation-Id: g1\r\n"
    b"Connection: close\r\n\r\n"
)


async def serve_tokens(request: ReplicaRequest, writer: asyncio.StreamWriter) -> None:
    """Answer as an engine with two tokens, or as a service with an empty object."""
    if not request.path.startswith("/v1/"):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        return
    request_id = request.headers["X-Request-Id"]
    writer.write(ENGINE_HEAD + chat_event(request_id, 0) + chat_event(request_id, 1, final=True))
    writer.write(b"data: [DONE]\n\n")
    await writer.drain()
    writer.close()
