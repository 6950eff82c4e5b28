"""A replica that is silent for about a second and goes on has not failed."""

import asyncio
from typing import Any

import pytest

from reachlink.requests._event_source import MAX_SILENCE_S
from reachlink.requests.tests.test_moving import MOVED, virtual_time_world
from reachlink.requests.tests.world import FakeAnswer, answering, stream
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually
from reachlink.upstreams import AnswerHead, UpstreamUnreachableError

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


class AnswerDuringStall(FakeAnswer):
    """Answer whose last chunk arrives while the process stands still."""

    def __init__(self, *pieces: bytes | BaseException | float) -> None:
        super().__init__(AnswerHead(200), list(pieces))
        self._arrived: asyncio.Event | None = None

    async def read(self) -> bytes:
        if len(self._pieces) == 1:
            if self._arrived is None:
                self._arrived = asyncio.Event()
                loop: Any = asyncio.get_running_loop()
                loop.advance(2.0 * MAX_SILENCE_S)
                # The event loop runs the timers that are due before it reads.
                loop.call_soon(loop.call_soon, self._arrived.set)
            await self._arrived.wait()
        return await super().read()


def test_a_stream_stays_at_its_replica_if_the_process_itself_stood_still():
    async def script(sent):
        if sent.continuation is None:
            return AnswerDuringStall(stream(1, 3), 0.9, stream(4, 5), stream(6, 8))
        return await answering(200, stream(6, 8))(sent)

    setup = virtual_time_world("a a", "m", script=script)
    setup.adapter.move_result = MOVED
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


def test_a_stream_is_not_cut_because_a_connection_to_the_replica_with_its_copy_is_slow():
    refusals = [UpstreamUnreachableError("TimeoutError")] * 3

    async def script(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), 0.9, stream(4, 5), 30.0)(sent)
        if refusals:
            raise refusals.pop()
        return await answering(200, stream(6, 8))(sent)

    setup = virtual_time_world("a a", "m", script=script)
    setup.adapter.move_result = MOVED
    sink = run_virtually(setup.run(RequestKind.STREAM))
    assert sink.body == stream(1, 8) and sink.ended
