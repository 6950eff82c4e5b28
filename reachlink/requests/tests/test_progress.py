"""How far each request in progress has come is known at any time."""

import asyncio

from reachlink.requests import CallerRequest, RequestStage
from reachlink.requests.tests.world import (
    FakeSink,
    World,
    answering,
    event,
    wait_until,
    world,
    world_with_script,
)
from reachlink.routing import RequestKind


async def _begin(setup: World, kind: RequestKind, sink: FakeSink) -> asyncio.Task[None]:
    task = asyncio.create_task(setup.runner.run(setup.request(kind), sink))
    await asyncio.sleep(0)
    return task


def _stage_while(setup: World, kind: RequestKind, stage: RequestStage, **expected) -> CallerRequest:
    """Return a request in progress once it is in a stage."""

    async def story() -> CallerRequest:
        task = await _begin(setup, kind, FakeSink())
        await wait_until(lambda: _is_in(setup, stage, expected))
        (request,) = setup.runner.in_progress
        task.cancel()
        await asyncio.wait({task})
        assert not setup.runner.in_progress
        return request

    return asyncio.run(story())


def _is_in(setup: World, stage: RequestStage, expected: dict) -> bool:
    (request,) = setup.runner.in_progress
    values = {name: getattr(request.progress, name) for name in expected}
    return request.progress.stage is stage and values == expected


async def _silent(*question):
    await asyncio.Event().wait()


def test_a_request_that_waits_for_the_choice_of_a_replica_is_waiting():
    setup = world(prefix="m")
    setup.parts.ask_coordinator = _silent
    request = _stage_while(setup, RequestKind.STREAM, RequestStage.WAITING)
    assert request.progress.replica == ""


def test_a_request_without_an_answer_is_sent_and_its_replica_is_named():
    setup = world_with_script("a", script=_silent)
    request = _stage_while(setup, RequestKind.ONCE, RequestStage.SENT)
    assert request.progress.replica == "p1"


def test_the_last_event_of_a_stream_and_its_time_are_known():
    setup = world_with_script("a", "m", script=answering(200, event(1), event(2), 3.0))
    request = _stage_while(setup, RequestKind.STREAM, RequestStage.ANSWERING, last_event=2)
    assert request.progress.changed_at > request.arrived_at


def test_an_answer_that_its_caller_does_not_take_is_answered():
    class StuckSink(FakeSink):
        async def write_whole(self, head, body):
            await asyncio.Event().wait()

    setup = world()

    async def story() -> None:
        task = await _begin(setup, RequestKind.ONCE, StuckSink())
        await wait_until(lambda: _is_in(setup, RequestStage.ANSWERED, {}))
        task.cancel()
        await asyncio.wait({task})

    asyncio.run(story())
