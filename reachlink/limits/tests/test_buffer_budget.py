"""The buffer budget: total, share of one caller, and priority of short bodies."""

from random import Random

import pytest

from reachlink.limits import MAX_SHORT_BYTES, BufferBudget, BufferKind, CallerBuffer

MB = 1 << 20
LIMIT = 24 * MB
LONG = 4 * MB


def reserve_each(budget: BufferBudget, *sizes: int) -> list[CallerBuffer]:
    buffers = []
    for size in sizes:
        buffer = CallerBuffer(budget)
        assert buffer.reserve(BufferKind.INCOMING, size)
        buffers.append(buffer)
    return buffers


def test_without_a_limit_nothing_is_counted_or_refused():
    budget = BufferBudget(0)
    buffer = CallerBuffer(budget)
    assert budget.admits(1 << 40) and buffer.reserve(BufferKind.INCOMING, 1 << 40)
    assert buffer.set_size(BufferKind.ANSWER, 1 << 40) and not budget.limited
    assert (budget.total, buffer.total) == (0, 0)


def test_long_bodies_are_refused_from_the_high_to_the_low_watermark():
    budget = BufferBudget(LIMIT)
    pressure_changes: list[bool] = []
    budget.on_pressure_change = pressure_changes.append
    held = reserve_each(budget, *[LONG] * 4, 2 * MB)
    assert budget.under_pressure and not budget.admits(MAX_SHORT_BYTES + 1)
    held[4].release()
    # Usage is between the watermarks: 16 of 24 MB.
    assert budget.under_pressure and not budget.admits(MAX_SHORT_BYTES + 1)
    held[0].release()
    assert not budget.under_pressure and budget.admits(LONG)
    assert pressure_changes == [True, False]


def test_short_bodies_are_admitted_up_to_the_limit():
    budget = BufferBudget(LIMIT)
    reserve_each(budget, *[LONG] * 4, 2 * MB)
    assert budget.admits(MAX_SHORT_BYTES)
    shorts = 0
    while CallerBuffer(budget).reserve(BufferKind.INCOMING, MAX_SHORT_BYTES):
        shorts += 1
    assert shorts == 6 * MB // MAX_SHORT_BYTES
    assert budget.total == LIMIT and not budget.admits(1)


def test_growing_bodies_stop_at_the_high_watermark():
    budget = BufferBudget(LIMIT)
    buffers = [CallerBuffer(budget) for _ in range(6)]
    ended = set()
    for _ in range(1000):
        for buffer in buffers:
            if buffer not in ended and not buffer.reserve(BufferKind.INCOMING, MAX_SHORT_BYTES):
                ended.add(buffer)
    assert len(ended) == 6 and budget.total <= int(LIMIT * 0.75)


def test_one_caller_may_use_only_its_share():
    budget = BufferBudget(LIMIT)
    buffer = CallerBuffer(budget)
    assert buffer.reserve(BufferKind.ANSWER, 8 * MB)
    assert not buffer.reserve(BufferKind.ANSWER, 1)
    assert not buffer.fits_caller_limit(1) and not budget.admits(8 * MB + 1)
    assert CallerBuffer(budget).reserve(BufferKind.ANSWER, 8 * MB)


def test_bytes_already_buffered_are_counted_beyond_the_limit():
    budget = BufferBudget(LIMIT)
    # The buffer of a connection is in memory whether there is room or not.
    reader = CallerBuffer(budget)
    assert reader.set_size(BufferKind.ANSWER, 8 * MB)
    assert not reader.set_size(BufferKind.ANSWER, 9 * MB)
    others = CallerBuffer(budget)
    assert not others.set_size(BufferKind.ANSWER, 6 * MB)
    assert budget.total == 15 * MB
    assert reader.set_size(BufferKind.ANSWER, 0) and budget.bytes_of(BufferKind.ANSWER) == 6 * MB


def test_answers_ahead_of_callers_leave_room_for_bodies():
    budget = BufferBudget(LIMIT)
    readers = [CallerBuffer(budget) for _ in range(100)]
    for reader in readers:
        size = 0
        while reader.set_size(BufferKind.ANSWER, size) and size < MB:
            size += MAX_SHORT_BYTES
    assert not budget.under_pressure and budget.admits(2 * MB) and budget.admits(MAX_SHORT_BYTES)


def test_complete_body_is_counted_once():
    budget = BufferBudget(LIMIT)
    (buffer,) = reserve_each(budget, LONG)
    buffer.reclassify(BufferKind.INCOMING, BufferKind.REQUEST)
    assert (budget.bytes_of(BufferKind.INCOMING), budget.bytes_of(BufferKind.REQUEST)) == (0, LONG)
    buffer.release()
    buffer.release()
    assert budget.total == 0


@pytest.mark.parametrize("seed", range(20))
def test_totals_agree_after_random_operations(seed):
    random = Random(seed)
    budget = BufferBudget(LIMIT)
    buffers = [CallerBuffer(budget) for _ in range(12)]
    for _ in range(500):
        buffer = random.choice(buffers)
        kind = random.choice(list(BufferKind))
        random.choice(
            [
                lambda b=buffer, k=kind: b.reserve(k, random.randrange(3 * MB)),
                lambda b=buffer: b.reclassify(BufferKind.INCOMING, BufferKind.REQUEST),
                lambda b=buffer: b.release(),
            ]
        )()
        assert budget.total == sum(one.total for one in buffers) <= LIMIT
        assert budget.total == sum(budget.bytes_of(kind) for kind in BufferKind)
        assert all(0 <= one.total <= LIMIT // 3 for one in buffers)
    for buffer in buffers:
        buffer.release()
    assert budget.total == 0 and not budget.under_pressure


def test_completing_a_body_does_not_end_memory_pressure():
    """A complete body stays in memory as a request, so the low watermark is not reached."""
    budget = BufferBudget(10 * MB)
    pressure_changes: list[bool] = []
    budget.on_pressure_change = pressure_changes.append
    first, second = CallerBuffer(budget), CallerBuffer(budget)
    assert first.reserve(BufferKind.INCOMING, MB)
    budget.adjust(BufferKind.REQUEST, 6 * MB + MB // 2)
    assert second.reserve(BufferKind.ANSWER, MB)
    second.release()
    budget.adjust(BufferKind.REQUEST, -MB)
    assert budget.under_pressure and budget.total == 6 * MB + MB // 2
    first.reclassify(BufferKind.INCOMING, BufferKind.REQUEST)
    assert first.bytes_of(BufferKind.REQUEST) == MB and first.bytes_of(BufferKind.INCOMING) == 0
    assert budget.total == 6 * MB + MB // 2
    assert budget.under_pressure and pressure_changes == [True]
    first.release()
    assert not budget.under_pressure and pressure_changes == [True, False]
