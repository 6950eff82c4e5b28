"""All model replicas of a service crash at once; afterwards its requests are refused.

Not one of the cases: see "Seen beside the cases" in REPORT.md. From a built checkout:
``PYTHONPATH=target/deps python3 review/tried/crash_of_all.py``. Ends with 1 where the route that
was added later is served under a quarter as often as the first ones, in calm, after the replicas
are back.
"""

import asyncio
import json
import random
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import web

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from engines import DROPPED, ModelReplica  # noqa: E402
from harness import BOUNDS, Record, System, main  # noqa: E402
from standins import AppReplica, Consumer, PlatformList, table  # noqa: E402

REPLICAS = 9
# Time between two streams, and two plain calls, in seconds.
STREAM_EVERY_S, CALL_EVERY_S = 0.05, 0.1
# Calm before the crash, how long replicas are down, and how long they are watched, in seconds.
CALM_S, DOWN_S, WATCH_S = 12.0, 3.0, 30.0
USAGE, GUESS = "679,200", 60
EVENTS = (5, 10, 40)
SEED = 1


class CrashingReplica(ModelReplica):
    """A model replica that can crash, and comes back under its id."""

    born = int(time.time() * 1000)

    def entry(self) -> dict:
        """Return this replica's entry in the platform's list."""
        return {**super().entry(), "born": self.born}

    def report(self) -> dict:
        """Return the report of this replica's state."""
        return {**super().report(), "born": self.born}

    async def crash(self, down_s: float, listed: PlatformList) -> None:
        """Reset all channels, listen no more for some time, and start again."""
        assert self._runner is not None
        self.record.add("replica", self.id, "crashes")
        host, _, port = self.address.rpartition(":")
        for site in list(self._runner.sites):
            await site.stop()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                reset(connection.transport)
        for run in list(self.runs.values()):
            self._end(run, DROPPED)
        self.copies.clear()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        server = web.Server(self.handle, handler_cancellation=False, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        listed.note_change()


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


async def play(record: Record, trouble: bool) -> list[str]:
    """Play it; return how the rule CONFIG was broken."""
    system = System(record, lambda: listed.address)
    listed = PlatformList(system.network.ip(100), record)
    consumer = Consumer(system, record)
    zones = ["zone-a", "zone-b", "zone-c"]
    models = [
        CrashingReplica(system.network.ip(111 + n), zones[n % 3], record) for n in range(REPLICAS)
    ]
    for number, one in enumerate(models):
        one.id = f"i-model-{number}"
    apps = [AppReplica(system.network.ip(131 + n), zone, record) for n, zone in enumerate(zones)]
    servers = [listed, *models, *apps]
    try:
        for server in servers:
            await server.start()
        for one in models:
            one.others = {other.address: other for other in models if other is not one}
        listed.replicas = [*models, *apps]
        listed.note_change()
        await asyncio.sleep(listed.LAG_S + 0.1)
        first = table(7)
        first["routes"] = [route for route in first["routes"] if route["service"] != "model"]
        first["services"] = [one for one in first["services"] if one["name"] != "model"]
        await system.start(first)
        await system.until(lambda: added(system), 10.0, "the later config was not accepted")
        await asyncio.sleep(3.0)
        ends = asyncio.ensure_future(serve(system, consumer, record))
        await asyncio.sleep(CALM_S)
        crashes = [one.crash(DOWN_S, listed) for one in models] if trouble else []
        await asyncio.gather(*crashes)
        return judge(record, await ends)
    finally:
        await consumer.close()
        await system.close()
        for server in servers:
            await server.close()


async def added(system: System) -> bool:
    """Add the route of the model service; return whether that was acknowledged."""
    path = "/reachlink/Config.Put"
    return await system.operate("POST", system.controls[0], path, table(8)) == 200


async def serve(system: System, consumer: Consumer, record: Record) -> list[tuple[float, str, str]]:
    """Send streams and plain calls; return when each was sent, its path and how it ended."""
    pick = random.Random(SEED)
    found: list[tuple[float, str, str]] = []
    ends = record.now() + CALM_S + DOWN_S + WATCH_S
    tasks: list[asyncio.Future[None]] = []

    async def one(number: int, path: str) -> None:
        sent, entry = record.now(), pick.choice(system.entries)
        data = json.dumps({"events": pick.choice(EVENTS), "number": number}).encode()
        usage = USAGE if path.startswith("/chat/") else ""
        request_id = f"request-{number:05d}"
        end, _ = await consumer.call(entry, path, request_id, 6000, usage, GUESS, data)
        found.append((sent, path, end))

    calls_every = round(CALL_EVERY_S / STREAM_EVERY_S)
    number = 0
    while record.now() < ends:
        tasks.append(asyncio.ensure_future(one(2 * number, "/chat/1")))
        if number % calls_every == 0:
            tasks.append(asyncio.ensure_future(one(2 * number + 1, "/submit/1")))
        number += 1
        await asyncio.sleep(STREAM_EVERY_S)
    await asyncio.gather(*tasks)
    return found


def judge(record: Record, found: list[tuple[float, str, str]]) -> list[str]:
    """Compare how often both routes are served once it is calm again."""
    calm = min(sent for sent, _, _ in found) + CALM_S + DOWN_S + BOUNDS["contact_ms"] / 1000.0
    shares = {}
    for path in ("/chat/1", "/submit/1"):
        ends = [end for sent, one, end in found if one == path and sent > calm]
        served = sum(end == "200 sealed" for end in ends)
        shares[path] = served / len(ends)
        record.add("in calm afterwards", path, "served", served, "of", len(ends))
        print(path, "served", served, "of", len(ends))
    if shares["/chat/1"] >= shares["/submit/1"] / 4:
        return []
    return [f"CONFIG: the later route is served {shares['/chat/1']:.3f} of the time"]


if __name__ == "__main__":
    main(Path(tempfile.mkdtemp(prefix="review-")), play)
