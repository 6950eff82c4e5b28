"""An engine has cancelled a generation only if its answer says so."""

import asyncio
from contextlib import nullcontext

import pytest

from reachlink.upstreams import HttpClient, Replica, UpstreamBrokenError
from reachlink.upstreams._chat_engine import ChatEngineAdapter


@pytest.mark.parametrize("status", [200, 404, 409, 429, 500, 503])
def test_an_engine_that_fails_has_not_cancelled_the_generation(status):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n" % status)
        writer.close()
        await writer.wait_closed()

    async def story() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        replica = Replica("r1", "u", "a", "{}:{}".format(*server.sockets[0].getsockname()))
        client = HttpClient()
        try:
            await ChatEngineAdapter(client).cancel(replica, "g1", if_detached=True)
        finally:
            await client.close()
            server.close()

    # Not known and being read are answers; the others are failures.
    failed = status not in (200, 404, 409)
    with pytest.raises(UpstreamBrokenError) if failed else nullcontext():
        asyncio.run(story())
