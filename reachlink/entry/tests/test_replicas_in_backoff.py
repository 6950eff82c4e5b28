"""A replica that asked an entry instance for backoff, on the way of the product's own interface.

The story and the evidence stand with the test of the same name of the relayed requests. Here
the time that a replica asked for was dropped with the refusal that told it, too; besides,
callers got 502 for what had surely not run, though other replicas were free.
"""

import pytest

from reachlink.entry.tests.asking import ask, names
from reachlink.testing import Fleet

ENTRY = "entry-1"
# Longer than the test takes: who keeps to it sends nothing more.
BACKOFF_S = 60.0
# Tries until each replica has got one by chance, and after that.
MANY = 200
MORE = 40
KINDS = ("service", "engine")


async def turned_away(fleet: Fleet, module: str) -> list[int]:
    """Return how many requests each replica of a kind has turned away so far."""
    return [(await fleet.get(name, "/healthz"))["refused"] for name in names(fleet, module)]


async def let_backoff(fleet: Fleet, module: str, replicas: list[str]) -> list[int]:
    """Have replicas ask for a backoff, and an entry instance hear it; return the counts then."""
    before = await turned_away(fleet, module)
    for name in replicas:
        await fleet.post(name, "/faults", {"wait_s": BACKOFF_S})
    asked = [names(fleet, module).index(name) for name in replicas]
    for _ in range(MANY):
        await ask(fleet, ENTRY, module)
        now = await turned_away(fleet, module)
        if all(now[n] > before[n] for n in asked):
            return now
    raise AssertionError(f"not each of {replicas} was asked")


@pytest.fixture
def forgetful(run, fleet):
    """The fleet, whose entry instance starts anew afterwards: it would keep to the backoff."""
    yield fleet
    run(fleet.kill(ENTRY))


@pytest.mark.parametrize("module", KINDS)
def test_a_replica_that_asked_for_backoff_gets_nothing_meanwhile(run, forgetful, module):
    fleet = forgetful

    async def story():
        backed_off = names(fleet, module)[:1]
        before = await let_backoff(fleet, module, backed_off)
        answers = [await ask(fleet, ENTRY, module) for _ in range(MORE)]
        return before, await turned_away(fleet, module), answers

    before, after, answers = run(story())
    assert after == before
    assert {status for status, _ in answers} == {200}
