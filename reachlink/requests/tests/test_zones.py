"""Zones out of service get no new work, and running requests there are not interrupted."""

import asyncio

import pytest

from reachlink.delivery import Outcome
from reachlink.kernel import steady_time
from reachlink.requests import RequestFailedError
from reachlink.requests.tests.world import (
    BACKUP_ENGINE,
    BROKEN,
    answering,
    stream,
    wait_until,
    world_with_script,
)
from reachlink.routing import RequestKind
from reachlink.upstreams import MovedMemory, MoveResult

MOVED = MoveResult(MovedMemory("m1:1", "h1"), True)


def test_requests_go_to_zones_in_service_only():
    made = world_with_script("a a b", script=answering(200, b"whole"))
    made.directory.set_zones_out_of_service({"a"}, 0.0)
    for _ in range(10):
        asyncio.run(made.run(RequestKind.REPEATABLE))
    assert {sent.replica for sent in made.adapter.sent} == {"p3"}


def test_request_fails_at_once_if_all_zones_are_out_of_service():
    made = world_with_script("a b", "m", script=answering(200, stream(1, 3)))
    made.directory.set_zones_out_of_service({"a", "b"}, 0.0)

    async def scenario():
        started = steady_time()
        with pytest.raises(RequestFailedError) as caught:
            await made.run(RequestKind.STREAM)
        return caught.value, steady_time() - started

    error, took_s = asyncio.run(scenario())
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert error.retry_after_s == 2.0 and not made.adapter.sent
    # The request would wait 0.22 s for room.
    assert took_s < 0.1


def test_running_generation_in_zone_taken_out_of_service_ends_there_without_copy():
    made = world_with_script("a b b", "m", script=answering(200, stream(1, 3), 0.4, stream(4, 5)))
    made.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM, output_tokens=150))
        await wait_until(lambda: made.adapter.sent)
        made.directory.set_zones_out_of_service({made.zones[made.adapter.sent[0].replica]}, 0.0)
        return await running

    sink = asyncio.run(scenario())
    assert sink.body == stream(1, 5) and sink.ended
    assert len(made.adapter.sent) == 1 and not made.adapter.moves


def test_copy_in_zone_taken_out_of_service_is_replaced_by_copy_in_other_zone():
    made = world_with_script("a b c", "m", script=answering(200, stream(1, 3), 1.5, stream(4, 5)))
    made.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        await wait_until(lambda: made.adapter.moves)
        _, target, _ = made.adapter.moves[0]
        made.directory.set_zones_out_of_service({made.zones[target]}, 0.0)
        await wait_until(lambda: {t for _, t, _ in made.adapter.moves} - {target})
        running.cancel()
        return target

    target = asyncio.run(scenario())
    later = [t for _, t, _ in made.adapter.moves]
    assert target not in later[later.index(next(t for t in later if t != target)) :]


def test_generation_does_not_resume_in_zone_taken_out_of_service():
    """Its copy is there, but resuming would send a request to the zone."""
    made = world_with_script("a b", "m", script=answering(200, stream(1, 3), 0.3, BROKEN))
    made.engine = BACKUP_ENGINE

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        await wait_until(lambda: made.adapter.sent)
        made.directory.set_zones_out_of_service({made.zones[made.adapter.sent[0].backup]}, 0.0)
        await asyncio.gather(running, return_exceptions=True)

    asyncio.run(scenario())
    assert len(made.adapter.sent) == 1
