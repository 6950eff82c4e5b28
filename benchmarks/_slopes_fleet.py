"""Slopes that a fleet of real processes is started for."""

import asyncio
import tempfile
from pathlib import Path

import msgspec
import psutil

from benchmarks._slope import Slope, fit
from benchmarks.bench_relay import measure_cost
from benchmarks.bench_relay import scenario as relay_scenario
from benchmarks.bench_settings import WATCH_S, LightDaemon, cpu_of, scenario
from reachlink.control import ControlClient
from reachlink.messaging import Bus
from reachlink.testing import Fleet

# How long processor time and messages are counted at one point, in seconds.
SPAN_S = 6.0


async def control_per_daemon() -> list[Slope]:
    """A control fleet against the daemons that watch it, all idle."""
    loads, traffic = [], []
    with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
        async with Fleet(scenario(3), Path(folder)) as fleet:
            controls = [f"127.0.0.1:{p.bus_port}" for p in fleet.layout.controls]
            pids = [fleet.pid(p.name) for p in fleet.layout.controls]
            bus = Bus("slopes", fleet.layout.secret.encode())
            tasks: list[asyncio.Task[None]] = []
            for count in (0, 50, 150, 300):
                while len(tasks) < count:
                    i = len(tasks)
                    order = controls[i % 3 :] + controls[: i % 3]
                    daemon = LightDaemon(bus, f"light-{i}", ControlClient(bus, order))
                    tasks.append(asyncio.ensure_future(daemon.run()))
                await asyncio.sleep(WATCH_S + 1.0)
                before = sum(cpu_of(pid) for pid in pids)
                messages = bus.traffic.sent + bus.traffic.received
                await asyncio.sleep(SPAN_S)
                used = (sum(cpu_of(pid) for pid in pids) - before) / SPAN_S / 3
                loads.append((count / 3, round(100 * used, 3)))
                sent = bus.traffic.sent + bus.traffic.received - messages
                traffic.append((float(count), round(sent / SPAN_S, 2)))
            for task in tasks:
                task.cancel()
            await asyncio.sleep(0.1)
            bus.close()
    return [
        fit("control load", "daemons that watch it", "% of a core", loads),
        fit("watch messages", "daemons", "messages/s", traffic),
    ]


async def entry_per_replica() -> Slope:
    """An idle entry daemon against the replicas whose load and cache it reads."""
    points = []
    for count in (1, 4, 8, 16):
        plan = msgspec.structs.replace(scenario(1), model_replicas=count)
        with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
            async with Fleet(plan, Path(folder)) as fleet:
                pid = fleet.pid(fleet.layout.entries[0].name)
                await asyncio.sleep(2.0)
                before = cpu_of(pid)
                await asyncio.sleep(SPAN_S)
                points.append((float(count), round(100 * (cpu_of(pid) - before) / SPAN_S, 3)))
    return fit("replica polling", "replicas", "% of a core", points)


async def entry_per_peer() -> list[Slope]:
    """An idle entry daemon against the number of its peers."""
    loads, memory = [], []
    for count in (1, 7, 14, 28):
        with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
            async with Fleet(scenario(count), Path(folder)) as fleet:
                pid = fleet.pid(fleet.layout.entries[0].name)
                await asyncio.sleep(2.0)
                before = cpu_of(pid)
                await asyncio.sleep(SPAN_S)
                loads.append((float(count - 1), round(100 * (cpu_of(pid) - before) / SPAN_S, 3)))
                rss = psutil.Process(pid).memory_info().rss / 2**20
                memory.append((float(count - 1), round(rss, 2)))
    return [
        fit("peer digests", "peers", "% of a core", loads),
        fit("peer memory", "peers", "MB resident", memory),
    ]


async def token_cost() -> list[Slope]:
    """An entry daemon's processor time and memory against streams at once."""
    loads, memory = [], []
    with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
        async with Fleet(relay_scenario(), Path(folder)) as fleet:
            entry = fleet.layout.entries[0]
            process = psutil.Process(fleet.pid(entry.name))
            for streams in (8, 32, 64, 128):
                way = await measure_cost(fleet, "entry", entry.address, process, streams, 250)
                rate = streams * 1000 / 18.0
                loads.append((float(round(rate)), round(way.cpu_us_per_token * rate / 1e4, 2)))
                memory.append((float(streams), way.rss_mb))
    return [
        fit("token load", "tokens/s", "% of a core", loads),
        fit("stream memory", "streams", "MB resident", memory),
    ]
