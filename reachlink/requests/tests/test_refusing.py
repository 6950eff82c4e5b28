"""Replicas that refuse requests without naming a time to retry."""

import asyncio

import pytest

from reachlink.kernel import steady_time
from reachlink.pacing import _refusals as refusals
from reachlink.requests import RequestFailedError, RetryLimits
from reachlink.requests.tests.world import NOT_RUN, FakeSink, World, answering, world
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually

# Default limits on retries by all entry instances together.
SHARE, BURST = 0.1, 20.0
KINDS = [RequestKind.ONCE, RequestKind.REPEATABLE]


class Calls:
    """Sequential calls in simulated time."""

    def __init__(self, setup: World, per_s: float, instances: int = 1) -> None:
        self.setup = setup
        self.per_s = per_s
        self.now = steady_time()
        self.outcomes: list[str] = []
        setup.parts.clock = lambda: self.now
        setup.parts.retry_limits, setup.parts.instance_count = (
            RetryLimits(SHARE, BURST),
            lambda: instances,
        )

    async def make(self, count: int, kind: RequestKind) -> None:
        for _ in range(count):
            request = self.setup.request(kind)
            request.arrived_at = self.now
            try:
                await self.setup.runner.run(request, FakeSink())
                self.outcomes.append("delivered")
            except RequestFailedError as error:
                self.outcomes.append(error.reason)
            self.now += 1.0 / self.per_s

    def sent_to(self, name: str) -> int:
        return sum(one.replica == name for one in self.setup.adapter.sent)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("per_s", "instances"), [(100.0, 1), (14.0, 7), (1.5, 63), (0.5, 63)], ids=str
)
def test_a_replica_that_refuses_everything_costs_few_calls(kind, per_s, instances):
    """One of three replicas refuses every request, and therefore appears to have no load."""
    calls = Calls(world("a a a", p1=[NOT_RUN]), per_s, instances)
    asyncio.run(calls.make(763, kind))
    assert calls.outcomes.count("delivered") >= 763 - 3
    # The requests that it gets are retried within the budget.
    assert 0 < calls.sent_to("p1") <= 763 * SHARE + BURST


def test_a_refusing_replica_is_used_normally_once_it_accepts_a_request():
    calls = Calls(world("a a a", p1=[*[NOT_RUN] * 5, answering(200, b"whole")]), 100.0)
    asyncio.run(calls.make(500, RequestKind.ONCE))
    assert calls.setup.pacing.is_empty
    before = calls.sent_to("p1")
    asyncio.run(calls.make(300, RequestKind.ONCE))
    assert calls.sent_to("p1") - before > 60


def test_a_refusal_counts_neither_as_a_failure_nor_as_a_crash():
    calls = Calls(world("a a a", p1=[NOT_RUN]), 100.0)
    asyncio.run(calls.make(100, RequestKind.ONCE))
    assert calls.setup.tracker.state("p1").health.failures == 0.0
    assert not calls.setup.adapter.touched


def test_callers_get_a_retry_delay_soon_if_all_replicas_refuse(monkeypatch):
    setup = world("a a a", p1=[NOT_RUN], p2=[NOT_RUN], p3=[NOT_RUN])

    async def scenario() -> float:
        loop_time = asyncio.get_running_loop().time
        monkeypatch.setattr("reachlink.requests.tests.world.steady_time", loop_time)
        setup.parts.clock = loop_time
        for _ in range(30):
            with pytest.raises(RequestFailedError) as caught:
                await setup.run(RequestKind.ONCE, objective_s=0.04)
            assert (caught.value.status, caught.value.reason) == (503, "not_run")
            assert 0.0 < (caught.value.retry_after_s or 0.0) <= refusals.MAX_WAIT_S
        return loop_time()

    # Each call takes at most half of the objective.
    assert run_virtually(scenario()) <= 30 * 0.02
