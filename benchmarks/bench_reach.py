"""What it costs to reach a replica through a peer.

``python -m benchmarks.bench_reach`` makes connections directly and through a peer, and has a
replica send small events over each, in one process with uvloop. It prints the time of a
connection and the processor time of an event of all three together, and writes
``benchmarks/results/reach.json``.
"""

import asyncio
import json
import socket
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

import uvloop

from benchmarks._environment import describe
from reachlink.messaging import Bus
from reachlink.reachability import (
    Dialer,
    DirectDialer,
    PathTracker,
    RelayClient,
    RelayedProtocol,
    RelayPeer,
    RelayPeers,
    RelayServer,
    RelayTarget,
    ReplicaSocket,
)

RESULT = Path(__file__).parent / "results" / "reach.json"
HOST = "127.0.0.1"
CONNECTIONS = 500
EVENTS = 20_000
EVENT = b"x" * 220
# Pause after this many events, so that they come in small portions as those of a replica do.
PORTION = 4


@dataclass(slots=True)
class ReachFigures:
    """Figures of one way to a replica.

    Attributes
    ----------
    connect_ms : float
        Time of a connection, in milliseconds.
    event_us : float
        Processor time of an event, in microseconds, of all that has a part in it.
    """

    connect_ms: float
    event_us: float


class _Counter(asyncio.Protocol):
    def __init__(self, wanted: int) -> None:
        self._left = wanted
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        self._left -= len(data)
        if self._left <= 0 and not self.done.done():
            self.done.set_result(None)


class _Relays(Dialer):
    """Makes connections through a peer."""

    def __init__(self, client: RelayClient) -> None:
        self._client = client

    async def dial(self, address: str) -> ReplicaSocket:
        return await self._client.connect(address)


async def _send_events(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    if await reader.read(1):
        for number in range(EVENTS):
            writer.write(EVENT)
            if number % PORTION == 0:
                await asyncio.sleep(0)
                await writer.drain()
    writer.close()


async def _measure(dialer: Dialer, address: str) -> ReachFigures:
    begun = time.perf_counter()
    for _ in range(CONNECTIONS):
        (await dialer.dial(address)).close()
    connect_ms = (time.perf_counter() - begun) * 1000.0 / CONNECTIONS
    made = await dialer.dial(address)
    counter = _Counter(EVENTS * len(EVENT))
    used = RelayedProtocol(counter) if made.relayed else counter
    cpu = time.process_time()
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(lambda: used, sock=made.socket)
    transport.write(b"?")
    await counter.done
    event_us = (time.process_time() - cpu) * 1e6 / EVENTS
    transport.close()
    return ReachFigures(round(connect_ms, 3), round(event_us, 1))


async def _run() -> dict[str, ReachFigures]:
    replica = await asyncio.start_server(_send_events, HOST, 0)
    address = f"{HOST}:{replica.sockets[0].getsockname()[1]}"
    bus_address = f"{HOST}:{_free_port()}"
    one, peer = Bus("e1", b"secret"), Bus("e2", b"secret")
    peer.bind(bus_address)
    direct = DirectDialer(PathTracker(), 1.0)
    server = RelayServer(peer, (HOST, 0), {"r": address}.get, PathTracker(), direct)
    peers = RelayPeers("a", lambda name: float("inf"), Random(1))
    peers.update([RelayPeer("e2", bus_address, "a")])
    relays = _Relays(RelayClient(one, peers, lambda _: RelayTarget("r", "a")))
    found = {
        "direct": await _measure(direct, address),
        "through a peer": await _measure(relays, address),
    }
    server.close()
    one.close()
    peer.close()
    replica.close()
    return found


def _free_port() -> int:
    with socket.create_server((HOST, 0)) as free:
        port = free.getsockname()[1]
    return int(port)


def main() -> None:
    """Run the command line."""
    found = uvloop.run(_run())
    for way, figures in found.items():
        print(way, figures)
    written = {
        way: {"connect_ms": f.connect_ms, "event_us": f.event_us} for way, f in found.items()
    }
    RESULT.write_text(json.dumps({"environment": describe(), "ways": written}, indent=1) + "\n")


if __name__ == "__main__":
    main()
