"""Answers on a connection that bounds what is no part of one, however their bytes are cut."""

import asyncio

import aiohttp
import pytest

from reachlink.kernel import BoundedConnection, BoundedConnector
from reachlink.kernel._bounded_connection import (
    MAX_FRAMING_BYTES,
    MAX_INTERIM_ANSWERS,
    MAX_REASON_CHARS,
)

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"


class Transport(asyncio.Transport):
    """Notes that it was closed."""

    closed = False

    def abort(self) -> None:
        self.closed = True

    close = abort

    def is_closing(self) -> bool:
        return self.closed


async def receive(*parts: bytes) -> tuple[list[int], bytes, bool]:
    """Return statuses and body of what arrives in some parts, and whether that is the end."""
    protocol = BoundedConnection(asyncio.get_running_loop())
    transport = Transport()
    protocol.connection_made(transport)
    protocol.set_response_params(read_until_eof=True, auto_decompress=False)
    protocol.begin_request()
    for part in parts:
        if not transport.closed:
            protocol.data_received(part)
    messages = list(protocol._buffer)
    body = b""
    if messages and messages[-1][0][0].code == 200:
        stream = messages[-1][0][1]
        body = bytes(await stream.read()) if stream.is_eof() else b""
    return [message[0].code for message, _ in messages], body, transport.closed


@pytest.mark.parametrize("answer", [WHOLE, CHUNKED], ids=["length", "chunks"])
@pytest.mark.parametrize("more", [b"", b"no answer"], ids=["alone", "followed"])
def test_an_answer_is_whole_wherever_its_bytes_are_cut(answer, more):
    raw = INTERIM + answer + more
    for cut in range(len(raw) + 1):
        codes, body, _ = asyncio.run(receive(raw[:cut], raw[cut:]))
        assert (codes, body) == ([103, 200], b"done"), cut


def test_an_answer_is_whole_byte_by_byte():
    raw = INTERIM + WHOLE
    parts = [raw[i : i + 1] for i in range(len(raw))]
    assert asyncio.run(receive(*parts))[:2] == ([103, 200], b"done")


@pytest.mark.parametrize("endless", [b"\r\n", INTERIM], ids=["empty_lines", "interim"])
def test_what_is_no_answer_ends_the_connection_within_its_bound(endless):
    one = endless * (MAX_FRAMING_BYTES // (2 * len(endless)))
    assert not asyncio.run(receive(one))[2]
    assert asyncio.run(receive(one, one, one))[2]


@pytest.mark.parametrize("size", [17, 41])
def test_a_connection_ends_at_some_interim_answers_however_small_they_are(size):
    """By their bytes alone, 15,000 small ones are parsed and kept at once."""
    interim = b"HTTP/1.1 100 %b\r\n\r\n" % (b"a" * (size - 17))
    codes, _, closed = asyncio.run(receive(interim * MAX_INTERIM_ANSWERS + WHOLE))
    assert codes == [100] * MAX_INTERIM_ANSWERS + [200] and not closed
    codes, _, closed = asyncio.run(receive(interim * 15_000))
    assert closed and len(codes) <= MAX_INTERIM_ANSWERS + 1


@pytest.mark.parametrize(
    "received",
    [b"\x00\xff" * (64 << 10), WHOLE[:-8] + b"\r\nTransfer-Encoding: " + b"\xff" * 6_000],
    ids=["no_http", "field"],
)
def test_what_is_no_answer_is_not_repeated_in_the_error_as_a_whole(received):
    async def story() -> BaseException | None:
        protocol = BoundedConnection(asyncio.get_running_loop())
        protocol.connection_made(Transport())
        protocol.set_response_params(read_until_eof=True, auto_decompress=False)
        protocol.begin_request()
        protocol.data_received(received + b"\x00\r\n\r\n")
        return protocol.exception()

    error = asyncio.run(story())
    assert error is not None and len(str(error)) <= 2 * MAX_REASON_CHARS


def test_empty_lines_are_parsed_together(monkeypatch):
    """Parsed one by one, those that are allowed would hold the event loop for 0.2 s."""
    parsed: list[int] = []
    receive_bytes = BoundedConnection._receive

    def counted(protocol: BoundedConnection, data: bytes) -> None:
        parsed.append(len(data))
        receive_bytes(protocol, data)

    monkeypatch.setattr(BoundedConnection, "_receive", counted)
    lines = b"\r\n" * 1000
    codes, body, _ = asyncio.run(receive(lines, lines + INTERIM + lines, lines + WHOLE))
    assert (codes, body) == ([103, 200], b"done")
    assert len(parsed) <= 6


def test_a_body_that_is_read_slowly_is_whole():
    """The library stops parsing while nobody reads, and goes on with no bytes that are new."""
    body = bytes(range(256)) * (4 << 10)

    async def story() -> bytes:
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        got = bytearray()
        session = aiohttp.ClientSession(connector=BoundedConnector(), read_bufsize=1 << 10)
        async with session, session.get(f"http://{host}:{port}/") as response:
            while data := await response.content.read(700):
                got += data
                if len(got) < 32 << 10:
                    await asyncio.sleep(0.001)
        server.close()
        return bytes(got)

    assert asyncio.run(asyncio.wait_for(story(), 30.0)) == body
