"""Bytes that are read after a process stood still may have waited that long."""

import asyncio

from reachlink.kernel import LoopGaps


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_what_is_read_while_the_loop_runs_has_not_waited():
    clock = Clock()
    gaps = LoopGaps(clock)
    for _ in range(20):
        clock.now += 0.1
        gaps.tick()
        assert gaps.max_unread_s() == 0.0


def test_what_is_read_before_the_loop_notes_that_it_runs_again_may_have_waited():
    clock = Clock()
    gaps = LoopGaps(clock)
    clock.now += 7.0
    assert gaps.max_unread_s() == 7.0


def test_what_is_read_soon_after_a_gap_may_have_waited_since_its_begin():
    clock = Clock()
    gaps = LoopGaps(clock)
    clock.now += 7.0
    gaps.tick()
    clock.now += 0.2
    gaps.tick()
    assert abs(gaps.max_unread_s() - 7.2) < 1e-9
    for _ in range(4):
        clock.now += 0.1
        gaps.tick()
    assert gaps.max_unread_s() == 0.0


def test_a_slow_start_is_no_gap():
    """Nothing can have been received before the watch began."""
    clock = Clock()
    gaps = LoopGaps(clock)
    clock.now += 7.0

    async def start() -> float:
        task = asyncio.create_task(gaps.watch())
        await asyncio.sleep(0)
        task.cancel()
        return gaps.max_unread_s()

    assert asyncio.run(start()) == 0.0
