"""``make slopes``: what one more of each thing costs, on one machine with small stand-ins.

Each slope is a least-squares line through at least four points. Control cost
is told apart from the data path's and from the floor of interpreter and
libraries.
"""

import asyncio
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
from cyclopts import App

from benchmarks import _slopes_alone as alone
from benchmarks import _slopes_fleet as with_fleet
from benchmarks._environment import describe
from benchmarks._slope import Slope

RESULTS = Path(__file__).parent / "results" / "slopes.json"

app = App(help=__doc__)


def floor_mb() -> float:
    """Return the resident memory of a process that only imports what a daemon imports."""
    code = "import reachlink.entry, psutil; print(psutil.Process().memory_info().rss / 2**20)"
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return float(output.stdout)


async def _collect(short: bool) -> list[Slope]:
    found = [
        alone.memory_per_workspace(),
        alone.memory_per_length_key(),
        alone.decision_cost(),
        alone.profile_cost(),
        alone.digest_size(),
        alone.digest_cost(),
        *alone.snapshot_cost(),
        alone.edit_cost(),
        *alone.claim_cost(),
    ]
    if short:
        return found
    steps: list[Callable[[], Awaitable[Any]]] = [
        with_fleet.control_per_daemon,
        with_fleet.entry_per_replica,
        with_fleet.entry_per_peer,
        with_fleet.token_cost,
    ]
    for step in steps:
        result = await step()
        found += result if isinstance(result, list) else [result]
    return found


@app.default
def run(*, short: bool = False) -> None:
    """Measure every slope and write the results file.

    Parameters
    ----------
    short : bool
        Only the slopes that need no fleet; writes nothing.
    """
    floor = floor_mb()
    print(f"floor: {floor:.1f} MB", flush=True)
    slopes = asyncio.run(_collect(short))
    if short:
        return
    body = {"environment": describe(), "floor_mb": round(floor, 1), "slopes": slopes}
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(body), indent=1) + b"\n")


if __name__ == "__main__":
    app()
