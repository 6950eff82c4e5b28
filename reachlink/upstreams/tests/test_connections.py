"""Bytes of one answer never reach another request, and a body cut off by a reset is an error.

Surplus bytes on a reused connection would be read as the answer to the next request.
"""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from reachlink.kernel import steady_time
from reachlink.reachability import GIVE_UP_AFTER_S, SUSPECT_AFTER_S
from reachlink.upstreams import HttpClient, UpstreamBackoffError, UpstreamBrokenError
from reachlink.upstreams import _connections as connections
from reachlink.upstreams._connections import address_of

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def read_request(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


async def serve(script: Script) -> tuple[asyncio.Server, str, list[int]]:
    opened: list[int] = []

    async def on_connection(reader, writer):
        opened.append(1)
        try:
            await script(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"http://{host}:{port}/x", opened


async def get(client: HttpClient, url: str) -> bytes:
    response = await client.relay("GET", url, [("Host", "h")], b"")
    try:
        return await response.read()
    finally:
        response.release()


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def test_connection_with_a_late_surplus_answer_is_dropped():
    async def scenario():
        sent = asyncio.Event()

        async def script(reader, writer):
            await read_request(reader)
            writer.write(OK)
            await asyncio.sleep(0.05)
            writer.write(OK.replace(b"ok", b"NO"))
            await writer.drain()
            sent.set()
            await reader.read()

        server, url, opened = await serve(script)
        client = HttpClient()
        assert await get(client, url) == b"ok"
        await sent.wait()
        await asyncio.sleep(0.02)
        assert await get(client, url) == b"ok"
        assert len(opened) == 2
        await client.close()
        server.close()

    asyncio.run(scenario())


HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("head", "end"),
    [
        (HEAD + b"Content-Length: 2\r\n\r\n", b"ok"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", b"0\r\n\r\n"),
    ],
    ids=["length", "chunked"],
)
def test_connection_with_a_surplus_answer_right_behind_a_body_is_dropped(head, end):
    async def scenario():
        received: list[bytes] = []

        async def script(reader, writer):
            received.append(await read_request(reader))
            writer.write(head)
            await asyncio.sleep(0.02)
            writer.write(end + OK.replace(b"ok", b"NO"))
            received.append(await read_request(reader))

        server, url, opened = await serve(script)
        client = HttpClient()
        assert await get(client, url) == b"ok"
        assert await get(client, url) == b"ok"
        assert (len(opened), len(received)) == (2, 2)
        await client.close()
        server.close()

    asyncio.run(scenario())


def test_connection_is_reused():
    async def scenario():
        async def script(reader, writer):
            while True:
                await read_request(reader)
                writer.write(OK)

        server, url, opened = await serve(script)
        client = HttpClient()
        for _ in range(5):
            assert await get(client, url) == b"ok"
        assert len(opened) == 1
        await client.close()
        server.close()

    asyncio.run(scenario())


def test_connection_near_the_end_of_its_idle_timeout_is_not_reused(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(connections, "steady_time", lambda: now[0])

    async def scenario():
        async def script(reader, writer):
            while True:
                await read_request(reader)
                writer.write(OK.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=2\r\n\r\n", 1))

        server, url, opened = await serve(script)
        client = HttpClient()
        await get(client, url)
        now[0] += 1.0
        await get(client, url)
        assert len(opened) == 1
        now[0] += 1.5
        await get(client, url)
        assert len(opened) == 2
        await client.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("ending,whole", [("close", True), ("reset", False)])
def test_body_is_complete_if_its_connection_is_closed_but_not_if_reset(ending, whole):
    async def scenario():
        async def script(reader, writer):
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
            await writer.drain()
            await asyncio.sleep(0.05)
            if ending == "reset":
                reset(writer)

        server, url, _ = await serve(script)
        client = HttpClient()
        try:
            response = await client.relay("GET", url, [("Host", "h")], b"")
            body = b""
            while data := await response.content.readany():
                body += data
            return body
        finally:
            await client.close()
            server.close()

    if whole:
        assert asyncio.run(scenario()) == b"part"
    else:
        with pytest.raises(Exception, match="reset"):
            asyncio.run(scenario())


def test_invalid_answer_raises_upstream_broken_error():
    async def scenario():
        async def script(reader, writer):
            await read_request(reader)
            writer.write(b"\x00\x01 no http\r\n\r\n")
            await reader.read()

        server, url, _ = await serve(script)
        client = HttpClient()
        with pytest.raises(UpstreamBrokenError):
            await get(client, url)
        await client.close()
        server.close()

    asyncio.run(scenario())


def test_target_and_header_fields_are_relayed_unchanged():
    async def scenario():
        seen = []

        async def script(reader, writer):
            seen.append(await read_request(reader))
            writer.write(OK)

        server, url, _ = await serve(script)
        client = HttpClient()
        target = url + "/%2e%2E/a%20b?q=%C3%A5&x=a+b"
        response = await client.relay(
            "GET", target, [("Host", "h"), ("X-A", "1"), ("X-A", "2")], b""
        )
        await response.read()
        await client.close()
        server.close()
        return seen[0]

    raw = asyncio.run(scenario())
    assert raw.startswith(b"GET /x/%2e%2E/a%20b?q=%C3%A5&x=a+b HTTP/1.1\r\n")
    assert raw.count(b"X-A: ") == 2
    assert b"User-Agent" not in raw and b"Accept-Encoding" not in raw


@pytest.mark.parametrize("kept", [False, True], ids=["new connection", "kept connection"])
def test_request_waiting_for_a_connection_is_not_sent_to_a_replica_in_backoff(kept, monkeypatch):
    """The replica requests a backoff after the request was placed on it; nothing is sent."""

    async def scenario():
        received = []

        async def script(reader, writer):
            while True:
                received.append(await read_request(reader))
                writer.write(OK)

        server, url, _ = await serve(script)
        client = HttpClient()
        if kept:
            await get(client, url)
        before = len(received)
        connect = aiohttp.TCPConnector.connect

        async def slow(connector, req, traces, timeout):
            connection = await connect(connector, req, traces, timeout)
            client.pacing.backoffs.record(address_of(req.url), 60.0, steady_time())
            return connection

        monkeypatch.setattr(aiohttp.TCPConnector, "connect", slow)
        with pytest.raises(UpstreamBackoffError):
            await get(client, url)
        monkeypatch.undo()
        with pytest.raises(UpstreamBackoffError):
            await client.dispatch("GET", url, {}, b"")
        with pytest.raises(UpstreamBackoffError):
            async with client.control("GET", url):
                pass
        assert len(received) == before
        await client.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("framing", [b"Content-Length: 10", b"Connection: close"])
def test_body_on_a_lost_path_fails_and_does_not_look_complete(framing):
    async def scenario():
        async def script(reader, writer):
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\nok")
            await reader.read()

        server, url, _ = await serve(script)
        client = HttpClient()
        response = await client.relay("GET", url, [("Host", "h")], b"")
        assert await response.content.readany() == b"ok"
        path = client.paths.path(address_of(response.url), steady_time())
        await asyncio.sleep(GIVE_UP_AFTER_S + 0.05)
        client.abort_silent(path)
        await asyncio.sleep(0.05)
        with pytest.raises(aiohttp.ClientError):
            await response.content.readany()
        await client.close()
        server.close()

    asyncio.run(scenario())


def test_request_on_a_lost_path_breaks():
    async def scenario():
        async def script(reader, writer):
            await reader.read()

        server, url, _ = await serve(script)
        client = HttpClient()
        asking = asyncio.create_task(get(client, url))
        await asyncio.sleep(GIVE_UP_AFTER_S + 0.05)
        client.abort_silent(client.paths.path(url.split("/")[2], steady_time()))
        with pytest.raises(UpstreamBrokenError):
            await asking
        await client.close()
        server.close()

    asyncio.run(scenario())


def test_stream_of_a_replica_that_is_silent_for_short_is_not_cut_while_new_connections_fail():
    async def scenario():
        go_on = asyncio.Event()

        async def script(reader, writer):
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok")
            await go_on.wait()
            writer.write(b"ok")

        server, url, _ = await serve(script)
        client = HttpClient()
        response = await client.relay("GET", url, [("Host", "h")], b"")
        assert await response.content.readany() == b"ok"
        path = client.paths.path(address_of(response.url), steady_time())
        await asyncio.sleep(2 * SUSPECT_AFTER_S)
        client.abort_silent(path)
        go_on.set()
        assert await response.content.read() == b"ok"
        await client.close()
        server.close()

    asyncio.run(scenario())
