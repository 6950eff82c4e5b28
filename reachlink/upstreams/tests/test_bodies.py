"""A long body is sent only as fast as its receiver reads it, and arrives complete.

Without flow control, a connection to a slow receiver buffers a second copy of the body.
"""

import asyncio
import socket
from typing import Any

from aiohttp import web
from aiohttp.client_proto import ResponseHandler

from reachlink.upstreams import HttpClient
from reachlink.upstreams._bodies import WRITE_CHUNK_BYTES, FlowControlledBody

BODY = bytes(range(256)) * (5 * WRITE_CHUNK_BYTES // 256) + b"end"


class SlowWriter:
    """Writer that drains one chunk each time its receiver reads."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.reads = asyncio.Semaphore(0)

    async def write(self, data: Any) -> None:
        self.written.append(bytes(data))

    async def drain(self) -> None:
        await self.reads.acquire()


def test_each_chunk_is_written_after_the_previous_one_is_drained():
    async def work() -> None:
        writer: Any = SlowWriter()
        writing = asyncio.create_task(FlowControlledBody(BODY).write_with_length(writer, None))
        for count in range(1, 7):
            while len(writer.written) < count:
                await asyncio.sleep(0)
            # No further chunk is written, however often the event loop runs.
            for _ in range(10):
                await asyncio.sleep(0)
            assert len(writer.written) == count
            writer.reads.release()
        await writing
        assert b"".join(writer.written) == BODY
        assert max(map(len, writer.written)) == WRITE_CHUNK_BYTES

    asyncio.run(work())


def test_replica_receives_complete_body_with_content_length():
    async def work() -> None:
        received: list[tuple[str, bytes]] = []

        async def serve(request: web.BaseRequest) -> web.Response:
            received.append((request.headers["Content-Length"], await request.read()))
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
            assert received == [(str(len(BODY)), BODY)]
        finally:
            await client.close()
            await runner.cleanup()

    asyncio.run(work())


def test_little_of_a_body_is_buffered_for_a_replica_that_does_not_read():
    body = BODY * 32

    async def work() -> None:
        may_read = asyncio.Event()
        received = bytearray()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await may_read.wait()
            received.extend(await reader.readexactly(len(body)))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WRITE_CHUNK_BYTES)
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=listener)
        port = listener.getsockname()[1]
        client = HttpClient(bounded=True)
        try:
            relaying = client.relay("POST", f"http://127.0.0.1:{port}/x", [], body)
            answer = asyncio.create_task(relaying)
            async with asyncio.timeout(30.0):
                connection = await paused_connection(client)
                assert 0 < connection.transport.get_write_buffer_size() <= 2 * WRITE_CHUNK_BYTES
                may_read.set()
                assert (await answer).status == 200
            assert bytes(received) == body
        finally:
            await client.close()
            server.close()

    asyncio.run(work())


async def paused_connection(client: HttpClient) -> Any:
    """Return the connection of a client once writing to it is paused."""
    while True:
        await asyncio.sleep(0.001)
        connector: Any = client._session.connector
        for connection in connector._acquired:
            # A connection that is still being opened has a placeholder here.
            if isinstance(connection, ResponseHandler) and connection.writing_paused:
                return connection
