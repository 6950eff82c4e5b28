"""``make bench-policy``: the placement policy beside baselines, with real processes.

The same seeded load goes through each policy in turn; each run has a fleet
of its own, and the policies are interleaved over seeds and loads.
"""

import asyncio
import statistics
import tempfile
from pathlib import Path

import msgspec
from cyclopts import App

from benchmarks._environment import describe
from benchmarks._fleet_load import capacity_per_s, run_workload
from reachlink.testing import Fleet, Scenario
from reachlink.testing._batch import EngineParameters
from reachlink.testing._measures import Summary, Targets, summarize
from reachlink.testing._workload import make_workload
from reachlink.testing.fleet import DEFAULT

RESULTS = Path(__file__).parent / "results" / "policy.json"
POLICIES = ["round-robin", "least-in-flight", "power-of-two", "forecast"]
ENGINE = EngineParameters(kv_tokens=8192, max_batch=64)
TARGETS = Targets(first_token_s=1.5, gap_s=0.1)
WARM_UP_S = 10.0

app = App(help=__doc__)


class Run(msgspec.Struct, kw_only=True):
    """One policy at one load with one seed."""

    policy: str
    load: float
    seed: int
    fault: str
    summary: Summary
    preemptions: int
    recomputed_tokens: int
    cpu_s: dict[str, float]


def scenario_for(policy: str) -> Scenario:
    """Return the first deployment with engines whose memory runs short."""
    base = msgspec.json.decode(DEFAULT.read_bytes(), type=Scenario)
    return msgspec.structs.replace(
        base, engine=ENGINE, policy=policy, plain_replicas=0, proxied_upstreams=False
    )


async def freeze_reports(fleet: Fleet, start_at: float) -> None:
    """Let every engine's load report stand still a third into the run."""
    await asyncio.sleep(WARM_UP_S + 4)
    for plan in fleet.layout.upstreams:
        await fleet.post(plan.name, "/faults", {"frozen_reports": True})


async def slow_replica(fleet: Fleet, start_at: float) -> None:
    """Make one engine five times slower."""
    await asyncio.sleep(WARM_UP_S + 4)
    await fleet.post(fleet.layout.upstreams[1].name, "/faults", {"slow_factor": 5.0})


async def kill_replica(fleet: Fleet, start_at: float) -> None:
    """Kill one engine."""
    await asyncio.sleep(WARM_UP_S + 4)
    await fleet.kill(fleet.layout.upstreams[1].name)


FAULTS = {
    "none": None,
    "frozen": freeze_reports,
    "slow": slow_replica,
    "killed": kill_replica,
}


async def measure(policy: str, load: float, seed: int, fault: str, duration_s: float) -> Run:
    """Run one policy in a fresh fleet."""
    scenario = scenario_for(policy)
    rate = load * capacity_per_s(ENGINE, scenario.model_replicas, scenario.workspaces)
    arrivals = make_workload(scenario.workspaces, rate, WARM_UP_S + duration_s, seed)
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        async with Fleet(scenario, Path(folder)) as fleet:
            result = await run_workload(
                fleet, arrivals, TARGETS, Path(folder) / "load", FAULTS[fault], WARM_UP_S
            )
    measured = [r for r in result.records if r.due_s >= WARM_UP_S]
    summary = summarize(measured, TARGETS, duration_s)
    return Run(
        policy=policy,
        load=load,
        seed=seed,
        fault=fault,
        summary=summary,
        preemptions=result.preemptions,
        recomputed_tokens=result.recomputed_tokens,
        cpu_s=result.cpu_s,
    )


def show(run: Run) -> None:
    """Print one run as a line."""
    s = run.summary
    print(
        f"{run.policy:16} load={run.load:<4} seed={run.seed} {run.fault:7}"
        f" n={s.requests:4} whole={s.whole:4} refused={s.refused:4} failed={s.failed:3}"
        f" good/s={s.goodput_per_s:6.2f} stall/1k={s.stall_s_per_1000_tokens:7.3f}"
        f" ttft50={s.first_token_p50_s:6.3f} ttft99={s.first_token_p99_s:6.3f}"
        f" gap95={s.gap_p95_ms:6.1f} gap99={s.gap_p99_ms:6.1f} gap999={s.gap_p999_ms:7.1f}"
        f" preempt={run.preemptions:4} fair={s.fairness:.3f} cpu={run.cpu_s}",
        flush=True,
    )


def medians(runs: list[Run]) -> list[dict[str, object]]:
    """Return the median over seeds of the main measures, with their spread."""
    rows: list[dict[str, object]] = []
    keys = sorted({(r.fault, r.load, r.policy) for r in runs})
    for fault, load, policy in keys:
        chosen = [r for r in runs if (r.fault, r.load, r.policy) == (fault, load, policy)]
        row: dict[str, object] = {"fault": fault, "load": load, "policy": policy}
        for name in ("goodput_per_s", "stall_s_per_1000_tokens", "gap_p99_ms", "gap_p999_ms"):
            values = [getattr(r.summary, name) for r in chosen]
            row[name] = round(statistics.median(values), 4)
            row[f"{name}_spread"] = [round(min(values), 4), round(max(values), 4)]
        row["preemptions"] = statistics.median([r.preemptions for r in chosen])
        rows.append(row)
    return rows


def write(runs: list[Run]) -> None:
    """Write what was measured so far: a later failure must not lose it."""
    body = {"environment": describe(), "medians": medians(runs), "runs": runs}
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(body), indent=1) + b"\n")


@app.default
def run(
    *,
    loads: list[float] | None = None,
    seeds: int = 3,
    duration: float = 30.0,
    policies: list[str] | None = None,
    faults: list[str] | None = None,
    save: bool = True,
) -> None:
    """Measure.

    Parameters
    ----------
    loads : list of float
        Offered load as shares of capacity.
    seeds : int
        Workloads for each load.
    duration : float
        Measured span in seconds, after the warm-up.
    policies : list of str
        Policies to compare.
    faults : list of str
        ``none``, ``frozen``, ``slow``, ``killed``.
    save : bool
        Write the results file.
    """
    runs: list[Run] = []
    for fault in faults or ["none"]:
        for load in loads or [0.3, 0.9, 2.0]:
            for seed in range(1, seeds + 1):
                for policy in policies or POLICIES:
                    found = asyncio.run(measure(policy, load, seed, fault, duration))
                    show(found)
                    runs.append(found)
                    if save:
                        write(runs)


if __name__ == "__main__":
    app()
