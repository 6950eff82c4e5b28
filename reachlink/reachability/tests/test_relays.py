"""A connection through a peer behaves like a direct one, whatever becomes of the peer."""

import asyncio

import pytest

from reachlink.kernel import steady_time
from reachlink.messaging import decode, encode
from reachlink.reachability import NotReachedError
from reachlink.reachability import _relay_server as relay_server
from reachlink.reachability._messages import (
    CHANNEL_RELAY,
    CLAIMED,
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from reachlink.reachability.tests.relays import Instance, World, with_world

FRAME_HEADER_BYTES = 4
BIG = b"x" * (4 << 20)


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1 << 16):
        writer.write(data)
        await writer.drain()


async def until(condition) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


async def ask(world: World, instance: Instance, peer: Instance) -> RelayReply:
    address = next(p.address for p in instance.peers._peers if p.name == peer.name)
    raw = await instance.bus.call(address, CHANNEL_RELAY, encode(RelayRequest("r")), 5.0)
    return decode(raw, RelayReply)


def test_bytes_pass_unchanged_both_ways():
    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = ConnectionRefusedError()
        reader, writer = await world.open(cut)
        writer.write(BIG)
        assert await reader.readexactly(len(BIG)) == BIG

    with_world(work, echo)


def test_an_end_by_the_replica_is_told_from_the_loss_of_the_peer():
    async def answer(reader, writer):
        await reader.readexactly(1)
        writer.write(b"a body without a length")

    async def work(world: World) -> None:
        cut, peer = world.instances
        cut.direct.error = ConnectionRefusedError()
        reader, writer = await world.open(cut)
        writer.write(b"?")
        assert await reader.read() == b"a body without a length"
        reader, writer = await world.open(cut)
        await until(lambda: peer.server.count == 1)
        peer.server.close()
        with pytest.raises(ConnectionResetError):
            await reader.read()

    with_world(work, answer)


def test_the_replica_learns_at_once_that_the_connection_is_closed():
    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = ConnectionRefusedError()
        _, writer = await world.open(cut)
        await until(lambda: len(world.connections) == 1)
        writer.close()
        await until(world.connections[0].is_closing)

    with_world(work, echo)


def test_a_reader_that_does_not_read_holds_up_the_replica_not_the_memory_of_the_peer():
    sent = []

    async def flood(reader, writer):
        await reader.readexactly(1)
        while True:
            writer.write(b"x" * (64 << 10))
            await writer.drain()
            sent.append(64 << 10)

    async def work(world: World) -> None:
        cut, peer = world.instances
        cut.direct.error = ConnectionRefusedError()
        made = await cut.dialer.dial(world.address)
        made.socket.send(b"?")
        end = next(iter(peer.server._relays))
        held, total = -1, 0
        while total != held:
            held = total
            await asyncio.sleep(0.1)
            total = sum(sent)
        most = relay_server.HIGH_WATER_BYTES + relay_server.READ_BYTES + FRAME_HEADER_BYTES
        assert total > end.held_bytes > 0
        assert end.held_bytes <= most
        made.close()

    with_world(work, flood)


def test_a_peer_without_a_path_asks_nobody_else():
    async def work(world: World) -> None:
        first, second, third = world.instances
        for one in (first, second):
            one.direct.error = ConnectionRefusedError()
        assert (await ask(world, first, second)).outcome is RelayOutcome.CUT_OFF
        assert third.direct.attempts == 0

    with_world(work, echo, instances=3)


def test_the_only_peer_with_a_path_is_found_and_then_asked_first():
    async def work(world: World) -> None:
        *cut, last = world.instances
        for one in cut:
            one.direct.error = ConnectionRefusedError()
        for one in cut:
            _, writer = await world.open(one)
            writer.close()
            assert one.peers.by_preference("a", steady_time())[0].name == last.name

    with_world(work, echo, instances=7)


def test_a_token_claims_a_connection_once():
    async def work(world: World) -> None:
        first, second = world.instances
        reply = await ask(world, first, second)
        results = []
        for _ in range(2):
            reader, writer = await asyncio.open_connection("127.0.0.1", reply.port)
            writer.write(reply.token)
            results.append(await reader.read(1))
        assert results == [CLAIMED, b""]

    with_world(work, echo)


def test_a_connection_that_nobody_claims_is_closed():
    async def work(world: World) -> None:
        first, second = world.instances
        reply = await ask(world, first, second)
        assert reply.outcome is RelayOutcome.OPENED
        assert second.server.count == 1
        await until(lambda: second.server.count == 0)

    with_world(work, echo)


