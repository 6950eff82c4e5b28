"""Bodies that do not go on give way to others, and none does in calm."""

import asyncio

import pytest

from reachlink.ingress import (
    BodyLimits,
    BodyOverBudgetError,
    BodyTooLargeError,
    BodyTooSlowError,
    IncomingBodies,
)
from reachlink.ingress._incoming_bodies import MIN_AGE_S, STALLED_S
from reachlink.limits import BufferBudget, CallerBuffer

KB, MB = 1 << 10, 1 << 20
BUDGET_BYTES = 12 * MB
BODY_BYTES = 3 * MB
PIECE_BYTES = 64 * KB
LIMITS = BodyLimits(4 * MB, 60.0, 60.0)


class Content:
    """Gives some bytes, and then waits for more without end."""

    def __init__(self, size: int, ends: bool) -> None:
        self._left = size
        self._ends = ends

    async def readany(self) -> bytes:
        await asyncio.sleep(0)
        if not self._left and not self._ends:
            await asyncio.Event().wait()
        size = min(self._left, PIECE_BYTES)
        self._left -= size
        return b"x" * size


class Bodies:
    """Bodies of one budget, and a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.budget = BufferBudget(BUDGET_BYTES)
        self.incoming = IncomingBodies(self.budget, lambda: self.now)

    async def receive(self, size: int, ends: bool = True, limits: BodyLimits = LIMITS) -> int:
        buffer = CallerBuffer(self.budget)
        try:
            content = Content(size, ends)
            return len(await self.incoming.receive(content, BODY_BYTES, buffer, limits))
        finally:
            buffer.release()

    async def stalled(self, count: int) -> "list[asyncio.Task[int]]":
        """Return bodies that stop short of their end."""
        size = BODY_BYTES - 1
        tasks = [asyncio.create_task(self.receive(size, ends=False)) for _ in range(count)]
        expected = count * size
        while self.budget.total < expected:
            await asyncio.sleep(0)
        return tasks


def play(work) -> None:
    async def bounded() -> None:
        bodies = Bodies()
        async with asyncio.timeout(20.0):
            await work(bodies)
        assert bodies.budget.total == 0 and len(bodies.incoming) == 0

    asyncio.run(bounded())


async def cancelled(tasks: "list[asyncio.Task[int]]") -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def test_a_stalled_body_gives_way_the_longest_idle_one_first():
    async def work(bodies: Bodies) -> None:
        first = await bodies.stalled(1)
        bodies.now += 0.1
        size = BODY_BYTES - 1
        others = [asyncio.create_task(bodies.receive(size, ends=False)) for _ in range(2)]
        while bodies.budget.total < 3 * size:
            await asyncio.sleep(0)
        bodies.now += STALLED_S
        assert await bodies.receive(BODY_BYTES) == BODY_BYTES
        with pytest.raises(BodyOverBudgetError):
            await first[0]
        assert not any(task.done() for task in others)
        await cancelled(others)

    play(work)


def test_none_gives_way_while_there_is_room_or_to_short_bodies_that_fit():
    async def work(bodies: Bodies) -> None:
        tasks = await bodies.stalled(2)
        bodies.now += 30.0
        assert await bodies.receive(BODY_BYTES // 4) == BODY_BYTES // 4
        assert not any(task.done() for task in tasks)
        await cancelled(tasks)

    play(work)


def test_bodies_that_have_just_come_are_kept_and_the_next_one_is_refused():
    async def work(bodies: Bodies) -> None:
        tasks = await bodies.stalled(3)
        with pytest.raises(BodyOverBudgetError):
            await bodies.receive(BODY_BYTES)
        assert not any(task.done() for task in tasks)
        await cancelled(tasks)

    play(work)


def test_a_body_that_trickles_gives_way():
    async def work(bodies: Bodies) -> None:
        tasks = await bodies.stalled(3)
        bodies.now += BODY_BYTES / (32 * KB)
        assert bodies.now > MIN_AGE_S
        for body in bodies.incoming._bodies:
            body.progressed_at = bodies.now
        assert await bodies.receive(BODY_BYTES) == BODY_BYTES
        assert sum(task.done() for task in tasks) == 1
        await cancelled(tasks)

    play(work)


def test_a_body_that_can_never_fit_drives_none_away():
    async def work(bodies: Bodies) -> None:
        tasks = await bodies.stalled(2)
        bodies.now += 30.0
        buffer = CallerBuffer(bodies.budget)
        whole = BodyLimits(64 * MB, 60.0, 60.0)
        with pytest.raises(BodyOverBudgetError):
            await bodies.incoming.receive(Content(0, True), 32 * MB, buffer, whole)
        assert not any(task.done() for task in tasks)
        await cancelled(tasks)

    play(work)


def test_a_body_beyond_its_bounds_is_refused():
    async def work(bodies: Bodies) -> None:
        buffer = CallerBuffer(bodies.budget)
        with pytest.raises(BodyTooLargeError):
            await bodies.incoming.receive(Content(0, True), 5 * MB, buffer, LIMITS)
        with pytest.raises(BodyTooLargeError):
            await bodies.incoming.receive(Content(2 * MB, True), None, buffer, BodyLimits(MB, 9, 9))
        buffer.release()
        with pytest.raises(BodyTooSlowError):
            await bodies.receive(KB, ends=False, limits=BodyLimits(4 * MB, 0.01, 60.0))

    play(work)
