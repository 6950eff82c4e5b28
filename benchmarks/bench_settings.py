"""``make bench-settings``: how fast settings are in force, and what they cost when idle.

Beside it, in the same run, the naive way: every daemon asks the leader for
its settings each second.
"""

import asyncio
import contextlib
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import psutil
from cyclopts import App

from benchmarks._environment import describe
from reachlink.control import (
    ControlClient,
    EditCommand,
    EditResult,
    EditStatus,
    WatchRequest,
)
from reachlink.membership import Inbox, SettingsAnswer, SettingsHolder, unpack_answer
from reachlink.messaging import Bus, MessagingError
from reachlink.settings import Change
from reachlink.testing import Fleet, Scenario, WorkspaceScenario
from reachlink.testing._measures import percentile

RESULTS = Path(__file__).parent / "results" / "settings.json"
PATH = "defaults.limits.queue_length"
IDLE_S = 10.0
WATCH_S = 2.0
EDIT_TIMEOUT_S = 10.0

app = App(help=__doc__)


class SettingsFigures(msgspec.Struct, kw_only=True):
    """Figures of one run; times in milliseconds."""

    daemons: int
    in_force_p50_ms: float = 0.0
    in_force_p99_ms: float = 0.0
    in_force_max_ms: float = 0.0
    accept_p50_ms: float = 0.0
    edits_per_s: float = 0.0
    without_leader_s: list[float] = []
    idle: dict[str, Any] = {}
    naive: dict[str, Any] = {}


def scenario(entries: int) -> Scenario:
    """Return a fleet without upstreams but one."""
    return Scenario(
        name="settings",
        availability_zones=["one", "two", "three"],
        entries=entries,
        controls=3,
        model_replicas=1,
        plain_replicas=0,
        workspaces=[WorkspaceScenario(name="w")],
        proxied_upstreams=False,
    )


class LightDaemon:
    """The settings side of an entry daemon: watches a control instance as it does."""

    def __init__(self, bus: Bus, name: str, client: ControlClient) -> None:
        self._name = name
        self._client = client
        self._bus = bus
        self._inbox = Inbox()
        self.holder = SettingsHolder()
        self.seen: dict[int, float] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            revision, progress = self.holder.tree.revision, self._inbox.progress
            request = WatchRequest(self._name, revision, WATCH_S, progress=progress)
            try:
                answer = await self._client.ask(self._client.addresses[0], request, WATCH_S + 1.0)
            except MessagingError:
                self._client.rotate()
                await asyncio.sleep(0.2)
                continue
            assert isinstance(answer, SettingsAnswer)
            content = unpack_answer(self._inbox, answer)
            if content is not None and self.holder.take(content):
                now = time.monotonic()
                for revision in range(1, self.holder.tree.revision + 1):
                    self.seen.setdefault(revision, now)


async def edit_once(client: ControlClient, number: int) -> tuple[int, float, float]:
    """Have one edit accepted; return its revision and the times of asking and accepting."""
    asked = time.monotonic()
    revision = 1
    for attempt in range(200):
        command = EditCommand(
            f"edit-{number}-{attempt}", revision, [Change(PATH, number)], "bench", "", time.time()
        )
        result = await client.propose(command, EDIT_TIMEOUT_S)
        assert isinstance(result, EditResult)
        if result.status is EditStatus.ACCEPTED:
            return result.revision, asked, time.monotonic()
        revision = result.revision
        asked = time.monotonic()
    raise RuntimeError("the edit was never accepted")


async def measure_in_force(
    fleet: Fleet, daemons: list[LightDaemon], client: ControlClient, edits: int
) -> SettingsFigures:
    """Measure from asking to being in force at every daemon."""
    figures = SettingsFigures(daemons=len(daemons))
    last, accepts, waits = 0, [], []
    for number in range(edits):
        revision, asked, accepted = await edit_once(client, number)
        accepts.append(1000 * (accepted - asked))

        async def everywhere(wanted: int = revision) -> bool:
            return all(d.holder.tree.revision >= wanted for d in daemons)

        await fleet.wait_for(everywhere, 30.0, f"revision {revision} everywhere")
        waits += [1000 * (d.seen[revision] - asked) for d in daemons]
        last = revision
    assert last
    figures.in_force_p50_ms = round(percentile(waits, 0.5), 2)
    figures.in_force_p99_ms = round(percentile(waits, 0.99), 2)
    figures.in_force_max_ms = round(max(waits), 2)
    figures.accept_p50_ms = round(statistics.median(accepts), 2)
    return figures


