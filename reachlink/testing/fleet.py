"""``make run``: a local fleet in the foreground, with a few real requests."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import aiohttp
import msgspec
import uvloop
from cyclopts import App

from reachlink.testing._fleet import Fleet
from reachlink.testing._scenario import Scenario

FOLDER = Path(".fleet")
DEFAULT = Path(__file__).parent / "scenarios" / "malerhjelp.json"

app = App(name="fleet", help="Run a local fleet of reachlink with stand-ins around it.")


def describe(fleet: Fleet) -> dict[str, object]:
    """Return the description that is written to ``fleet.json``."""
    layout = fleet.layout
    processes = [
        {
            "name": plan.name,
            "role": plan.role,
            "availability_zone": plan.availability_zone,
            "address": plan.address,
            "pid": fleet.pid(plan.name),
            "upstream": plan.upstream,
        }
        for plan in layout.processes
    ]
    return {
        "processes": processes,
        "workspaces": [{"name": n, "key": k} for n, k in layout.workspace_keys.items()],
        "operator": {
            "addresses": [p.address for p in (*layout.entries, *layout.controls)],
            "key": layout.operator_key,
        },
        "faults": f"http://127.0.0.1:{layout.proxy_port}",
    }


async def show_stream(fleet: Fleet, entry: str, workspace: str, text: str) -> None:
    """Send one streamed request and print its answer as it comes."""
    print(f"\n> {workspace} asks {entry}: {text}")
    body = {
        "model": fleet.scenario.model_service,
        "stream": True,
        "max_tokens": 40,
        "messages": [{"role": "user", "content": text}],
    }
    url = f"http://{fleet.plan(entry).address}/v1/chat/completions"
    headers = fleet.workspace_headers(workspace)
    async with fleet.session.post(url, json=body, headers=headers) as response:
        async for line in response.content:
            if not line.startswith(b"data: {"):
                continue
            event = msgspec.json.decode(line[6:])
            if "error" in event:
                print("error:", event["error"])
                continue
            print(event["choices"][0]["delta"].get("content", ""), end="", flush=True)
    print()


async def show_call(fleet: Fleet, entry: str, workspace: str) -> None:
    """Send one call of the plain service and print its answer."""
    service = fleet.scenario.plain_service
    print(f"\n> {workspace} submits to {service} through {entry}, twice under one key")
    url = f"http://{fleet.plan(entry).address}/{service}/submit"
    headers = {**fleet.workspace_headers(workspace), "Idempotency-Key": "demo-1"}
    for _ in range(2):
        async with fleet.session.post(url, json={"value": 4711}, headers=headers) as response:
            print(response.status, await response.text())


async def show_zone_order(fleet: Fleet, entry: str, workspace: str) -> None:
    """Take a zone of the plain service out of service, show who answers, take it back."""
    service = fleet.scenario.plain_service
    zones = {p.name: p.availability_zone for p in fleet.layout.upstreams}
    zone = fleet.plan(entry).availability_zone
    print(f"\n> the operator takes {zone} out of service, then {workspace} calls {service} there")
    print(await fleet.order_zone(entry, zone, out_of_service=True, reason="demonstration"))
    url = f"http://{fleet.plan(entry).address}/{service}/status"
    headers = fleet.workspace_headers(workspace)
    async with fleet.session.post(url, json={}, headers=headers) as response:
        answer = msgspec.json.decode(await response.read())
    by = answer.get("by", "")
    print(f"{response.status} answered by {by} of {zones.get(by, 'no zone')}")
    print(await fleet.order_zone(entry, zone, out_of_service=False))


def show_help(fleet: Fleet) -> None:
    """Print how to send requests."""
    address = fleet.layout.entries[0].address
    name, key = next(iter(fleet.layout.workspace_keys.items()))
    model = fleet.scenario.model_service
    print(
        f"""
The fleet runs; its description is in {FOLDER / "fleet.json"}, its logs in {FOLDER / "logs"}.

With curl, as workspace {name}:
  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {key}' \\
    -H 'Content-Type: application/json' \\
    -d '{{"model":"{model}","stream":true,"messages":[{{"role":"user","content":"Hei"}}]}}'

With an OpenAI-compatible client:
  client = OpenAI(base_url="http://{address}/v1", api_key="{key}")
  client.chat.completions.create(model="{model}", messages=[...], stream=True)

As the operator:
  .venv/bin/reachlink settings get --address {address} --key {fleet.layout.operator_key}

Interrupt (Ctrl-C) ends it.""",
        flush=True,
    )


async def serve(scenario: Scenario, once: bool) -> None:
    """Run a fleet until interrupted, or only through the demonstration."""
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    FOLDER.mkdir(exist_ok=True)
    run_folder = FOLDER / f"run-{len(list(FOLDER.glob('run-*'))) + 1}"
    print(f"starting fleet {scenario.name!r} in {run_folder}", flush=True)
    async with Fleet(scenario, run_folder) as fleet:
        for name in ("logs", "config"):
            link = FOLDER / name
            link.unlink(missing_ok=True)
            link.symlink_to(fleet.folder / name)
        data = msgspec.json.format(msgspec.json.encode(describe(fleet)), indent=2)
        (FOLDER / "fleet.json").write_bytes(data)
        workspaces = list(fleet.layout.workspace_keys)
        questions = ["Hvordan leser jeg av måleren?", "Katten min vil ikke spise. Hva gjør jeg?"]
        for i, text in enumerate(questions):
            entry = fleet.layout.entries[i % len(fleet.layout.entries)].name
            await show_stream(fleet, entry, workspaces[i % len(workspaces)], text)
        if scenario.plain_replicas:
            await show_call(fleet, fleet.layout.entries[0].name, workspaces[0])
            await show_zone_order(fleet, fleet.layout.entries[0].name, workspaces[0])
        show_help(fleet)
        if not once:
            await stopped.wait()
    print("stopped")


@app.default
def run(*, scenario: Path = DEFAULT, once: bool = False) -> None:
    """Run a local fleet.

    Parameters
    ----------
    scenario : pathlib.Path
        JSON file with the fleet's sizes and delays.
    once : bool
        End after the demonstration instead of running until interrupted.
    """
    try:
        loaded = msgspec.json.decode(scenario.read_bytes(), type=Scenario)
    except (OSError, msgspec.DecodeError) as error:
        sys.exit(f"error: {scenario}: {error}")
    with contextlib.suppress(KeyboardInterrupt, aiohttp.ClientError):
        uvloop.run(serve(loaded, once))


if __name__ == "__main__":
    app()
