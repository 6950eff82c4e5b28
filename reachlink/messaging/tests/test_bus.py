"""Two ends of the bus on loopback."""

import asyncio

import pytest

from reachlink.messaging import Bus, PeerUnreachableError
from reachlink.testing._ports import free_ports


def test_a_call_whose_connection_is_closed_fails_and_cancels_nothing():
    async def play():
        asking, asked = Bus("a", b""), Bus("b", b"")
        address = f"127.0.0.1:{free_ports(1)[0]}"
        arrived = asyncio.Event()

        async def never(sender: str, body: bytes) -> bytes:
            arrived.set()
            await asyncio.sleep(60.0)
            return b""

        asked.handle("c", never)
        asked.bind(address)
        call = asyncio.create_task(asking.call(address, "c", b"", 30.0))
        try:
            await arrived.wait()
            asking.forget(address)
            with pytest.raises(PeerUnreachableError):
                await call
        finally:
            asking.close()
            asked.close()

    asyncio.run(play())
