"""Requests that arrive before an instance has received its first list of replicas."""

import asyncio
from dataclasses import replace

import pytest

from reachlink.membership import ListedInstance, ReplicaDirectory
from reachlink.requests import RequestFailedError
from reachlink.requests.tests.world import ROUTES, FakeSink, World, world
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually


def loop_time() -> float:
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr("reachlink.requests.tests.world.steady_time", loop_time)


def starting() -> World:
    """Return an instance that has not received a list of replicas."""
    setup = world("a a")
    setup.directory = ReplicaDirectory()
    setup.parts.directory = setup.directory
    setup.parts.clock = loop_time
    return setup


async def answered(setup: World, kind: RequestKind, **changes: object) -> tuple[str, float]:
    """Return the outcome of a request, and the time until then in seconds."""
    request = setup.request(kind)
    for name, value in changes.items():
        setattr(request, name, value)
    began = loop_time()
    try:
        await setup.runner.run(request, FakeSink())
    except RequestFailedError as error:
        return error.reason, loop_time() - began
    return "delivered", loop_time() - began


async def list_after(setup: World, wait_s: float) -> None:
    await asyncio.sleep(wait_s)
    setup.list_replicas()


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.REPEATABLE])
@pytest.mark.parametrize("zones", [None, frozenset({"a"})])
def test_a_request_before_the_first_list_is_served_when_the_list_arrives(kind, zones):
    setup = starting()

    async def play():
        # Longer than the wait for room, which is 0.22 of an objective of 0.2 s.
        _, ended = await asyncio.gather(list_after(setup, 0.2), answered(setup, kind, zones=zones))
        return ended

    ending, after_s = run_virtually(play())
    assert ending == "delivered" and 0.2 <= after_s < 0.25


def test_replicas_named_by_another_instance_are_no_complete_list():
    setup = starting()

    async def play():
        setup.directory.hear([ListedInstance("m1", "model", "a", "m1:1")], loop_time())
        _, ended = await asyncio.gather(
            list_after(setup, 0.2), answered(setup, RequestKind.REPEATABLE)
        )
        return ended

    assert run_virtually(play())[0] == "delivered"


@pytest.mark.parametrize("timeout_s,waits_s", [(3.5, 1.0), (1.0, 0.33), (0.6, 0.2)])
def test_the_wait_for_the_first_list_is_bounded_by_a_fraction_of_the_timeout(timeout_s, waits_s):
    setup = starting()
    route = replace(ROUTES[RequestKind.REPEATABLE], timeout_s=timeout_s)
    ending, after_s = run_virtually(answered(setup, RequestKind.REPEATABLE, route=route))
    assert ending == "no_replica" and after_s == pytest.approx(waits_s, abs=0.05)


def test_an_empty_list_ends_the_wait_for_the_first_list():
    setup = starting()
    setup.directory.update([], 0.0)
    ending, after_s = run_virtually(answered(setup, RequestKind.REPEATABLE))
    assert ending == "no_replica" and after_s < 0.1
