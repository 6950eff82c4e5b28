"""Replicas that turn requests away and say nothing of when to come back."""

import asyncio

import pytest

from reachlink.kernel import steady_time
from reachlink.pacing import _refusals as refusals
from reachlink.requests import RequestFailedError, RetryLimits
from reachlink.requests.tests.world import NOT_RUN, FakeSink, World, answering, world
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually

# What the product allows its entry instances to send again, together.
SHARE, BURST = 0.1, 20.0
KINDS = [RequestKind.ONCE, RequestKind.REPEATABLE]


class Calls:
    """Calls one after the other, in simulated time."""

    def __init__(self, made: World, per_s: float, instances: int = 1) -> None:
        self.made = made
        self.per_s = per_s
        self.now = steady_time()
        self.ends: list[str] = []
        made.parts.clock = lambda: self.now
        made.parts.retry_limits, made.parts.instance_count = (
            RetryLimits(SHARE, BURST),
            lambda: instances,
        )

    async def make(self, count: int, kind: RequestKind) -> None:
        for _ in range(count):
            request = self.made.request(kind)
            request.arrived_at = self.now
            try:
                await self.made.runner.run(request, FakeSink())
                self.ends.append("delivered")
            except RequestFailedError as error:
                self.ends.append(error.reason)
            self.now += 1.0 / self.per_s

    def sent_to(self, name: str) -> int:
        return sum(one.replica == name for one in self.made.adapter.sent)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("per_s", "instances"), [(100.0, 1), (14.0, 7), (1.5, 63), (0.5, 63)], ids=str
)
def test_callers_are_served_by_the_others(kind, per_s, instances):
    """One of three replicas refuses all that it gets, and looks empty."""
    calls = Calls(world("a a a", p1=[NOT_RUN]), per_s, instances)
    asyncio.run(calls.make(763, kind))
    assert calls.ends.count("delivered") >= 763 - 3
    # What it draws is repeated within the budget.
    assert 0 < calls.sent_to("p1") <= 763 * SHARE + BURST


def test_it_is_used_as_usual_once_it_takes_one():
    calls = Calls(world("a a a", p1=[*[NOT_RUN] * 5, answering(200, b"whole")]), 100.0)
    asyncio.run(calls.make(500, RequestKind.ONCE))
    assert calls.made.pacing.is_empty
    before = calls.sent_to("p1")
    asyncio.run(calls.make(300, RequestKind.ONCE))
    assert calls.sent_to("p1") - before > 60


def test_a_refusal_is_no_distrust_and_no_crash():
    calls = Calls(world("a a a", p1=[NOT_RUN]), 100.0)
    asyncio.run(calls.make(100, RequestKind.ONCE))
    assert calls.made.book.state("p1").health.failures == 0.0
    assert not calls.made.adapter.touched


def test_where_all_refuse_callers_are_told_at_once_when_to_come_back(monkeypatch):
    made = world("a a a", p1=[NOT_RUN], p2=[NOT_RUN], p3=[NOT_RUN])

    async def work() -> float:
        loop_time = asyncio.get_running_loop().time
        monkeypatch.setattr("reachlink.requests.tests.world.steady_time", loop_time)
        made.parts.clock = loop_time
        for _ in range(30):
            with pytest.raises(RequestFailedError) as caught:
                await made.run(RequestKind.ONCE, objective_s=0.04)
            assert (caught.value.status, caught.value.reason) == (503, "not_run")
            assert 0.0 < (caught.value.retry_after_s or 0.0) <= refusals.LONGEST_S
        return loop_time()

    # Half of the objective at the most, each.
    assert run_virtually(work()) <= 30 * 0.02
