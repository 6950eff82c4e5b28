"""Callers that read slowly do not affect the measured pace of their replica."""

import asyncio
from dataclasses import replace

import pytest

from reachlink.requests.tests.test_paces import loop_time, paces
from reachlink.requests.tests.world import (
    FakeAnswer,
    FakeSink,
    SentRequest,
    event,
    world,
)
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually
from reachlink.upstreams import AnswerHead, LoadSample

# Time between events of an engine with nominal pace and only one stream, in seconds.
EVENT_S = 0.03
EVENTS = 200
# Number of events that are buffered by the connections between a replica and a caller that
# does not read.
BUFFERED = 5


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr("reachlink.requests.tests.world.steady_time", loop_time)


class Steady(FakeAnswer):
    """Produces an event every 30 ms until its buffers are full, even if none is read."""

    def __init__(self, head: AnswerHead) -> None:
        super().__init__(head, [])
        self._next_at = loop_time() + EVENT_S
        self._given = 0

    async def read(self) -> bytes:
        if self._given == EVENTS:
            return b""
        await asyncio.sleep(max(0.0, self._next_at - loop_time()))
        made = min(BUFFERED, EVENTS - self._given, 1 + int((loop_time() - self._next_at) / EVENT_S))
        self._next_at = max(self._next_at + made * EVENT_S, loop_time())
        first, self._given = self._given, self._given + made
        return b"".join(event(number) for number in range(first, self._given))


async def steady(sent: SentRequest) -> FakeAnswer:
    return Steady(AnswerHead(200, load=LoadSample(1, 0, 24, 1.0)))


class SlowSink(FakeSink):
    """Alternates between reading and pausing."""

    def __init__(self, reads_s: float, rests_s: float) -> None:
        super().__init__()
        self._reads_s, self._rests_s = reads_s, rests_s
        self._rests_at = loop_time() + reads_s

    async def write(self, data: bytes) -> None:
        await super().write(data)
        if loop_time() >= self._rests_at:
            await asyncio.sleep(self._rests_s)
            self._rests_at = loop_time() + self._reads_s


def lasting_after(reads_s: float, rests_s: float) -> float:
    """Return the estimated steady pace of a replica after a stream to a slow caller."""
    made = world("a", "m", m1=[steady])
    made.parts.clock = loop_time
    for number in range(16):
        for other in ("m2", "m3"):
            made.tracker.paces.record_reported("model", other, 1.0, -5.0 + 0.3 * number)
            made.tracker.paces.record_measured("model", other, 1.0, -5.0 + 0.3 * number)

    async def play() -> float:
        request = made.request(RequestKind.STREAM, 2000, 2000)
        request.route = replace(request.route, timeout_s=60.0)
        request.caller_timeout_s = 60.0
        await made.runner.run(request, SlowSink(reads_s, rests_s))
        return loop_time()

    ended: float = run_virtually(play())
    made.parts.clock = lambda: ended
    return paces(made, "model", "m1")[0]


@pytest.mark.parametrize("reads_s,rests_s", [(9.9, 0.0), (0.0, 0.5), (0.1, 1.0), (0.6, 0.4)])
def test_caller_that_pauses_while_reading_does_not_change_measured_pace(reads_s, rests_s):
    assert lasting_after(reads_s, rests_s) == 1.0