def test_one_that_sends_no_token_is_closed():
    async def work(world: World) -> None:
        first, second = world.instances
        reply = await ask(world, first, second)
        reader, writer = await asyncio.open_connection("127.0.0.1", reply.port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        assert await reader.read() == b""

    with_world(work, echo)


def test_a_peer_that_relays_all_it_can_says_so(monkeypatch):
    monkeypatch.setattr(relay_server, "MAX_RELAYS", 1)

    async def work(world: World) -> None:
        first, second = world.instances
        first.direct.error = ConnectionRefusedError()
        connection = await world.open(first)
        assert (await ask(world, first, second)).outcome is RelayOutcome.BUSY
        connection[1].close()

    with_world(work, echo)


def test_a_peer_that_stops_takes_no_more_and_finishes_what_it_relays():
    async def work(world: World) -> None:
        first, second = world.instances
        first.direct.error = ConnectionRefusedError()
        reader, writer = await world.open(first)
        second.server.drain()
        assert (await ask(world, first, second)).outcome is RelayOutcome.BUSY
        writer.write(b"still there")
        assert await reader.readexactly(11) == b"still there"
        writer.close()
        await until(lambda: second.server.count == 0)

    with_world(work, echo)


def test_a_peer_that_stops_waits_until_the_end_of_an_answer_has_left_it(monkeypatch):
    # More than the buffers of the system hold, so that the rest stays in the peer.
    length = 8 * len(BIG)
    monkeypatch.setattr(relay_server, "HIGH_WATER_BYTES", 2 * length)

    async def answer(reader, writer):
        await reader.readexactly(1)
        writer.write(8 * BIG)

    async def work(world: World) -> None:
        cut, peer = world.instances
        cut.direct.error = ConnectionRefusedError()
        made = await cut.dialer.dial(world.address)
        made.socket.send(b"?")
        end = next(iter(peer.server._relays))
        await until(lambda: not end.is_open)
        assert peer.server.count == 1
        reader, writer = await asyncio.open_connection(sock=made.socket)
        assert len(await reader.read()) > length
        await until(lambda: peer.server.count == 0)
        writer.close()

    with_world(work, answer)


def test_without_a_peer_that_reaches_the_replica_the_error_is_that_of_the_direct_attempt():
    async def work(world: World) -> None:
        for one in world.instances:
            one.direct.error = ConnectionRefusedError()
        with pytest.raises(NotReachedError) as caught:
            await world.open(world.instances[0])
        assert isinstance(caught.value.__cause__, ConnectionRefusedError)

    with_world(work, echo)


def test_a_peer_that_reaches_other_replicas_settles_that_one_is_away():
    async def work(world: World) -> None:
        first, *others = world.instances
        first.direct.error = ConnectionRefusedError()
        for one in others:
            one.direct.unreachable.add(world.address)
            one.paths.path(world.other_address, steady_time()).heard_at = steady_time()
        with pytest.raises(NotReachedError) as caught:
            await world.open(first)
        assert caught.value.replica_away
        assert sum(world.address in other.direct.attempted for other in others) == 1

    with_world(work, echo, instances=5)


def test_what_peers_of_other_zones_do_not_reach_may_be_behind_a_cut():
    async def work(world: World) -> None:
        first, *others = world.instances
        first.direct.error = ConnectionRefusedError()
        for one in others:
            one.direct.unreachable.add(world.address)
            one.paths.path(world.other_address, steady_time()).heard_at = steady_time()
        with pytest.raises(NotReachedError) as caught:
            await world.open(first)
        assert not caught.value.replica_away

    with_world(work, echo, instances=3, peer_zones="bbc")


def test_a_peer_whose_open_connections_live_on_does_not_settle_it():
    async def work(world: World) -> None:
        *cut, last = world.instances
        for one in cut:
            one.direct.error = ConnectionRefusedError()
            one.paths.path(world.other_address, steady_time()).heard_at = steady_time()
        _, writer = await world.open(cut[0])
        writer.close()

    with_world(work, echo, instances=6)


def test_connections_that_claim_nothing_are_bounded_and_a_claim_works_afterwards(monkeypatch):
    monkeypatch.setattr(relay_server, "MAX_UNCLAIMED", 4)
    monkeypatch.setattr(relay_server, "CLAIM_VALIDITY_S", 60.0)

    async def work(world: World) -> None:
        cut, peer = world.instances
        cut.direct.error = ConnectionRefusedError()
        reader, writer = await world.open(cut)
        listener = peer.server._listener
        assert listener is not None
        host, port = listener.sockets[0].getsockname()
        crowd = [await asyncio.open_connection(host, port) for _ in range(6)]
        for surplus, _ in crowd[4:]:
            async with asyncio.timeout(10.0):
                assert await surplus.read() == b""
        assert len(peer.server._claimants) == 4
        writer.write(b"on")
        assert await reader.readexactly(2) == b"on"
        for _, made in crowd:
            made.close()
        await until(lambda: not peer.server._claimants)
        _, again = await world.open(cut)
        again.close()
        writer.close()

    with_world(work, echo)
