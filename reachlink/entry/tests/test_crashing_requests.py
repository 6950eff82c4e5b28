"""The same prompt ends each engine that begins it, on the way of the product's own interface.

The story and the evidence stand with the test of the same name of the relayed requests:
every try counted as a request of its own, and no instance knew what had come of the
others. Here a repeatable request goes to other engines by itself besides, so that one
try of a caller ends several.
"""

import contextlib

import aiohttp

from reachlink.testing import Fleet

DEADLY = "this prompt ends the engine"
# Tries of the deadly prompt, by turns at the entry instances.
TRIES = 6
# Engines that may end: three, and three more before all instances know of these.
MOST_ENDED = 6
WAIT_S = 60.0


def body(prompt: str) -> dict:
    return {"model": "explain", "messages": [{"role": "user", "content": prompt}], "max_tokens": 4}


async def ask(fleet: Fleet, entry: str, prompt: str) -> tuple[int, str]:
    return await ask_body(fleet, entry, body(prompt))


async def ask_body(fleet: Fleet, entry: str, document: dict) -> tuple[int, str]:
    """Return the status and error code of an answer; 0 where there was none."""
    url = f"http://{fleet.plan(entry).address}/v1/chat/completions"
    headers = fleet.workspace_headers("borettslag-nord")
    try:
        async with fleet.session.post(url, json=document, headers=headers) as response:
            answer = await response.json()
            return response.status, answer.get("error", {}).get("code", "")
    except aiohttp.ClientError:
        return 0, ""


def engines_of(fleet: Fleet) -> list[str]:
    return [plan.name for plan in fleet.layout.upstreams if plan.module == "engine"]


async def start_again(fleet: Fleet) -> int:
    """Start the engines that have ended, deadly prompt as before; return how many had."""
    engines = engines_of(fleet)
    ended = [name for name in engines if not fleet.alive(name)]
    if ended:
        await fleet.restore()
    for name in engines:
        await fleet.post(name, "/faults", {"exit_on": DEADLY})
    return len(ended)


async def settled(fleet: Fleet) -> bool:
    """Return whether each engine answers, or its process is known to have ended."""
    for name in engines_of(fleet):
        with contextlib.suppress(aiohttp.ClientError):
            await fleet.get(name, "/healthz")
            continue
        if fleet.alive(name):
            return False
    return True


async def press(fleet: Fleet) -> tuple[int, list[tuple[int, str]]]:
    """Ask with the deadly prompt again and again; return engines ended, and answers."""
    entries = [plan.name for plan in fleet.layout.entries]
    answers: list[tuple[int, str]] = []
    ended = await start_again(fleet)
    assert ended == 0
    for number in range(TRIES):
        entry = entries[number % len(entries)]

        async def serves(entry: str = entry) -> bool:
            return (await ask(fleet, entry, "a harmless prompt"))[0] == 200

        await fleet.wait_for(serves, WAIT_S, f"{entry} serves")
        answers.append(await ask(fleet, entry, DEADLY))
        await fleet.wait_for(lambda: settled(fleet), WAIT_S, "each engine is up or has ended")
        ended += await start_again(fleet)
    return ended, answers


def test_a_prompt_that_ends_engines_is_held(run, fleet):
    ended, answers = run(press(fleet))
    assert ended <= MOST_ENDED
    assert answers[-1] == (502, "held_after_crashes")
    run(let_go(fleet))


async def let_go(fleet: Fleet) -> None:
    """An operator sees what is held, and why, and lets it go at all instances."""
    entry, other = (plan.name for plan in fleet.layout.entries[:2])
    headers = fleet.operator_headers()
    (held,) = (await fleet.get(entry, "/v1/quarantine", headers=headers))["held"]
    assert held["crashes"] >= 3 and len(held["replicas"]) == held["crashes"]
    for name in engines_of(fleet):
        await fleet.post(name, "/faults", {})
    url = f"http://{fleet.plan(entry).address}/v1/quarantine/{held['fingerprint']}/release"
    async with fleet.session.post(url, json={}, headers=headers) as response:
        assert (await response.json())["was_held"]

    async def served() -> bool:
        return (await ask(fleet, other, DEADLY))[0] == 200

    await fleet.wait_for(served, WAIT_S, "the prompt is sent again")
    assert (await fleet.get(entry, "/v1/quarantine", headers=headers))["held"] == []
    records = (await fleet.get(entry, "/v1/audit?limit=1000", headers=headers))["records"]
    assert held["fingerprint"] in str(records)
