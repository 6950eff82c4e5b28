"""A generation that resumes at another replica has stopped at the one before."""

import asyncio

import pytest

from reachlink.requests.tests.preempting import (
    Engines,
    Run,
    State,
    engines_world,
    longest_overlap_s,
    run_stream,
)
from reachlink.requests.tests.world import World, stream
from reachlink.testing import run_virtually

# Number of events of the generations.
EVENTS = 100


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr(
        "reachlink.requests.tests.world.steady_time", lambda: asyncio.get_running_loop().time()
    )


def play(setup: World, engines: Engines):
    """Run one stream; return what its caller got and how long two replicas worked on it."""

    async def scenario():
        sink = await run_stream(setup)
        await asyncio.sleep(1.0)
        return sink, longest_overlap_s(engines.runs, asyncio.get_running_loop().time())

    return run_virtually(scenario())


@pytest.mark.parametrize("drops", [True, False])
@pytest.mark.parametrize("waits_s", [1.45, 1.6, 1.65, 1.8, 1.85, 2.5, 3.4])
def test_a_preempted_generation_does_not_run_at_its_copy_beside_its_replica(drops, waits_s):
    world = engines_world(events=EVENTS, preemptions=[(40, waits_s)], drops=drops)
    sink, overlap_s = play(*world)
    assert sink.body == stream(1, EVENTS) and sink.ended
    assert overlap_s == 0.0


@pytest.mark.parametrize("drops", [True, False])
def test_a_generation_whose_connection_was_reset_stops_before_it_resumes(drops):
    def reset(run: Run) -> None:
        if run.made == 50:
            run.reset = True
            run.wake()

    world = engines_world(events=EVENTS, on_event=reset, drops=drops)
    sink, overlap_s = play(*world)
    assert sink.body == stream(1, EVENTS) and sink.ended
    assert overlap_s == 0.0


def test_a_generation_on_a_connection_that_went_silent_stops_before_it_resumes():
    def mute(run: Run) -> None:
        run.mute = run.mute or run.made == 50

    world = engines_world(events=EVENTS, on_event=mute, drops=False)
    sink, overlap_s = play(*world)
    assert sink.body == stream(1, EVENTS) and sink.ended
    assert overlap_s == 0.0


def test_a_replica_that_was_out_of_reach_is_ordered_to_stop_until_it_answers():
    async def scenario(setup: World, engines: Engines):
        running = asyncio.create_task(run_stream(setup))
        while not (engines.runs and engines.runs[0].made >= 50):
            await asyncio.sleep(0.01)
        first = engines.runs[0]
        engines.unreachable.add(first.replica)
        first.mute = True
        while len(engines.runs) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        engines.unreachable.clear()
        await asyncio.sleep(1.5)
        return first, await running

    world = engines_world(events=200, drops=False)
    first, sink = run_virtually(scenario(*world))
    assert first.state is State.STOPPED
    assert sink.body == stream(1, 200) and sink.ended


def test_a_replica_at_which_resuming_broke_off_is_ordered_to_stop():
    setup, engines = engines_world(events=200, drops=False, broken_continuations=1)

    def fall_silent(run: Run) -> None:
        if run.made == 50:
            run.mute = True
            engines.unreachable.add(run.replica)
        if run.made == 110:
            run.mute = False
            engines.unreachable.clear()

    engines.on_event = fall_silent

    async def scenario():
        sink = await run_stream(setup)
        await asyncio.sleep(1.0)
        return sink

    sink = run_virtually(scenario())
    first, second = engines.runs
    assert sink.body == stream(1, 200) and sink.ended
    assert (first.state, second.state) == (State.COMPLETE, State.STOPPED)


def test_a_generation_resumes_at_its_copy_if_its_replica_has_ended_it():
    """A replica that waits for nothing and does not run the generation holds it no more."""

    def end_silently(run: Run) -> None:
        if run.made == 50:
            run.mute = True
            run.enter(State.DROPPED)

    setup, engines = engines_world(events=EVENTS, on_event=end_silently)

    async def scenario():
        sink = await run_stream(setup)
        first, second = engines.runs
        return sink, second.states[0][0] - first.states[-1][0]

    sink, pause_s = run_virtually(scenario())
    assert sink.body == stream(1, EVENTS) and sink.ended
    # Callers leave after 2 s of silence.
    assert pause_s < 2.0
