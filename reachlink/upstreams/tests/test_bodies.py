"""A long body is handed on as its receiver takes it, and arrives as it was."""

import asyncio
import socket
from typing import Any

from aiohttp import web
from aiohttp.client_proto import ResponseHandler

from reachlink.upstreams import HttpClient
from reachlink.upstreams._bodies import WRITE_CHUNK_BYTES, FlowControlledBody

BODY = bytes(range(256)) * (5 * WRITE_CHUNK_BYTES // 256) + b"end"


class SlowWriter:
    """A connection that takes a piece each time its other end reads."""

    def __init__(self) -> None:
        self.given: list[bytes] = []
        self.reads = asyncio.Semaphore(0)

    async def write(self, data: Any) -> None:
        self.given.append(bytes(data))

    async def drain(self) -> None:
        await self.reads.acquire()


def test_no_piece_is_handed_on_before_the_one_before_was_taken():
    async def work() -> None:
        writer: Any = SlowWriter()
        writing = asyncio.create_task(FlowControlledBody(BODY).write_with_length(writer, None))
        for taken in range(1, 7):
            while len(writer.given) < taken:
                await asyncio.sleep(0)
            # Nothing more comes, however often others run.
            for _ in range(10):
                await asyncio.sleep(0)
            assert len(writer.given) == taken
            writer.reads.release()
        await writing
        assert b"".join(writer.given) == BODY
        assert max(map(len, writer.given)) == WRITE_CHUNK_BYTES

    asyncio.run(work())


def test_a_replica_gets_it_whole_with_its_length():
    async def work() -> None:
        got: list[tuple[str, bytes]] = []

        async def serve(request: web.BaseRequest) -> web.Response:
            got.append((request.headers["Content-Length"], await request.read()))
            assert "Content-Type" not in request.headers
            return web.Response(body=BODY)

        runner = web.ServerRunner(web.Server(serve))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
        client = HttpClient(bounded=True)
        try:
            url = f"http://127.0.0.1:{port}/x"
            answer = await client.relay("POST", url, [], BODY)
            assert await answer.read() == BODY
            assert got == [(str(len(BODY)), BODY)]
        finally:
            await client.close()
            await runner.cleanup()

    asyncio.run(work())


def test_a_replica_that_does_not_read_has_little_of_a_body_held_for_it():
    body = BODY * 32

    async def work() -> None:
        reads = asyncio.Event()
        got = bytearray()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reads.wait()
            got.extend(await reader.readexactly(len(body)))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WRITE_CHUNK_BYTES)
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=listener)
        port = listener.getsockname()[1]
        client = HttpClient(bounded=True)
        try:
            asked = client.relay("POST", f"http://127.0.0.1:{port}/x", [], body)
            answer = asyncio.create_task(asked)
            async with asyncio.timeout(30.0):
                connection = await writing(client)
                assert 0 < connection.transport.get_write_buffer_size() <= 2 * WRITE_CHUNK_BYTES
                reads.set()
                assert (await answer).status == 200
            assert bytes(got) == body
        finally:
            await client.close()
            server.close()

    asyncio.run(work())


async def writing(client: HttpClient) -> Any:
    """Return the connection of a client once its other end takes no more."""
    while True:
        await asyncio.sleep(0.001)
        connector: Any = client._session.connector
        for connection in connector._acquired:
            # A place that is kept for a connection which is still being made comes first.
            if isinstance(connection, ResponseHandler) and connection.writing_paused:
                return connection
