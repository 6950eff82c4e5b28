"""A server with little room refuses what has arrived, and closes what has not."""

import asyncio
from typing import Any

from aiohttp import web

from reachlink.ingress import BoundedServer, IngressLimits, listening_socket
from reachlink.ingress._connection_table import CONNECTION_BYTES, REQUEST_BYTES

CALL = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
# Room for two requests in progress and some connections.
LIMITS = IngressLimits(max_connections=8, connection_bytes=3 * (CONNECTION_BYTES + REQUEST_BYTES))


class Served:
    """A server whose handler waits for a gate."""

    def __init__(self, limits: IngressLimits = LIMITS, **options: Any) -> None:
        self.gate = asyncio.Event()
        self.closed: list[str] = []
        self.running = 0
        self.server = BoundedServer(self._answer, limits, on_closed=self.closed.append, **options)
        self._runner = web.ServerRunner(self.server, shutdown_timeout=0.1)
        self._writers: list[asyncio.StreamWriter] = []
        self._address = ("", 0)

    async def __aenter__(self) -> "Served":
        await self._runner.setup()
        listener = listening_socket("127.0.0.1", 0)
        await web.SockSite(self._runner, listener).start()
        self._address = listener.getsockname()
        return self

    async def __aexit__(self, *error: object) -> None:
        for writer in self._writers:
            writer.close()
        await self._runner.cleanup()

    async def connect(self, sent: bytes) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection(*self._address)
        self._writers.append(writer)
        writer.write(sent)
        return reader

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.running += 1
        await self.gate.wait()
        return web.Response(text="done")


def play(work) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(30.0):
            await work()

    asyncio.run(bounded())


async def until(condition) -> None:
    while not condition():
        await asyncio.sleep(0.005)


async def status(reader: asyncio.StreamReader) -> int:
    return int((await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1])


def test_a_request_beyond_the_room_is_refused_with_503_and_those_that_run_end():
    async def work() -> None:
        async with Served() as served:
            running = [await served.connect(CALL) for _ in range(2)]
            await until(lambda: served.running == 2)
            refused = await served.connect(CALL)
            head = await refused.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ") and b"Retry-After: " in head
            served.gate.set()
            assert [await status(reader) for reader in running] == [200, 200]
            assert await status(await served.connect(CALL)) == 200

    play(work)


def test_a_connection_beyond_their_number_is_closed_and_open_ones_serve():
    async def work() -> None:
        async with Served(IngressLimits(2, 1 << 20)) as served:
            served.gate.set()
            first = await served.connect(CALL)
            assert await status(first) == 200
            second = await served.connect(CALL)
            assert await status(second) == 200
            third = await served.connect(b"")
            assert await third.read() == b""
            assert served.closed == ["no_room"]

    play(work)


def test_a_head_that_does_not_end_is_closed_after_its_time():
    async def work() -> None:
        now = [0.0]
        async with Served(head_timeout_s=lambda: 3.0, clock=lambda: now[0]) as served:
            reader = await served.connect(b"GET / HT")
            await until(lambda: served.server.table.used_bytes > CONNECTION_BYTES)
            now[0] = 3.9
            await asyncio.sleep(1.2)
            assert not served.closed
            now[0] = 4.1
            await until(lambda: served.closed == ["head_timeout"])
            assert await reader.read() == b""

    play(work)


def test_connections_that_rest_keep_no_answer():
    async def work() -> None:
        async with Served() as served:
            made: list[web.Response] = []

            async def answer(request: web.BaseRequest) -> web.StreamResponse:
                made.append(web.Response(body=b"x" * 100))
                return made[-1]

            served.server._handler = answer
            reader = await served.connect(CALL)
            assert await status(reader) == 200
            assert await reader.readexactly(100) == b"x" * 100
            await until(lambda: made[0].body is None)

    play(work)


NO_HTTP = b"\x00\xff" * (32 << 10)


def test_bytes_that_are_no_request_are_answered_briefly_with_400():
    async def work() -> None:
        async with Served() as served:
            answer = await (await served.connect(NO_HTTP)).read()
            assert answer.split(b" ", 2)[1] == b"400"
            assert len(answer) <= 1 << 10
            assert served.closed == ["malformed"]

    play(work)


def test_bytes_that_are_no_request_behind_one_that_runs_are_not_kept():
    async def work() -> None:
        async with Served() as served:
            reader = await served.connect(CALL)
            await until(lambda: served.running == 1)
            (handler,) = served.server.connections
            for _ in range(20):
                handler.data_received(NO_HTTP)
            kept = [message for message, _ in handler._messages]
            assert len(repr(kept)) <= 1 << 10
            served.gate.set()
            assert await status(reader) == 200
            await reader.readexactly(len(b"done"))
            assert await status(reader) == 400

    play(work)


def test_what_comes_behind_a_request_to_upgrade_is_not_kept_and_the_request_is_answered():
    upgrade = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"

    async def work() -> None:
        async with Served() as served:
            reader = await served.connect(upgrade + b"x" * (32 << 10))
            await until(lambda: served.running == 1)
            (handler,) = served.server.connections
            assert not handler._message_tail
            served.gate.set()
            assert await status(reader) == 200
            assert await reader.read() == b"done"
            assert await status(await served.connect(upgrade + CALL)) == 200

    play(work)
