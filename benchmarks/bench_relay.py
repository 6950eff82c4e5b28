"""``make bench-relay``: an entry instance beside a bare aiohttp relay, in one run."""

import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec
import psutil
from cyclopts import App

from benchmarks._environment import describe
from reachlink.testing import Fleet, Scenario, WorkspaceScenario
from reachlink.testing._batch import EngineParameters
from reachlink.testing._measures import percentile
from reachlink.testing._ports import free_ports

RESULTS = Path(__file__).parent / "results" / "relay.json"
ENGINE = EngineParameters(
    kv_tokens=2_000_000,
    max_batch=512,
    step_base_ms=18.0,
    step_sequence_ms=0.0,
    step_kilotoken_ms=0.0,
    prefill_token_ms=0.0,
    prefill_chunk_tokens=100_000,
    median_output_tokens=50_000.0,
    output_sigma=0.1,
)
IDLE_S = 5.0
SEQUENTIAL = 150

app = App(help=__doc__)


class WayFigures(msgspec.Struct, kw_only=True):
    """Figures of one way to the engine."""

    name: str
    cpu_us_per_token: float = 0.0
    idle_cpu_share: float = 0.0
    tokens: int = 0
    rss_mb: float = 0.0
    first_token_p50_ms: float = 0.0
    first_token_p99_ms: float = 0.0
    gap_p50_ms: float = 0.0
    gap_p99_ms: float = 0.0


def scenario() -> Scenario:
    """Return one entry instance before one engine."""
    return Scenario(
        name="relay",
        availability_zones=["one"],
        entries=1,
        controls=1,
        model_replicas=1,
        plain_replicas=0,
        workspaces=[WorkspaceScenario(name="w")],
        engine=ENGINE,
        proxied_upstreams=False,
    )


async def stream(fleet: Fleet, address: str, tokens: int, gaps: list[float]) -> tuple[float, int]:
    """Stream one answer; return the first token's time in ms and the tokens read."""
    body = {
        "model": fleet.scenario.model_service,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "Hei"}],
    }
    headers = fleet.workspace_headers("w")
    sent = time.monotonic()
    first, last, count = 0.0, 0.0, 0
    url = f"http://{address}/v1/chat/completions"
    async with fleet.session.post(url, json=body, headers=headers) as response:
        assert response.status == 200, await response.text()
        while piece := await response.content.readany():
            now = time.monotonic()
            count += piece.count(b'"offset"')
            if last:
                gaps.append(1000 * (now - last))
            else:
                first = 1000 * (now - sent)
            last = now
    return first, count - 1


def cpu(process: psutil.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)


async def measure_cost(
    fleet: Fleet, name: str, address: str, process: psutil.Process, streams: int, tokens: int
) -> WayFigures:
    """Measure processor time a token at many streams, less what the idle process uses."""
    before = cpu(process)
    await asyncio.sleep(IDLE_S)
    idle = (cpu(process) - before) / IDLE_S
    gaps: list[float] = []
    before, started = cpu(process), time.monotonic()
    results = await asyncio.gather(*(stream(fleet, address, tokens, gaps) for _ in range(streams)))
    passed = time.monotonic() - started
    total = sum(count for _, count in results)
    used = cpu(process) - before - idle * passed
    return WayFigures(
        name=name,
        cpu_us_per_token=round(1e6 * used / total, 2),
        idle_cpu_share=round(idle, 4),
        tokens=total,
        rss_mb=round(process.memory_info().rss / 2**20, 1),
        gap_p50_ms=round(percentile(gaps, 0.5), 2),
        gap_p99_ms=round(percentile(gaps, 0.99), 2),
    )


async def measure_first_tokens(fleet: Fleet, address: str, path: WayFigures) -> None:
    """Measure the first token of short answers, one after the other."""
    firsts = [(await stream(fleet, address, 2, []))[0] for _ in range(SEQUENTIAL)]
    path.first_token_p50_ms = round(statistics.median(firsts), 2)
    path.first_token_p99_ms = round(percentile(firsts, 0.99), 2)


async def measure(streams: int, tokens: int) -> list[WayFigures]:
    """Measure the engine itself, the bare relay and the entry instance."""
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        async with Fleet(scenario(), Path(folder)) as fleet:
            engine, entry = fleet.layout.upstreams[0], fleet.layout.entries[0]
            (port,) = free_ports(1)
            relay = subprocess.Popen(
                [sys.executable, "-m", "reachlink.testing.relay", str(port), engine.address]
            )
            try:
                await asyncio.sleep(2.0)
                return await _measure_all(
                    fleet,
                    [
                        ("engine itself", engine.address, fleet.pid(engine.name)),
                        ("bare relay", f"127.0.0.1:{port}", relay.pid),
                        ("entry instance", entry.address, fleet.pid(entry.name)),
                    ],
                    streams,
                    tokens,
                )
            finally:
                relay.kill()
                relay.wait()


async def _measure_all(
    fleet: Fleet, ways: list[tuple[str, str, int]], streams: int, tokens: int
) -> list[WayFigures]:
    found: list[WayFigures] = []
    for name, address, pid in ways:
        process = psutil.Process(pid)
        path = await measure_cost(fleet, name, address, process, streams, tokens)
        await measure_first_tokens(fleet, address, path)
        found.append(path)
    return found


@app.default
def run(*, streams: int = 64, tokens: int = 400, runs: int = 3, save: bool = True) -> None:
    """Measure.

    Parameters
    ----------
    streams : int
        Streams at once.
    tokens : int
        Tokens of each answer.
    runs : int
        Repetitions, each in a fresh fleet.
    save : bool
        Write the results file.
    """
    every: list[Any] = []
    for number in range(1, runs + 1):
        found = asyncio.run(measure(streams, tokens))
        every.append(found)
        for path in found:
            print(number, msgspec.to_builtins(path), flush=True)
    body = {"environment": describe(), "streams": streams, "tokens": tokens, "runs": every}
    if save:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(body), indent=1) + b"\n")


if __name__ == "__main__":
    app()
