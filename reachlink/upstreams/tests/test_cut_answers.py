"""An answer that stops within its head, its length or its framing is broken, never whole.

Callers would get a success with an empty or short body.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from reachlink.kernel import BoundedConnector, read_bounded
from reachlink.reachability.tests.relays import World, with_world
from reachlink.upstreams import (
    CallRequest,
    GenerationRequest,
    HttpClient,
    Replica,
    UpstreamBrokenError,
    UpstreamUnreachableError,
    read_control,
)
from reachlink.upstreams._chat_engine import ChatEngineAdapter
from reachlink.upstreams._plain_service import PlainServiceAdapter
from reachlink.upstreams.tests.test_connections import aiohttp, read_request, reset, serve

HEAD = b"HTTP/1.1 200 OK\r\nX-Generation-Id: g1\r\n"
SIZED = (HEAD + b"Content-Length: 5\r\n\r\n", b"hello")
CHUNKED = (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"5\r\nhello\r\n0\r\n\r\n")
# Its body ends with the connection, so that only the head can be cut.
UNFRAMED = (HEAD + b"\r\n", b"")
INTERIM = (b"HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD + b"\r\n", b"")

# Time in seconds after which a test without a verdict ends.
PATIENCE_S = 60.0

Work = Callable[[HttpClient, str], Awaitable[object]]


async def relayed(client: HttpClient, address: str) -> object:
    response = await client.relay("POST", f"http://{address}/x", [("Host", "h")], b"")
    try:
        return await response.read()
    except aiohttp.ClientError as error:
        raise UpstreamBrokenError(str(error)) from error


async def called(client: HttpClient, address: str) -> object:
    call = CallRequest("id-1", "POST", "/x")
    return await PlainServiceAdapter(client).call(Replica("r", "u", "a", address), call)


async def generated(client: HttpClient, address: str) -> object:
    engine = ChatEngineAdapter(client)
    request = GenerationRequest("id-1", "/x", b"")
    stream = await engine.open(Replica("r", "u", "a", address), request)
    return await stream.read()


async def ordered(client: HttpClient, address: str) -> object:
    async with client.control("POST", f"http://{address}/x", b"{}") as response:
        return await read_control(response)


async def listed(client: HttpClient, address: str) -> object:
    """Read a page as those of lists are read."""
    async with aiohttp.ClientSession(connector=BoundedConnector()) as session:
        try:
            async with session.post(f"http://{address}/x") as response:
                return await read_bounded(response, 1 << 20)
        except aiohttp.ClientError as error:
            raise UpstreamBrokenError(str(error)) from error


def cuts(head: bytes, body: bytes) -> list[bytes]:
    """Return every beginning of an answer."""
    whole = head + body
    return [whole[:size] for size in range(len(whole) if body else len(head))]


async def taken_for_whole(pieces: list[bytes], resets: bool, work: Work) -> list[bytes]:
    """Return the beginnings that pass for answers."""
    left = list(pieces)

    async def script(reader, writer):
        await read_request(reader)
        writer.write(left.pop())
        await writer.drain()
        if resets:
            await asyncio.sleep(0)
            reset(writer)

    server, url, _ = await serve(script)
    client = HttpClient()
    found = []
    while left:
        sent = left[-1]
        try:
            await work(client, url.split("/")[2])
            found.append(sent)
        except UpstreamBrokenError:
            pass
    await client.close()
    server.close()
    return found


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize(
    "answer", [SIZED, CHUNKED, UNFRAMED, INTERIM], ids=["sized", "chunked", "unframed", "interim"]
)
@pytest.mark.parametrize("work", [relayed, called, generated, ordered, listed])
def test_an_answer_that_stops_halfway_is_broken(work, answer, resets):
    assert asyncio.run(taken_for_whole(cuts(*answer), resets, work)) == []


@pytest.mark.parametrize("answer", [SIZED, UNFRAMED], ids=["sized", "unframed"])
def test_an_answer_through_a_peer_that_stops_halfway_is_broken(answer):
    left = cuts(*answer)
    found = []

    async def script(reader, writer):
        await read_request(reader)
        writer.write(left.pop())
        await writer.drain()

    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = ConnectionRefusedError()
        client = HttpClient()
        client.dialer = cut.dialer
        async with asyncio.timeout(PATIENCE_S):
            while left:
                sent = left[-1]
                try:
                    await relayed(client, world.address)
                    found.append(sent)
                except UpstreamUnreachableError:
                    # The peer has not answered in time; nothing was sent.
                    assert left[-1] == sent
                except UpstreamBrokenError:
                    pass
        await client.close()

    with_world(work, script)
    assert found == []
