"""A limit on what all instances send together, on the way of the product's own interface.

The story and the evidence stand with the test of the same name of the relayed requests. Here
reports that the instances read count as requests, too: a replica cannot tell them apart from
others by what they cost it.
"""

import asyncio
import time

import pytest

from reachlink.entry.tests.asking import ask, names
from reachlink.testing import Fleet

KINDS = ("service", "engine")
# Requests a second that the replicas name.
LIMIT_PER_S = 4.0
# In some four seconds no more than one and a half times that, and five more, may come.
WINDOW_S = 4.0
MOST = 1.5 * LIMIT_PER_S * WINDOW_S + 5.0
# The promise holds from so long after the first naming, in seconds.
HOLDS_AFTER_S = 3.0
PRESS_S = 9.0
# Calls a second of all callers together.
CALLS_PER_S = 40.0


def entries(fleet: Fleet) -> list[str]:
    return [plan.name for plan in fleet.layout.entries]


async def press(fleet: Fleet, module: str) -> list[tuple[int, bool]]:
    """Have callers ask, evenly spaced, at one instance after the other."""
    tasks = []
    begun = time.monotonic()
    for number in range(int(PRESS_S * CALLS_PER_S)):
        await asyncio.sleep(max(0.0, begun + number / CALLS_PER_S - time.monotonic()))
        entry = entries(fleet)[number % len(entries(fleet))]
        tasks.append(asyncio.create_task(ask(fleet, entry, module)))
    return list(await asyncio.gather(*tasks))


async def arrivals(fleet: Fleet, name: str, since: float) -> list[float]:
    """Return when requests of whatever kind reached a replica."""
    found = (await fleet.get(name, "/healthz"))["arrivals"]
    return sorted(at for at, _ in found if at >= since)


def most_in_window(times: list[float]) -> int:
    return max((sum(first <= at < first + WINDOW_S for at in times) for first in times), default=0)


@pytest.mark.parametrize("module", KINDS)
def test_all_together_send_no_more_than_a_replica_takes(run, fleet, module):
    async def story():
        limited = names(fleet, module)[0]
        since = time.monotonic() + HOLDS_AFTER_S
        await fleet.post(limited, "/faults", {"limit_per_s": LIMIT_PER_S})
        told = await press(fleet, module)
        return await arrivals(fleet, limited, since), told

    reached, told = run(story())
    assert most_in_window(reached) <= MOST
    assert {status for status, _ in told} == {200}


def test_where_all_name_a_limit_callers_are_served_up_to_it_and_told_when_to_come_back(run, fleet):
    async def story():
        since = time.monotonic() + HOLDS_AFTER_S
        for name in names(fleet, "service"):
            await fleet.post(name, "/faults", {"limit_per_s": LIMIT_PER_S})
        told = await press(fleet, "service")
        reached = [await arrivals(fleet, name, since) for name in names(fleet, "service")]
        return reached, told

    reached, told = run(story())
    for times in reached:
        assert most_in_window(times) <= MOST
        assert len(times) >= 0.8 * LIMIT_PER_S * (PRESS_S - HOLDS_AFTER_S)
    assert {status for status, _ in told} <= {200, 503}
    assert all(names_a_time for status, names_a_time in told if status == 503)
