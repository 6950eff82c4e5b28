"""A path is lost only if a peer reaches the replica, and is used again once it works."""

import asyncio

from reachlink.kernel import steady_time
from reachlink.reachability import _dialer as dialer
from reachlink.reachability.tests.relays import Instance, World, with_world
from reachlink.reachability.tests.test_relays import echo, until


def path_of(world: World, instance: Instance):
    return instance.paths.path(world.address, steady_time())


def test_a_lost_path_is_used_again_once_it_works():
    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = ConnectionRefusedError()
        assert (await cut.dialer.dial(world.address)).relayed
        await until(lambda: path_of(world, cut).is_lost)
        cut.direct.error = None
        await until(lambda: not path_of(world, cut).is_lost)
        assert not (await cut.dialer.dial(world.address)).relayed

    with_world(work, echo)


def test_one_connection_that_was_not_answered_does_not_make_a_path_lost():
    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = TimeoutError()
        assert (await cut.dialer.dial(world.address)).relayed
        cut.direct.error = None
        await until(lambda: not cut.dialer._examinations)
        assert not path_of(world, cut).is_lost

    with_world(work, echo)


def test_a_replica_that_is_silent_to_all_has_no_lost_path():
    async def work(world: World) -> None:
        for one in world.instances:
            one.direct.error = TimeoutError()
        first = world.instances[0]
        path = path_of(world, first)
        path.dialed_at = steady_time()
        first.dialer.suspect(path)
        await asyncio.sleep(1.0)
        assert not path.is_lost
        assert first.lost == []
        for one in world.instances:
            one.direct.error = None
        await until(lambda: path.suspected_at is None)

    with_world(work, echo)


def test_a_silent_path_is_lost_where_a_peer_reaches_the_replica():
    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = TimeoutError()
        path = path_of(world, cut)
        path.dialed_at = steady_time()
        cut.dialer.suspect(path)
        assert not path.may_reuse(path.suspected_at - 0.1)
        await until(lambda: path.is_lost)
        assert cut.lost == [world.address]

    with_world(work, echo)


def test_a_path_that_no_request_needs_is_not_probed(monkeypatch):
    monkeypatch.setattr(dialer, "PROBE_WHILE_USED_S", 0.2)
    monkeypatch.setattr(dialer, "PROBE_INTERVAL_S", 0.1)

    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = ConnectionRefusedError()
        assert (await cut.dialer.dial(world.address)).relayed
        await until(lambda: not cut.dialer._examinations)
        attempts = cut.direct.attempts
        await asyncio.sleep(0.3)
        assert cut.direct.attempts == attempts

    with_world(work, echo)


def test_answers_that_become_overdue_on_a_lost_path_are_given_up_too():
    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.direct.error = TimeoutError()
        path = path_of(world, cut)
        cut.dialer.suspect(path)
        await until(lambda: path.is_lost)
        cut.dialer.suspect(path)
        assert cut.lost == [world.address, world.address]

    with_world(work, echo)


async def listen_only(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()


async def ask_nothing(address: str) -> bytes:
    return b"?"


def test_a_path_on_which_connections_are_accepted_and_not_answered_is_lost(monkeypatch):
    monkeypatch.setattr(dialer, "PROBE_INTERVAL_S", 0.05)

    async def work(world: World) -> None:
        cut = world.instances[0]
        cut.dialer._probe_request = ask_nothing
        silent = await asyncio.start_server(listen_only, "127.0.0.1", 0)
        cut.direct.instead = f"127.0.0.1:{silent.sockets[0].getsockname()[1]}"
        path = path_of(world, cut)
        cut.dialer.suspect(path)
        await until(lambda: path.is_lost)
        assert cut.lost == [world.address]
        assert (await cut.dialer.dial(world.address)).relayed
        cut.direct.instead = ""
        await until(lambda: not path.is_lost)
        silent.close()

    with_world(work, echo)


def test_a_replica_that_accepts_and_resets_everywhere_has_no_lost_path():
    async def reset(reader, writer) -> None:
        writer.transport.abort()

    async def work(world: World) -> None:
        first = world.instances[0]
        first.dialer._probe_request = ask_nothing
        path = path_of(world, first)
        first.dialer.suspect(path)
        async with asyncio.timeout(5.0):
            await first.dialer.settle(world.address)
        assert not path.is_lost

    with_world(work, reset)
