"""An instance without a direct path to a replica, a peer that has one, and the replica."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from reachlink.kernel import steady_time
from reachlink.messaging import Bus
from reachlink.reachability import (
    Dialer,
    DirectDialer,
    NotReachedError,
    PathTracker,
    RelayClient,
    RelayedProtocol,
    RelayingDialer,
    RelayPeer,
    RelayPeers,
    RelayServer,
    RelayTarget,
    ReplicaSocket,
    failure_of,
)

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class SwitchableDialer(Dialer):
    """Makes direct connections unless told that there is no path."""

    def __init__(self, paths: PathTracker) -> None:
        self._direct = DirectDialer(paths, 0.2)
        self._paths = paths
        self.error: OSError | None = None
        # Replicas that are not reached besides, whatever the error is.
        self.unreachable: set[str] = set()
        # Address that is connected to in place of the replica's, if there is one.
        self.instead = ""
        self.attempted: list[str] = []

    @property
    def attempts(self) -> int:
        return len(self.attempted)

    async def dial(self, address: str) -> ReplicaSocket:
        self.attempted.append(address)
        if self.error is None and address not in self.unreachable:
            return await self._direct.dial(self.instead or address)
        path = self._paths.path(address, 0.0)
        await asyncio.sleep(0.2 if isinstance(self.error, TimeoutError) else 0.0)
        self._paths.note_connect_failed(
            path, failure_of(self.error or OSError()), 0.0, steady_time()
        )
        raise NotReachedError("no path") from self.error


@dataclass
class Instance:
    """One entry instance as far as reaching replicas goes."""

    name: str
    bus: Bus
    paths: PathTracker
    direct: SwitchableDialer
    dialer: RelayingDialer
    server: RelayServer
    peers: RelayPeers
    lost: list[str] = field(default_factory=list)


@dataclass
class World:
    """Instances that hear each other, and a replica named ``r`` beside another one."""

    instances: list[Instance]
    address: str
    other_address: str
    connections: list[asyncio.StreamWriter]

    async def open(self, instance: Instance) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection of an instance to the replica, however it is made."""
        loop = asyncio.get_running_loop()
        made = await instance.dialer.dial(self.address)
        reader = asyncio.StreamReader()
        inner = asyncio.StreamReaderProtocol(reader)
        used = RelayedProtocol(inner) if made.relayed else inner
        transport, _ = await loop.create_connection(lambda: used, sock=made.socket)
        return reader, asyncio.StreamWriter(transport, inner, reader, loop)


@asynccontextmanager
async def world(script: Script, instances: int = 2, peer_zones: str = "") -> AsyncIterator[World]:
    connections: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(writer)
        try:
            await script(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    replica = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{replica.sockets[0].getsockname()[1]}"
    other = await asyncio.start_server(serve, "127.0.0.1", 0)
    other_address = f"127.0.0.1:{other.sockets[0].getsockname()[1]}"
    ports = _free_ports(instances)
    made = [_instance(f"e{n}", port, address) for n, port in enumerate(ports)]
    zones = {one.name: zone for one, zone in zip(made, peer_zones or "a" * instances, strict=True)}
    for one in made:
        one.peers.update(
            RelayPeer(other.name, f"127.0.0.1:{port}", zones[other.name])
            for other, port in zip(made, ports, strict=True)
            if other is not one
        )
    try:
        yield World(made, address, other_address, connections)
    finally:
        for one in made:
            one.dialer.close()
            one.server.close()
            one.bus.close()
        replica.close()
        other.close()


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def _instance(name: str, port: int, replica: str) -> Instance:
    bus = Bus(name, b"secret")
    bus.bind(f"127.0.0.1:{port}")
    paths = PathTracker()
    direct = SwitchableDialer(paths)
    peers = RelayPeers("a", lambda peer: float("inf"), Random(1))
    lost: list[str] = []
    relays = RelayClient(bus, peers, lambda address: RelayTarget("r", "a"))
    dialer = RelayingDialer(direct, relays, paths, lambda path: lost.append(path.address))
    server = RelayServer(bus, ("127.0.0.1", 0), {"r": replica}.get, paths, direct)
    return Instance(name, bus, paths, direct, dialer, server, peers, lost)


def with_world(
    work: Callable[[World], Awaitable[None]],
    script: Script,
    instances: int = 2,
    peer_zones: str = "",
) -> None:
    """Run something against instances and a replica of zone a that follows a script.

    `peer_zones` has a letter for the zone of each instance; by default all are in zone a.
    """

    async def scenario() -> None:
        async with world(script, instances, peer_zones) as made:
            await work(made)

    asyncio.run(scenario())
