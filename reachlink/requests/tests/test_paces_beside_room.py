"""An answer that waits for buffer space does not affect the measured pace of its replica."""

import asyncio
from dataclasses import replace

import pytest

from reachlink.limits import BufferBudget, BufferKind, CallerBuffer
from reachlink.requests.tests.test_paces import loop_time, paces, telling
from reachlink.requests.tests.world import FakeSink, World, world
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually

MB = 1 << 20
WORK_S = 0.06


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr("reachlink.requests.tests.world.steady_time", loop_time)


async def call(made: World, budget: BufferBudget) -> None:
    request = made.request(RequestKind.REPEATABLE)
    request.route = replace(request.route, timeout_s=60.0)
    request.caller_timeout_s = 60.0
    request.caller_buffer = CallerBuffer(budget)
    await made.runner.run(request, FakeSink())
    request.caller_buffer.release()


def test_answer_that_waited_for_buffer_space_is_not_measured():
    answer = b"a" * MB
    made = world(
        "a a",
        p1=[telling(1.0, WORK_S, b"whole")],
        p2=[telling(None, WORK_S, answer)],
    )
    made.parts.clock = loop_time
    made.tracker.paces.record_reported("plain", "p1", 1.0, -1.0)
    budget = BufferBudget(6 * MB)

    async def work() -> float:
        for _ in range(20):
            # For a while, there is only space for short answers.
            budget.adjust(BufferKind.REQUEST, 5 * MB + MB // 2)
            calling = asyncio.create_task(call(made, budget))
            await asyncio.sleep(0.4)
            budget.adjust(BufferKind.REQUEST, -(5 * MB + MB // 2))
            await calling
        return loop_time()

    ended: float = run_virtually(work())
    made.parts.clock = lambda: ended
    assert {sent.replica for sent in made.adapter.sent} == {"p1", "p2"}
    assert paces(made, "plain", "p2") == [1.0]
