"""A replica that sends bytes without end is up, whatever else is wrong with it."""

import asyncio

import pytest

from reachlink.testing._endless import ENDLESS_BODIES, ENDLESS_HEADS, send_endlessly
from reachlink.upstreams import HttpClient, Liveness, Replica, probe
from reachlink.upstreams import _liveness as liveness
from reachlink.upstreams._chat_engine import touch

# Time in seconds after which a probe that no bound in bytes ends fails the test.
PATIENCE_S = 10.0
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "empty_lines": (b"", ENDLESS_HEADS["empty_lines"]),
    "interim": (b"", ENDLESS_HEADS["interim"]),
    "chunk": (CHUNKED, ENDLESS_BODIES["chunk"]),
    "chunk_extension": (CHUNKED, ENDLESS_BODIES["chunk_extension"]),
}


@pytest.mark.parametrize("head,endless", ENDLESS.values(), ids=ENDLESS)
def test_a_replica_that_sends_without_end_does_not_pass_for_ended(head, endless, monkeypatch):
    # What ends the probe is the bound in bytes, on a busy machine, too.
    monkeypatch.setattr(liveness, "PROBE_TIMEOUT_S", PATIENCE_S)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        await send_endlessly(endless, writer)

    async def story() -> Liveness:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        client = HttpClient()
        try:
            return await probe(lambda: touch(client, Replica("r1", "u", "a", address)))
        finally:
            await client.close()
            server.close()

    assert asyncio.run(story()) is Liveness.UP