async def measure_edit_rate(client: ControlClient, edits: int, at_once: int) -> float:
    """Return accepted or refused edits a second with many at once; each is synced."""
    started = time.monotonic()

    async def some(worker: int) -> None:
        for number in range(edits // at_once):
            command = EditCommand(
                f"rate-{worker}-{number}", 0, [Change(PATH, 1)], "bench", "", time.time()
            )
            await client.propose(command, EDIT_TIMEOUT_S)

    await asyncio.gather(*(some(worker) for worker in range(at_once)))
    return edits / (time.monotonic() - started)


async def leader_of(fleet: Fleet) -> str:
    """Return the name of the leading control instance, or an empty string."""
    for plan in fleet.layout.controls:
        if not fleet.alive(plan.name):
            continue
        with contextlib.suppress(aiohttp.ClientError, OSError):
            if (await fleet.get(plan.name, "/healthz"))["role"] == "leader":
                return plan.name
    return ""


async def measure_without_leader(fleet: Fleet, client: ControlClient, kills: int) -> list[float]:
    """Return the time from killing a leader to the next accepted command, in seconds."""
    waits: list[float] = []
    for number in range(kills):
        victim = await leader_of(fleet)
        await fleet.kill(victim)
        killed = time.monotonic()
        await edit_once(client, 10_000 + number)
        waits.append(round(time.monotonic() - killed, 3))
        fleet.launch(victim)

        async def back(name: str = victim) -> bool:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                return bool((await fleet.get(name, "/healthz"))["leader"])
            return False

        await fleet.wait_for(back, 30.0, f"{victim} is back")
    return waits


def cpu_of(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


async def measure_idle(fleet: Fleet) -> dict[str, Any]:
    """Return what real daemons use while nothing happens."""
    names = [p.name for p in (*fleet.layout.entries[:3], *fleet.layout.controls)]
    before = {n: cpu_of(fleet.pid(n)) for n in names}
    await asyncio.sleep(IDLE_S)
    result: dict[str, Any] = {}
    for name in names:
        process = psutil.Process(fleet.pid(name))
        result[name] = {
            "cpu_share": round((cpu_of(process.pid) - before[name]) / IDLE_S, 4),
            "rss_mb": round(process.memory_info().rss / 2**20, 1),
        }
    return result


async def measure_light_cost(bus: Bus, daemons: int) -> dict[str, float]:
    """Return messages and bytes a second that one light daemon exchanges when idle."""
    before = (bus.traffic.sent, bus.traffic.received, bus.traffic.sent_bytes)
    received = bus.traffic.received_bytes
    await asyncio.sleep(IDLE_S)
    traffic = bus.traffic
    return {
        "messages_per_s": round(
            (traffic.sent - before[0] + traffic.received - before[1]) / IDLE_S / daemons, 3
        ),
        "bytes_per_s": round(
            (traffic.sent_bytes - before[2] + traffic.received_bytes - received) / IDLE_S / daemons,
            1,
        ),
    }


async def measure_naive(
    fleet: Fleet, bus: Bus, daemons: int, controls: list[str]
) -> dict[str, Any]:
    """Let every daemon ask the leader each second, and measure the leader and the traffic."""
    leader = await leader_of(fleet)
    port = fleet.plan(leader).bus_port
    client = ControlClient(bus, [f"127.0.0.1:{port}"])

    async def ask_each_second(number: int) -> None:
        await asyncio.sleep(number / daemons)
        while True:
            started = time.monotonic()
            with contextlib.suppress(MessagingError):
                await client.ask(client.addresses[0], WatchRequest(f"n{number}", 0, 0.0), 1.0)
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - started)))

    tasks = [asyncio.ensure_future(ask_each_second(n)) for n in range(daemons)]
    await asyncio.sleep(2.0)
    before = cpu_of(fleet.pid(leader))
    cost: dict[str, Any] = dict(await measure_light_cost(bus, daemons))
    cost["leader_cpu_share"] = round((cpu_of(fleet.pid(leader)) - before) / IDLE_S, 4)
    for task in tasks:
        task.cancel()
    return cost


async def measure(entries: int, light: int, edits: int, kills: int) -> SettingsFigures:
    """Measure one fleet: real entry daemons, and light ones beside them."""
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        async with Fleet(scenario(entries), Path(folder)) as fleet:
            secret = fleet.layout.secret.encode()
            bus = Bus("bench", secret)
            controls = [f"127.0.0.1:{p.bus_port}" for p in fleet.layout.controls]
            editor = ControlClient(bus, controls)
            daemons = [
                LightDaemon(
                    bus,
                    f"light-{i}",
                    ControlClient(bus, controls[i % 3 :] + controls[: i % 3]),
                )
                for i in range(light)
            ]
            tasks = [asyncio.ensure_future(d.run()) for d in daemons]
            figures = await measure_in_force(fleet, daemons, editor, edits)
            figures.idle = await measure_idle(fleet)
            figures.idle["light daemon"] = await measure_light_cost(bus, light)
            figures.edits_per_s = round(await measure_edit_rate(editor, 1000, 50), 1)
            for task in tasks:
                task.cancel()
            await asyncio.sleep(WATCH_S + 0.5)
            figures.naive = await measure_naive(fleet, bus, light, controls)
            figures.without_leader_s = await measure_without_leader(fleet, editor, kills)
            bus.close()
            return figures


@app.default
def run(
    *, light: list[int] | None = None, edits: int = 60, kills: int = 4, save: bool = True
) -> None:
    """Measure.

    Parameters
    ----------
    light : list of int
        Light daemons beside the real ones, one run for each number.
    edits : int
        Edits whose way to every daemon is measured.
    kills : int
        Leaders to kill.
    save : bool
        Write the results file.
    """
    found = []
    for number in light or [8, 100]:
        figures = asyncio.run(measure(7, number, edits, kills))
        print(msgspec.json.format(msgspec.json.encode(figures), indent=1).decode(), flush=True)
        found.append(figures)
    if save:
        body = {"environment": describe(), "runs": found}
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(body), indent=1) + b"\n")


if __name__ == "__main__":
    app()
