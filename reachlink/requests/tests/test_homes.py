"""Requests restricted to regions run only there; otherwise callers are told the reason."""

import asyncio
from collections.abc import Set

import pytest

from reachlink.delivery import Outcome
from reachlink.requests import RequestFailedError
from reachlink.requests.tests.world import (
    FakeSink,
    World,
    answering,
    stream,
    wait_until,
    world_with_script,
)
from reachlink.routing import RequestKind, Route, Workspace, allowed_regions
from reachlink.upstreams import MovedMemory, MoveResult


def route(*regions: str) -> Route:
    return Route("r", "h", "/r/", RequestKind.ONCE, (), 1.0, 1.0, regions=regions)


def test_regions_of_route_and_workspace_are_intersected():
    assert allowed_regions(route(), Workspace("w", ())) is None
    assert allowed_regions(route(), None) is None
    assert allowed_regions(route("north", "south"), Workspace("w", ())) == {"north", "south"}
    north = Workspace("w", (), regions=("north",))
    assert allowed_regions(route("north", "south"), north) == {"north"}
    assert allowed_regions(route("south"), north) == frozenset()


async def run(setup: World, zones: Set[str]) -> FakeSink:
    request = setup.request(RequestKind.STREAM)
    request.zones = frozenset(zones)
    sink = FakeSink()
    await setup.runner.run(request, sink)
    return sink


def test_requests_stay_in_their_zones_under_load():
    setup = world_with_script("a a b", "m", script=answering(200, stream(1, 2)))

    async def scenario():
        return [await run(setup, {"b"}) for _ in range(10)]

    asyncio.run(scenario())
    assert {sent.replica for sent in setup.adapter.sent} == {"m3"}


def test_copies_stay_in_the_allowed_zones():
    setup = world_with_script(
        "a b b c c", "m", script=answering(200, stream(1, 3), 0.6, stream(4, 5))
    )
    setup.adapter.move_result = MoveResult(MovedMemory("m1:1", "h1"), True)

    async def scenario():
        running = asyncio.create_task(run(setup, {"b"}))
        await wait_until(lambda: setup.adapter.moves)
        await running

    asyncio.run(scenario())
    assert {t for _, t, _ in setup.adapter.moves} <= {"m2", "m3"}


@pytest.mark.parametrize("zones", [{"elsewhere"}, set()])
def test_a_request_without_a_reachable_allowed_zone_is_refused_at_once(zones):
    setup = world_with_script("a b", "m", script=answering(200, stream(1, 2)))
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(run(setup, zones))
    error = caught.value
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert "home_regions_out_of_reach" in str(error)
    assert error.retry_after_s == 1.2 and not setup.adapter.sent
