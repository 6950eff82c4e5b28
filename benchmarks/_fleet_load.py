"""Runs one workload through a fleet of real processes."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import psutil

from reachlink.testing import Fleet
from reachlink.testing._batch import BatchModel, EngineParameters
from reachlink.testing._measures import AnswerRecord, Targets
from reachlink.testing._wire import block_hashes, count_tokens
from reachlink.testing._workload import Arrival, make_workload
from reachlink.testing.load import LoadPlan

LOAD_PROCESSES = 2
START_DELAY_S = 2.0
CALIBRATION_REQUESTS = 1500
MAX_TOKENS = 1024


class LoadResult(msgspec.Struct, kw_only=True):
    """What came of one workload."""

    records: list[AnswerRecord]
    preemptions: int
    recomputed_tokens: int
    cpu_s: dict[str, float]


def capacity_per_s(parameters: EngineParameters, replicas: int, workspaces: Any) -> float:
    """Return how many requests a second the engines serve with an endless backlog.

    The batch model runs without sleeping, so that this takes no time.
    """
    model = BatchModel(parameters)
    arrivals = make_workload(workspaces, 100.0, CALIBRATION_REQUESTS / 100.0, seed=99)
    pending = list(arrivals)
    finished, passed_ms = 0, 0.0
    while model.busy or pending:
        while pending and len(model.waiting) < 4:
            _submit(model, pending.pop())
        if not pending:
            break
        result = model.step()
        passed_ms += result.duration_ms
        finished += len(result.finished)
    return replicas * finished / (passed_ms / 1000)


def _submit(model: BatchModel, arrival: Arrival) -> None:
    text = f"user: {arrival.prompt}"
    blocks = block_hashes(text, model.parameters.block_tokens)
    name = str(arrival.index)
    model.submit(name, name, blocks, count_tokens(text), MAX_TOKENS, 5, arrival.seed)


async def run_workload(
    fleet: Fleet,
    arrivals: list[Arrival],
    targets: Targets,
    folder: Path,
    faults: Any = None,
    warm_up_s: float = 0.0,
) -> LoadResult:
    """Send a workload and collect what callers and engines saw.

    Parameters
    ----------
    fleet : Fleet
        A running fleet.
    arrivals : list of Arrival
        What is due when.
    targets : Targets
        What callers are promised.
    folder : pathlib.Path
        For the plans and results of the load processes.
    faults : coroutine function, optional
        Called with the fleet at the start; brings faults about.
    warm_up_s : float
        Preemptions are counted from here on.
    """
    folder.mkdir(parents=True, exist_ok=True)
    used_before = processor_times(fleet)
    start_at = time.monotonic() + START_DELAY_S
    processes = [
        _start_load(fleet, arrivals[i::LOAD_PROCESSES], targets, folder, i, start_at)
        for i in range(LOAD_PROCESSES)
    ]
    fault_task = asyncio.ensure_future(faults(fleet, start_at)) if faults else None
    await asyncio.sleep(START_DELAY_S + warm_up_s)
    before = await engine_totals(fleet)
    while any(p.poll() is None for p in processes):
        await asyncio.sleep(0.1)
    if fault_task is not None:
        await fault_task
    after = await engine_totals(fleet)
    records, load_cpu = _collect(folder)
    used = {
        role: value - used_before.get(role, 0.0) for role, value in processor_times(fleet).items()
    }
    used["load"] = load_cpu
    return LoadResult(
        records=records,
        preemptions=after[0] - before[0],
        recomputed_tokens=after[1] - before[1],
        cpu_s={role: round(value, 2) for role, value in used.items()},
    )


def processor_times(fleet: Fleet) -> dict[str, float]:
    """Return the processor time used so far, in seconds by role."""
    totals: dict[str, float] = {}
    for plan in fleet.layout.processes:
        if fleet.alive(plan.name):
            times = psutil.Process(fleet.pid(plan.name)).cpu_times()
            totals[plan.role] = totals.get(plan.role, 0.0) + times.user + times.system
    return totals


async def engine_totals(fleet: Fleet) -> tuple[int, int]:
    """Return preemptions and recomputed tokens over all living engines."""
    preemptions = recomputed = 0
    for plan in fleet.layout.upstreams:
        if plan.module == "engine" and fleet.alive(plan.name):
            report = await fleet.get(plan.name, "/v1/load")
            preemptions += report.get("preemptions", 0)
            recomputed += report.get("recomputed_tokens", 0)
    return preemptions, recomputed


def _start_load(
    fleet: Fleet,
    arrivals: list[Arrival],
    targets: Targets,
    folder: Path,
    number: int,
    start_at: float,
) -> subprocess.Popen[bytes]:
    plan = LoadPlan(
        addresses=[entry.address for entry in fleet.layout.entries],
        keys=fleet.layout.workspace_keys,
        model=fleet.scenario.model_service,
        arrivals=arrivals,
        max_tokens=MAX_TOKENS,
        start_at=start_at,
        targets=targets,
        output=str(folder / f"result-{number}.json"),
    )
    path = folder / f"plan-{number}.json"
    path.write_bytes(msgspec.json.encode(plan))
    return subprocess.Popen([sys.executable, "-m", "reachlink.testing.load", "--config", str(path)])


def _collect(folder: Path) -> tuple[list[AnswerRecord], float]:
    records: list[AnswerRecord] = []
    used = 0.0
    for number in range(LOAD_PROCESSES):
        data = msgspec.json.decode((folder / f"result-{number}.json").read_bytes())
        records += msgspec.convert(data["records"], list[AnswerRecord])
        used += data["cpu_s"]
    return records, used
