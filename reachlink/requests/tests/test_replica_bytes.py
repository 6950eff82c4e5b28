"""Long requests go to replicas with room for their bytes, or fail as not run."""

import asyncio
from dataclasses import replace

import pytest

from reachlink.limits import BufferBudget, BufferKind, CallerBuffer
from reachlink.requests import CallerRequest, RequestFailedError
from reachlink.requests.tests.world import (
    FakeAdapter,
    FakeAnswer,
    FakeSink,
    SentRequest,
    World,
    answering,
)
from reachlink.routing import RequestKind
from reachlink.scheduling import SchedulingSettings
from reachlink.upstreams import AnswerHead

MB = 1 << 20
LONG = b"x" * (40 * MB)


class Held:
    """Replicas that answer after `gate` is set."""

    def __init__(self) -> None:
        self.at: list[str] = []
        self.gate = asyncio.Event()

    async def __call__(self, sent: SentRequest) -> FakeAnswer:
        self.at.append(sent.replica)
        await self.gate.wait()
        return FakeAnswer(AnswerHead(200), [b"whole"])


def world_of(script, limited: bool = True) -> World:
    world = World({"p1": "a", "p2": "a"}, FakeAdapter({"p1": [script], "p2": [script]}))
    world.parts.scheduling = SchedulingSettings(held_bytes=1 if limited else 0)
    return world


def patient(world: World, kind: RequestKind) -> CallerRequest:
    """Return a request with timeouts that are long enough for a busy machine."""
    request = world.request(kind)
    request.route = replace(request.route, timeout_s=60.0)
    request.caller_timeout_s = 60.0
    return request


async def send(world: World, body: bytes) -> FakeSink:
    request = patient(world, RequestKind.ONCE)
    request.relay.body = body
    sink = FakeSink()
    await world.runner.run(request, sink)
    return sink


async def until(condition) -> None:
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(0.001)


def test_second_long_request_goes_to_other_replica_and_third_is_refused():
    async def work() -> None:
        held = Held()
        world = world_of(held)
        first = [asyncio.create_task(send(world, LONG)) for _ in range(2)]
        await until(lambda: len(held.at) == 2)
        assert set(held.at) == {"p1", "p2"}
        with pytest.raises(RequestFailedError) as failed:
            await send(world, LONG)
        assert (failed.value.status, failed.value.outcome.value) == (503, "not_run")
        short = asyncio.create_task(send(world, b"short"))
        await until(lambda: len(held.at) == 3)
        held.gate.set()
        assert {(await one).body for one in (*first, short)} == {b"whole"}
        # There is room again.
        assert (await send(world, LONG)).body == b"whole"

    asyncio.run(work())


def test_number_of_long_requests_is_unlimited_without_budget():
    async def work() -> None:
        held = Held()
        world = world_of(held, limited=False)
        sent = [asyncio.create_task(send(world, LONG)) for _ in range(6)]
        await until(lambda: len(held.at) == 6)
        held.gate.set()
        assert {(await one).body for one in sent} == {b"whole"}

    asyncio.run(work())


def test_wait_of_answer_for_buffer_space_does_not_count_as_replica_failure():
    async def work() -> None:
        world = world_of(answering(200, b"a" * MB, b"b" * MB, length=2 * MB))
        budget = BufferBudget(6 * MB)
        budget.adjust(BufferKind.REQUEST, 5 * MB)
        request = patient(world, RequestKind.REPEATABLE)
        request.caller_buffer = CallerBuffer(budget)
        sink = FakeSink()
        running = asyncio.create_task(world.runner.run(request, sink))
        await until(lambda: len(world.adapter.sent) == 1)
        # Longer than the replica has for its answer.
        await asyncio.sleep(request.route.objective_s * 1.5)
        assert not sink.ended and len(world.adapter.sent) == 1
        budget.adjust(BufferKind.REQUEST, -5 * MB)
        await running
        assert sink.body == b"a" * MB + b"b" * MB
        assert budget.bytes_of(BufferKind.ANSWER) == 2 * MB
        assert world.tracker.state("p1").health.failures == 0.0

    asyncio.run(work())


def test_answer_beyond_limit_of_one_caller_fails_at_once():
    async def work() -> None:
        world = world_of(answering(200, b"a" * (3 * MB)))
        request = patient(world, RequestKind.ONCE)
        request.caller_buffer = CallerBuffer(BufferBudget(6 * MB))
        with pytest.raises(RequestFailedError) as failed:
            await world.runner.run(request, FakeSink())
        assert (failed.value.status, failed.value.outcome.value) == (502, "unknown")

    asyncio.run(work())


def test_buffered_failure_counts_together_with_next_answer():
    async def work() -> None:
        asked: list[str] = []

        async def script(sent: SentRequest) -> FakeAnswer:
            asked.append(sent.replica)
            first = len(asked) == 1
            return FakeAnswer(AnswerHead(500 if first else 200), [b"a" * MB, 0.05])

        world = world_of(script)
        budget = BufferBudget(12 * MB)
        request = patient(world, RequestKind.REPEATABLE)
        request.caller_buffer = CallerBuffer(budget)
        sink = FakeSink()
        running = asyncio.create_task(world.runner.run(request, sink))
        most = 0
        while not running.done():
            most = max(most, budget.bytes_of(BufferKind.ANSWER))
            await asyncio.sleep(0.001)
        await running
        assert sink.body == b"a" * MB and len(asked) == 2
        assert (most, budget.bytes_of(BufferKind.ANSWER)) == (2 * MB, MB)

    asyncio.run(work())
