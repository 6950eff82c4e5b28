"""An answer whose status HTTP does not define is broken, on every way on which answers come."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from reachlink.membership import PLATFORMS, PlatformUnavailableError
from reachlink.reachability.tests.relays import World, with_world
from reachlink.upstreams import HttpClient, Replica, UpstreamBrokenError
from reachlink.upstreams._plain_service import PlainServiceAdapter
from reachlink.upstreams.tests.test_connections import read_request, serve
from reachlink.upstreams.tests.test_cut_answers import called, generated

STATUSES = [b"000", b"042", b"099", b"101", b"150", b"600", b"999"]
BODY = b'{"instances": []}'


def answer(status: bytes) -> bytes:
    head = b"HTTP/1.1 %b X\r\nX-Generation-Id: g1\r\nContent-Length: %d\r\n\r\n"
    return head % (status, len(BODY)) + BODY


async def loaded(client: HttpClient, address: str) -> object:
    return await PlainServiceAdapter(client).load(Replica("r", "u", "a", address))


async def listed(client: HttpClient, address: str) -> object:
    platform = PLATFORMS.get("http-json")(f"http://{address}/list")
    try:
        return await platform.instances()
    except PlatformUnavailableError as error:
        raise UpstreamBrokenError(str(error)) from error
    finally:
        await platform.close()


async def play(status: bytes, work: Callable[[HttpClient, str], Awaitable[object]]) -> None:
    async def script(reader, writer):
        await read_request(reader)
        writer.write(answer(status))
        await writer.drain()
        writer.close()

    server, url, _ = await serve(script)
    client = HttpClient()
    try:
        with pytest.raises(UpstreamBrokenError):
            await work(client, url.split("/")[2])
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize("work", [called, generated, loaded, listed])
@pytest.mark.parametrize("status", STATUSES)
def test_an_undefined_status_is_no_answer(status, work):
    asyncio.run(play(status, work))


@pytest.mark.parametrize("status", [b"000", b"600"])
def test_an_undefined_status_through_a_peer_is_no_answer(status):
    async def script(reader, writer):
        await read_request(reader)
        writer.write(answer(status))
        await writer.drain()

    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = ConnectionRefusedError()
        client = HttpClient()
        client.dialer = cut.dialer
        try:
            with pytest.raises(UpstreamBrokenError):
                await called(client, world.address)
        finally:
            await client.close()

    with_world(work, script)
