"""A stream without a copy goes on where its replica still runs it and only the path was lost."""

import asyncio

import pytest

from reachlink.requests import StreamCutError
from reachlink.requests._primary_stop import MAX_STOPS
from reachlink.requests.tests.test_moving import MEMORY, virtual_time_world
from reachlink.requests.tests.world import BROKEN, answering, stream
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually
from reachlink.upstreams import MoveFailure, MoveResult


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr(
        "reachlink.requests.tests.world.steady_time", lambda: asyncio.get_running_loop().time()
    )


async def losing_its_path(sent):
    if sent.continuation is None:
        return await answering(200, stream(1, 3), BROKEN)(sent)
    return await answering(200, stream(4, 6))(sent)


@pytest.mark.parametrize("arrived", [True, False])
def test_it_resumes_from_the_memory_that_its_replica_keeps(arrived):
    setup = virtual_time_world("a a", "m", script=losing_its_path)
    setup.adapter.move_result = MoveResult(MEMORY, arrived)
    sink = run_virtually(setup.run(RequestKind.STREAM))
    assert sink.body == stream(1, 6) and sink.ended
    first, second = setup.adapter.sent
    source, target, last = setup.adapter.moves[0]
    assert (source, last) == (first.replica, True)
    assert second.replica == (target if arrived else source)
    assert second.continuation.memory == MEMORY


def test_it_is_cut_if_its_replica_does_not_run_it_any_more():
    setup = virtual_time_world("a a", "m", script=losing_its_path)
    setup.adapter.move_result = MoveResult(failure=MoveFailure.NOT_RUNNING)
    with pytest.raises(StreamCutError):
        run_virtually(setup.run(RequestKind.STREAM))
    assert len(setup.adapter.sent) == 1


def test_it_is_not_stopped_again_and_again():
    async def always_breaking(sent):
        first = 1 if sent.continuation is None else sent.continuation.after_event + 1
        return await answering(200, stream(first, first), BROKEN)(sent)

    setup = virtual_time_world("a a", "m", script=always_breaking)
    setup.adapter.move_result = MoveResult(MEMORY, False)
    with pytest.raises(StreamCutError):
        run_virtually(setup.run(RequestKind.STREAM))
    assert len(setup.adapter.sent) == 1 + MAX_STOPS
