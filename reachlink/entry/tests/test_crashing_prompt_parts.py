"""Prompts that share one message, or their beginning, which crashes the engine that begins it."""

import pytest

from reachlink.entry.tests.test_crashing_requests import (
    DEADLY,
    MOST_ENDED,
    WAIT_S,
    ask_body,
    settled,
    start_again,
)
from reachlink.testing import Fleet

# Prompts with the part that crashes engines, by turns at the entry instances.
TRIES = 8
SOUND = "Explain the reading of this meter step by step, in plain words, and name the unit. " * 4


def chat(*texts: str) -> dict:
    messages = [{"role": "user", "content": text} for text in texts]
    return {"model": "explain", "messages": messages, "max_tokens": 4}


def deadly_message(number: int) -> dict:
    return chat(SOUND, f"{DEADLY} as a message", f"question {number}")


def deadly_beginning(number: int) -> dict:
    return chat(f"{DEADLY} at the beginning {SOUND} question {number}")


async def press(fleet: Fleet, make_body) -> tuple[int, int]:
    """Return the engines that ended, and the sound prompts not served at the end."""
    entries = [plan.name for plan in fleet.layout.entries]
    ended = await start_again(fleet)
    assert ended == 0
    for number in range(TRIES):
        entry = entries[number % len(entries)]

        async def serves(entry: str = entry, number: int = number) -> bool:
            return (await ask_body(fleet, entry, chat(SOUND, f"sound {number}")))[0] == 200

        await fleet.wait_for(serves, WAIT_S, f"{entry} serves")
        await ask_body(fleet, entry, make_body(number))
        await fleet.wait_for(lambda: settled(fleet), WAIT_S, "each engine is up or has ended")
        ended += await start_again(fleet)
    answers = [(await ask_body(fleet, entry, chat(SOUND, "sound")))[0] for entry in entries]
    await release_all(fleet)
    return ended, sum(status != 200 for status in answers)


async def release_all(fleet: Fleet) -> None:
    entry = fleet.layout.entries[0].name
    headers = fleet.operator_headers()
    for held in (await fleet.get(entry, "/v1/quarantine", headers=headers))["held"]:
        path = f"/v1/quarantine/{held['fingerprint']}/release"
        url = f"http://{fleet.plan(entry).address}{path}"
        async with fleet.session.post(url, json={}, headers=headers) as response:
            assert (await response.json())["was_held"]


@pytest.mark.parametrize("make_body", [deadly_message, deadly_beginning])
def test_engines_do_not_go_on_crashing_under_new_prompts_with_one_part(run, fleet, make_body):
    ended, not_served = run(press(fleet, make_body))
    assert 3 <= ended <= MOST_ENDED
    assert not_served == 0
