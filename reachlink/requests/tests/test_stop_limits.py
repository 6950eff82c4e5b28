"""A planned stop of this instance ends requests with an answer before it would cut them off."""

import asyncio

import pytest

from reachlink.delivery import Outcome
from reachlink.kernel import steady_time
from reachlink.requests import STOPPING, RequestFailedError, RequestStage
from reachlink.requests.tests.world import (
    FakeSink,
    World,
    answering,
    event,
    failing,
    wait_until,
    world,
    world_with_script,
)
from reachlink.routing import RequestKind
from reachlink.upstreams import UpstreamBrokenError


async def _silent(*question):
    await asyncio.Event().wait()


def _queued() -> World:
    """Return a world where streams wait for the choice of a replica."""
    setup = world(prefix="m")
    setup.parts.ask_coordinator = _silent
    return setup


async def _start(setup: World, kind: RequestKind, stage: RequestStage):
    sink = FakeSink()
    running = asyncio.create_task(setup.runner.run(setup.request(kind), sink))
    await wait_until(lambda: [one.progress.stage for one in setup.runner.in_progress] == [stage])
    return running, sink


async def _failure(running: asyncio.Task) -> RequestFailedError:
    await asyncio.wait({running}, timeout=2.0)
    assert running.done(), "the request goes on"
    error = running.exception()
    assert isinstance(error, RequestFailedError)
    return error


def test_a_stream_that_waits_for_a_replica_is_refused_at_once_if_it_cannot_end_in_time():
    setup = _queued()

    async def story() -> RequestFailedError:
        running, _ = await _start(setup, RequestKind.STREAM, RequestStage.WAITING)
        setup.runner.begin_stop(steady_time() + 1.0)
        return await _failure(running)

    error = asyncio.run(story())
    assert (error.status, error.reason, error.outcome) == (503, STOPPING, Outcome.NOT_RUN)
    assert error.retry_after_s is not None and not setup.adapter.sent


def test_a_stream_that_waits_for_a_replica_waits_on_if_its_deadline_comes_first():
    setup = _queued()

    async def story() -> None:
        running, _ = await _start(setup, RequestKind.STREAM, RequestStage.WAITING)
        setup.runner.begin_stop(steady_time() + 60.0)
        await asyncio.sleep(0.1)
        assert not running.done()
        running.cancel()
        await asyncio.wait({running})

    asyncio.run(story())


def test_a_request_that_comes_to_wait_during_a_planned_stop_is_refused_at_once():
    setup = _queued()

    async def story() -> RequestFailedError:
        setup.runner.begin_stop(steady_time() + 1.0)
        return await _failure(
            asyncio.create_task(setup.runner.run(setup.request(RequestKind.STREAM), FakeSink()))
        )

    error = asyncio.run(story())
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)


def test_a_repeatable_request_is_tried_again_elsewhere_during_a_planned_stop():
    setup = world()
    scripts = [failing(UpstreamBrokenError("reset")), answering(200, b"whole")]
    setup.adapter.scripts = {name: scripts for name in setup.zones}
    send = setup.adapter.open

    async def stop_and_send(*words, **options):
        setup.runner.begin_stop(steady_time() + 1.0)
        return await send(*words, **options)

    setup.adapter.open = stop_and_send
    assert asyncio.run(setup.run(RequestKind.REPEATABLE)).ended
    assert len(setup.adapter.sent) == 2


@pytest.mark.parametrize("kind", list(RequestKind))
def test_what_has_no_answer_when_answers_are_due_gets_one_that_does_not_deny_the_run(kind):
    prefix = "m" if kind is RequestKind.STREAM else "p"
    setup = world_with_script("a", prefix, script=_silent)

    async def story() -> RequestFailedError:
        running, _ = await _start(setup, kind, RequestStage.SENT)
        setup.runner.end_unanswered()
        return await _failure(running)

    error = asyncio.run(story())
    assert (error.status, error.reason, error.outcome) == (504, STOPPING, Outcome.UNKNOWN)


def test_a_stream_that_has_begun_goes_on_when_answers_are_due():
    setup = world_with_script("a", "m", script=answering(200, event(1), 0.2, event(2)))

    async def story() -> FakeSink:
        running, sink = await _start(setup, RequestKind.STREAM, RequestStage.ANSWERING)
        await wait_until(lambda: sink.body)
        setup.runner.begin_stop(steady_time() + 0.01)
        setup.runner.end_unanswered()
        await running
        return sink

    sink = asyncio.run(story())
    assert sink.ended and sink.body == event(1) + event(2)


def test_a_suspension_does_not_keep_a_request_going_whose_answer_is_due():
    setup = world_with_script("a", "p", script=_silent)

    async def story() -> float:
        running, _ = await _start(setup, RequestKind.ONCE, RequestStage.SENT)
        setup.runner.end_unanswered()
        setup.runner.on_resumed()
        due_at = steady_time()
        assert (await _failure(running)).reason == STOPPING
        return steady_time() - due_at

    assert asyncio.run(story()) < 0.5
