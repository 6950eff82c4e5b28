"""Calls between two bus endpoints on the loopback interface."""

import asyncio

import pytest

from reachlink.messaging import Bus, CallTimeoutError, PeerUnreachableError
from reachlink.messaging._bus import _BusSocket
from reachlink.testing._ports import free_ports


class EndlessSocket:
    """A socket on which there is always one more message."""

    closed = False

    def __init__(self) -> None:
        self.read = 0

    def recv_multipart(self, flags: int) -> list[bytes]:
        self.read += 1
        assert self.read <= 10_000, "nothing else gets its turn"
        return [b"peer", b"no header", b""]


def test_a_peer_that_sends_without_end_does_not_hold_up_all_else():
    async def scenario():
        bus, socket = Bus("a", b""), EndlessSocket()
        turns = []
        asyncio.get_running_loop().call_soon(lambda: turns.append(socket.read))
        bus._read_all(_BusSocket(socket, -1))
        await asyncio.sleep(0)
        socket.closed = True
        assert turns and turns[0] < 1_000
        assert bus.traffic.dropped >= turns[0]
        bus.close()

    asyncio.run(scenario())


def test_a_call_whose_connection_is_closed_fails_and_is_not_cancelled():
    async def scenario():
        client, server = Bus("a", b""), Bus("b", b"")
        address = f"127.0.0.1:{free_ports(1)[0]}"
        received = asyncio.Event()

        async def never(sender: str, body: bytes) -> bytes:
            received.set()
            await asyncio.sleep(60.0)
            return b""

        server.handle("c", never)
        server.bind(address)
        call = asyncio.create_task(client.call(address, "c", b"", 30.0))
        try:
            await received.wait()
            client.forget(address)
            with pytest.raises(PeerUnreachableError):
                await call
        finally:
            client.close()
            server.close()

    asyncio.run(scenario())


def test_a_call_that_is_cancelled_as_its_answer_arrives_is_cancelled():
    async def scenario():
        client, server = Bus("a", b""), Bus("b", b"")
        address = f"127.0.0.1:{free_ports(1)[0]}"
        received = asyncio.Event()

        async def never(sender: str, body: bytes) -> bytes:
            received.set()
            await asyncio.sleep(60.0)
            return b""

        server.handle("c", never)
        server.bind(address)
        call = asyncio.create_task(client.call(address, "c", b"", 30.0))
        try:
            await received.wait()
            (answer,) = client._peers[address].pending_calls.values()
            answer.set_result(b"")
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
        finally:
            client.close()
            server.close()

    asyncio.run(scenario())


def test_answers_after_the_timeout_of_their_call_are_counted():
    async def scenario():
        client, server = Bus("a", b""), Bus("b", b"")
        address = f"127.0.0.1:{free_ports(1)[0]}"
        received, released = asyncio.Event(), asyncio.Event()

        async def held(sender: str, body: bytes) -> bytes:
            received.set()
            await released.wait()
            return b"12345"

        async def prompt(sender: str, body: bytes) -> bytes:
            return b""

        server.handle("held", held)
        server.handle("prompt", prompt)
        server.bind(address)
        try:
            await client.call(address, "prompt", b"", 30.0)
            with pytest.raises(CallTimeoutError):
                await client.call(address, "held", b"", 0.05)
            await received.wait()
            released.set()
            while not client.traffic.late:
                await client.call(address, "prompt", b"", 30.0)
            assert (client.traffic.late, client.traffic.late_bytes) == (1, 5)
        finally:
            client.close()
            server.close()

    asyncio.run(scenario())


def test_connections_beyond_their_number_are_closed_and_peers_are_heard():
    async def scenario():
        server, client = Bus("b", b"", max_connections=4), Bus("a", b"")

        async def echo(sender: str, body: bytes) -> bytes:
            return body

        server.handle("c", echo)
        server.bind("127.0.0.1:*")
        assert server._monitor is not None
        address = f"127.0.0.1:{server._monitor._port}"
        try:
            assert await client.call(address, "c", b"1", 30.0) == b"1"
            host, port = address.split(":")
            crowd = [await asyncio.open_connection(host, int(port)) for _ in range(6)]
            async with asyncio.timeout(30.0):
                while server._monitor.refused < 3:
                    await asyncio.sleep(0.01)
            assert len(server._monitor) <= 4
            assert await client.call(address, "c", b"2", 30.0) == b"2"
            for _, writer in crowd:
                writer.close()
        finally:
            client.close()
            server.close()

    asyncio.run(scenario())
