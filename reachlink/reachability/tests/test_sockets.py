"""Which time limits TCP has on each kind of connection, read back from the sockets."""

import asyncio
import os
import socket

import pytest
import uvloop
from aiohttp import web

from reachlink.messaging import Bus
from reachlink.reachability._sockets import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MS,
)
from reachlink.reachability.tests.relays import with_world
from reachlink.reachability.tests.test_relays import echo
from reachlink.upstreams import HttpClient

# For how long a sound replica may be silent, in seconds.
SILENT_S = 1.5


def option(sock: socket.socket, name: int) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, name)


def limits(sock: socket.socket) -> tuple[int, int, int, int, int]:
    """Return keepalive, its idle time, interval and probes, and the user timeout."""
    return (
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        option(sock, socket.TCP_KEEPIDLE),
        option(sock, socket.TCP_KEEPINTVL),
        option(sock, socket.TCP_KEEPCNT),
        option(sock, socket.TCP_USER_TIMEOUT),
    )


OURS = (1, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES, USER_TIMEOUT_MS)


def connected_sockets(port: int) -> list[socket.socket]:
    """Return copies of this process's sockets with a port at either end."""
    found = []
    for name in os.listdir("/proc/self/fd"):
        try:
            copy = socket.socket(fileno=os.dup(int(name)))
        except OSError:
            continue
        try:
            ends = {copy.getsockname()[1], copy.getpeername()[1]}
        except (OSError, IndexError, TypeError):
            copy.close()
            continue
        if copy.family == socket.AF_INET and port in ends:
            found.append(copy)
        else:
            copy.close()
    return found


def test_probes_and_user_timeout_agree_and_outlast_a_silent_second():
    probes_s = KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S
    assert SILENT_S < USER_TIMEOUT_MS / 1000.0 <= probes_s


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_connections_to_replicas_have_our_limits(run):
    async def scenario():
        async def answer(request):
            return web.Response(body=b"whole")

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        client = HttpClient()
        response = await client.relay("GET", f"http://127.0.0.1:{port}/", [("Host", "h")], b"")
        await response.read()
        ours = [limits(one) for one in connected_sockets(port) if one.getpeername()[1] == port]
        assert ours == [OURS]
        await client.close()
        await runner.cleanup()

    run(scenario())


def test_both_ends_of_a_relay_have_our_limits():
    async def work(world):
        cut, peer = world.instances
        cut.direct.error = ConnectionRefusedError()
        made = await cut.dialer.dial(world.address)
        relay_port = made.socket.getpeername()[1]
        assert [limits(one) for one in connected_sockets(relay_port)] == [OURS, OURS]
        made.close()

    with_world(work, echo)


def test_connections_of_the_bus_have_no_user_timeout():
    """Their own heartbeats end them after 3 s."""

    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]

        async def answer(sender: str, body: bytes) -> bytes:
            return body

        one, other = Bus("e1", b"secret"), Bus("e2", b"secret")
        other.handle("echo", answer)
        other.bind(f"127.0.0.1:{port}")
        await one.call(f"127.0.0.1:{port}", "echo", b"x", 5.0)
        assert {option(s, socket.TCP_USER_TIMEOUT) for s in connected_sockets(port)} == {0}
        one.close()
        other.close()

    asyncio.run(scenario())


def test_connections_of_callers_have_no_user_timeout():
    async def scenario():
        async def answer(request):
            return web.Response(body=b"whole")

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.05)
        assert {option(s, socket.TCP_USER_TIMEOUT) for s in connected_sockets(port)} == {0}
        writer.close()
        await runner.cleanup()

    asyncio.run(scenario())
