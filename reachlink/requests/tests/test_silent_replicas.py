"""A replica that is silent for about a second and goes on has not failed."""

import asyncio

import pytest

from reachlink.requests.tests.test_moving import MOVED, virtual_time_world
from reachlink.requests.tests.world import answering, stream
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually

# For how long a sound replica may be silent, in seconds.
SILENT_S = 1.2
# Callers leave after a silence of this length, in seconds.
CALLERS_LEAVE_AFTER_S = 2.0


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr(
        "reachlink.requests.tests.world.steady_time", lambda: asyncio.get_running_loop().time()
    )


@pytest.mark.parametrize("copy_takes_s", [0.0, 30.0])
def test_a_stream_stays_at_a_replica_that_is_silent_for_a_second(copy_takes_s):
    script = answering(200, stream(1, 3), 0.9, stream(4, 5), SILENT_S, stream(6, 8))
    setup = virtual_time_world("a a", "m", script=script)
    setup.adapter.move_result = MOVED
    setup.adapter.move_takes_s = copy_takes_s
    sink = run_virtually(setup.run(RequestKind.STREAM))
    assert sink.body == stream(1, 8) and sink.ended
    assert len(setup.adapter.sent) == 1


def test_a_stream_resumes_at_its_copy_before_its_caller_leaves():
    async def script(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), 0.9, stream(4, 5), 30.0)(sent)
        return await answering(200, stream(6, 8))(sent)

    setup = virtual_time_world("a a", "m", script=script)
    setup.adapter.move_result = MOVED

    async def scenario():
        begun = asyncio.get_running_loop().time()
        sink = await setup.run(RequestKind.STREAM)
        return sink, asyncio.get_running_loop().time() - begun

    sink, took_s = run_virtually(scenario())
    assert sink.body == stream(1, 8) and sink.ended
    assert took_s < 0.9 + CALLERS_LEAVE_AFTER_S
