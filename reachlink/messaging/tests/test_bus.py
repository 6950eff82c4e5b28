"""Calls between two bus endpoints on the loopback interface."""

import asyncio

import pytest

from reachlink.messaging import Bus, CallTimeoutError, PeerUnreachableError
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


def test_answers_that_nobody_waits_for_are_counted():
    async def play():
        asking, asked = Bus("a", b""), Bus("b", b"")
        address = f"127.0.0.1:{free_ports(1)[0]}"
        arrived, released = asyncio.Event(), asyncio.Event()

        async def held(sender: str, body: bytes) -> bytes:
            arrived.set()
            await released.wait()
            return b"12345"

        async def prompt(sender: str, body: bytes) -> bytes:
            return b""

        asked.handle("held", held)
        asked.handle("prompt", prompt)
        asked.bind(address)
        try:
            await asking.call(address, "prompt", b"", 30.0)
            with pytest.raises(CallTimeoutError):
                await asking.call(address, "held", b"", 0.05)
            await arrived.wait()
            released.set()
            while not asking.traffic.late:
                await asking.call(address, "prompt", b"", 30.0)
            assert (asking.traffic.late, asking.traffic.late_bytes) == (1, 5)
        finally:
            asking.close()
            asked.close()

    asyncio.run(play())
