"""Resident memory of an entry instance over many short requests."""

import asyncio
import tempfile
from pathlib import Path

import aiohttp
import msgspec
import psutil
from cyclopts import App

from benchmarks._environment import describe
from benchmarks.bench_relay import scenario as relay_scenario
from reachlink.testing import Fleet

RESULTS = Path(__file__).parent / "results" / "memory.json"
AT_ONCE = 32
SAMPLES = 10

app = App(help=__doc__)


async def measure(requests: int) -> list[tuple[int, float]]:
    """Return the resident memory in MB after each tenth of the requests."""
    plan = msgspec.structs.replace(
        relay_scenario(),
        plain_replicas=1,
        settings={"services.readings.repeatable": True},
    )
    found: list[tuple[int, float]] = []
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        async with Fleet(plan, Path(folder)) as fleet:
            entry = fleet.layout.entries[0]
            process = psutil.Process(fleet.pid(entry.name))
            url = f"http://{entry.address}/readings/x"
            headers = fleet.workspace_headers("w")

            async def some(session: aiohttp.ClientSession, count: int) -> None:
                for _ in range(count):
                    async with session.post(url, data=b"{}", headers=headers) as response:
                        assert response.status == 200, await response.text()
                        await response.read()

            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                for part in range(1, SAMPLES + 1):
                    each = requests // SAMPLES // AT_ONCE
                    await asyncio.gather(*(some(session, each) for _ in range(AT_ONCE)))
                    used = process.memory_info().rss / 2**20
                    found.append((part * each * AT_ONCE, round(used, 1)))
    return found


@app.default
def run(*, requests: int = 100_000, save: bool = True) -> None:
    """Measure.

    Parameters
    ----------
    requests : int
        Requests in all.
    save : bool
        Write the results file.
    """
    points = asyncio.run(measure(requests))
    print(points)
    if save:
        body = {"environment": describe(), "requests_and_rss_mb": points}
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(body), indent=1) + b"\n")


if __name__ == "__main__":
    app()
