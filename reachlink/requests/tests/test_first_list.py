"""Callers who come before an instance has its first list of replicas."""

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
    """Return an instance that has no list yet."""
    made = world("a a")
    made.directory = ReplicaDirectory()
    made.parts.directory = made.directory
    made.parts.clock = loop_time
    return made


async def answered(made: World, kind: RequestKind, **changes: object) -> tuple[str, float]:
    """Return how a request ended, and after how long in seconds."""
    request = made.request(kind)
    for name, value in changes.items():
        setattr(request, name, value)
    began = loop_time()
    try:
        await made.runner.run(request, FakeSink())
    except RequestFailedError as error:
        return error.reason, loop_time() - began
    return "delivered", loop_time() - began


async def list_after(made: World, wait_s: float) -> None:
    await asyncio.sleep(wait_s)
    made.list_replicas()


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.REPEATABLE])
@pytest.mark.parametrize("zones", [None, frozenset({"a"})])
def test_who_comes_before_the_first_list_is_served_once_it_is_there(kind, zones):
    made = starting()

    async def play():
        # Later than a wait for room lasts, 0.22 of an objective of 0.2 s.
        _, ended = await asyncio.gather(list_after(made, 0.2), answered(made, kind, zones=zones))
        return ended

    ending, after_s = run_virtually(play())
    assert ending == "delivered" and 0.2 <= after_s < 0.25


def test_what_others_have_told_of_is_no_whole_list():
    made = starting()

    async def play():
        made.directory.hear([ListedInstance("m1", "model", "a", "m1:1")], loop_time())
        _, ended = await asyncio.gather(
            list_after(made, 0.2), answered(made, RequestKind.REPEATABLE)
        )
        return ended

    assert run_virtually(play())[0] == "delivered"


@pytest.mark.parametrize("timeout_s,waits_s", [(3.5, 1.0), (1.0, 0.33), (0.6, 0.2)])
def test_it_is_waited_for_only_for_a_part_of_what_the_caller_has(timeout_s, waits_s):
    made = starting()
    route = replace(ROUTES[RequestKind.REPEATABLE], timeout_s=timeout_s)
    ending, after_s = run_virtually(answered(made, RequestKind.REPEATABLE, route=route))
    assert ending == "no_replica" and after_s == pytest.approx(waits_s, abs=0.05)


def test_where_the_list_is_there_and_has_no_replica_nobody_waits_longer():
    made = starting()
    made.directory.update([], 0.0)
    ending, after_s = run_virtually(answered(made, RequestKind.REPEATABLE))
    assert ending == "no_replica" and after_s < 0.1
