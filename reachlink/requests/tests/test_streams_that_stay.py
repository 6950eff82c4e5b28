"""A stream is not cut while its silent replica is the only one that holds the generation."""

import asyncio

import pytest

from reachlink.requests.tests.preempting import EVENT_S, Engines, Run, engines_world, run_stream
from reachlink.requests.tests.world import BACKUP_ENGINE, World, stream
from reachlink.testing import run_virtually


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr(
        "reachlink.requests.tests.world.steady_time", lambda: asyncio.get_running_loop().time()
    )


def whole(world: tuple[World, Engines]) -> None:
    """Run one stream and check that its caller gets all of it."""
    setup, engines = world
    sink = run_virtually(run_stream(setup))
    assert sink.body == stream(1, engines.events) and sink.ended


@pytest.mark.parametrize("drops", [True, False])
@pytest.mark.parametrize("second_s", [1.5, 1.7, 3.0])
def test_a_stream_is_whole_that_is_preempted_again_long_after_its_copy_was_refused(second_s, drops):
    whole(engines_world(events=400, preemptions=[(40, 1.1), (320, second_s)], drops=drops))


@pytest.mark.parametrize("drops", [True, False])
def test_a_stream_is_whole_whose_copy_lapses_while_it_waits_for_memory(drops):
    whole(engines_world(events=100, preemptions=[(40, 6.5)], drops=drops))


def test_a_copy_is_refreshed_again_after_a_preemption():
    setup, engines = engines_world(events=200, preemptions=[(40, 1.1)])
    run_virtually(run_stream(setup))
    (copied_to,) = {target for _, target, _ in engines.moves}
    # One transfer a second while the generation runs, and some refused ones.
    assert len(engines.moves) >= 200 * EVENT_S
    assert copied_to != engines.runs[0].replica


@pytest.mark.parametrize("drops", [True, False])
def test_a_stream_is_read_on_if_its_copy_is_gone_and_its_replica_does_not_answer_orders(drops):
    setup, engines = engines_world(events=200, drops=drops)

    def fall_silent(run: Run) -> None:
        if run.made == 50:
            run.mute = True
            engines.copies.clear()
            engines.unreachable.add(run.replica)
        if run.made == 90:
            run.mute = False
            engines.unreachable.clear()

    engines.on_event = fall_silent
    whole((setup, engines))
    assert engines.refused and len(engines.runs) == 1


def test_a_stream_is_whole_whose_backup_lapses_while_it_waits_for_memory():
    setup, engines = engines_world(events=100, preemptions=[(40, 6.5)])
    setup.engine = BACKUP_ENGINE
    whole((setup, engines))
