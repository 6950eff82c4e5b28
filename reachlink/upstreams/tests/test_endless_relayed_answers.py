"""Replicas that send bytes without end on connections through a peer."""

import asyncio

import aiohttp
import pytest

from reachlink.kernel import read_bounded
from reachlink.reachability.tests.relays import World, with_world
from reachlink.testing._endless import ENDLESS_BODIES, ENDLESS_HEADS, EndlessBytes, send_endlessly
from reachlink.upstreams import HttpClient, UpstreamBrokenError

# What may be read of an answer before its connection is closed, with the buffers of both ends.
READ_MAX_BYTES = 24 << 20
# What one caller may get.
BODY_MAX_BYTES = 8 << 20
# What the peer may hold.
HELD_MAX_BYTES = 64 << 10
WAIT_S = 20.0
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
ENDLESS = {
    **{name: (b"", endless) for name, endless in ENDLESS_HEADS.items()},
    **{name: (CHUNKED, endless) for name, endless in ENDLESS_BODIES.items()},
    "unframed": (UNFRAMED, EndlessBytes(b"", b"a", False)),
}


@pytest.mark.parametrize("head,endless", ENDLESS.values(), ids=ENDLESS)
def test_what_a_replica_sends_without_end_is_given_up_by_both_instances(head, endless):
    sent: list[int] = []
    held: list[int] = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        sent.append(await send_endlessly(endless, writer))

    async def watch(peer) -> None:
        while True:
            held.extend(end.held_bytes for end in peer.server._relays)
            await asyncio.sleep(0.001)

    async def work(world: World) -> None:
        cut, peer = world.instances
        cut.direct.error = ConnectionRefusedError()
        client = HttpClient()
        client.dialer = cut.dialer
        watching = asyncio.create_task(watch(peer))
        with pytest.raises((UpstreamBrokenError, aiohttp.ClientPayloadError)):
            response = await client.relay("POST", f"http://{world.address}/", [], b"call")
            await read_bounded(response, BODY_MAX_BYTES)
        async with asyncio.timeout(WAIT_S):
            while peer.server.count or not sent:
                await asyncio.sleep(0.01)
        watching.cancel()
        assert peer.direct.attempts
        await client.close()

    with_world(work, serve)
    assert sum(sent) < READ_MAX_BYTES
    assert max(held, default=0) <= HELD_MAX_BYTES
