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


def world_without_list() -> World:
    """Return an instance that has not received a list of replicas."""
    setup = world("a a")
    setup.directory = ReplicaDirectory()
    setup.parts.directory = setup.directory
    setup.parts.clock = loop_time
    return setup


async def run_request(setup: World, kind: RequestKind, **changes: object) -> tuple[str, float]:
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


async def list_replicas_after(setup: World, wait_s: float) -> None:
    await asyncio.sleep(wait_s)
    setup.list_replicas()


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.REPEATABLE])
@pytest.mark.parametrize("zones", [None, frozenset({"a"})])
def test_a_request_before_the_first_list_is_served_when_the_list_arrives(kind, zones):
    setup = world_without_list()

    async def scenario():
        # Longer than the wait for room, which is 0.22 of an objective of 0.2 s.
        _, result = await asyncio.gather(
            list_replicas_after(setup, 0.2), run_request(setup, kind, zones=zones)
        )
        return result

    outcome, after_s = run_virtually(scenario())
    assert outcome == "delivered" and 0.2 <= after_s < 0.25


def test_replicas_named_by_another_instance_are_no_complete_list():
    setup = world_without_list()

    async def scenario():
        setup.directory.apply_peer_list([ListedInstance("m1", "model", "a", "m1:1")], loop_time())
        _, result = await asyncio.gather(
            list_replicas_after(setup, 0.2), run_request(setup, RequestKind.REPEATABLE)
        )
        return result

    assert run_virtually(scenario())[0] == "delivered"


@pytest.mark.parametrize("timeout_s,waits_s", [(3.5, 1.0), (1.0, 0.33), (0.6, 0.2)])
def test_the_wait_for_the_first_list_is_bounded_by_a_fraction_of_the_timeout(timeout_s, waits_s):
    setup = world_without_list()
    route = replace(ROUTES[RequestKind.REPEATABLE], timeout_s=timeout_s)
    outcome, after_s = run_virtually(run_request(setup, RequestKind.REPEATABLE, route=route))
    assert outcome == "no_replica" and after_s == pytest.approx(waits_s, abs=0.05)


def test_an_empty_list_ends_the_wait_for_the_first_list():
    setup = world_without_list()
    setup.directory.update([], 0.0)
    outcome, after_s = run_virtually(run_request(setup, RequestKind.REPEATABLE))
    assert outcome == "no_replica" and after_s < 0.1
