"""The memory budget: total, share of one caller, and priority of short bodies."""

from random import Random

import pytest

from reachlink.limits import SHORT_BYTES, HeldBytes, HeldKind, Holding

MB = 1 << 20
LIMIT = 24 * MB
LONG = 4 * MB


def taken(budget: HeldBytes, *sizes: int) -> list[Holding]:
    made = []
    for size in sizes:
        holding = Holding(budget)
        assert holding.take(HeldKind.INCOMING, size)
        made.append(holding)
    return made


def test_without_a_limit_nothing_is_counted_or_refused():
    budget = HeldBytes(0)
    holding = Holding(budget)
    assert budget.admits(1 << 40) and holding.take(HeldKind.INCOMING, 1 << 40)
    assert holding.note(HeldKind.ANSWER, 1 << 40) and not budget.limited
    assert (budget.total, holding.total) == (0, 0)


def test_long_bodies_are_refused_from_the_high_to_the_low_watermark():
    budget = HeldBytes(LIMIT)
    marks: list[bool] = []
    budget.on_pressed = marks.append
    held = taken(budget, *[LONG] * 4, 2 * MB)
    assert budget.pressed and not budget.admits(SHORT_BYTES + 1)
    held[4].release()
    # Usage is between the watermarks: 16 of 24 MB.
    assert budget.pressed and not budget.admits(SHORT_BYTES + 1)
    held[0].release()
    assert not budget.pressed and budget.admits(LONG)
    assert marks == [True, False]


def test_short_bodies_are_admitted_up_to_the_limit():
    budget = HeldBytes(LIMIT)
    taken(budget, *[LONG] * 4, 2 * MB)
    assert budget.admits(SHORT_BYTES)
    shorts = 0
    while Holding(budget).take(HeldKind.INCOMING, SHORT_BYTES):
        shorts += 1
    assert shorts == 6 * MB // SHORT_BYTES
    assert budget.total == LIMIT and not budget.admits(1)


def test_growing_bodies_stop_at_the_high_watermark():
    budget = HeldBytes(LIMIT)
    holdings = [Holding(budget) for _ in range(6)]
    ended = set()
    for _ in range(1000):
        for holding in holdings:
            if holding not in ended and not holding.take(HeldKind.INCOMING, SHORT_BYTES):
                ended.add(holding)
    assert len(ended) == 6 and budget.total <= int(LIMIT * 0.75)


def test_one_caller_may_use_only_its_share():
    budget = HeldBytes(LIMIT)
    holding = Holding(budget)
    assert holding.take(HeldKind.ANSWER, 8 * MB)
    assert not holding.take(HeldKind.ANSWER, 1)
    assert not holding.could_ever(1) and not budget.admits(8 * MB + 1)
    assert Holding(budget).take(HeldKind.ANSWER, 8 * MB)


def test_bytes_already_buffered_are_counted_beyond_the_limit():
    budget = HeldBytes(LIMIT)
    # The buffer of a connection is in memory whether there is room or not.
    reader = Holding(budget)
    assert reader.note(HeldKind.ANSWER, 8 * MB)
    assert not reader.note(HeldKind.ANSWER, 9 * MB)
    others = Holding(budget)
    assert not others.note(HeldKind.ANSWER, 6 * MB)
    assert budget.total == 15 * MB
    assert reader.note(HeldKind.ANSWER, 0) and budget.of(HeldKind.ANSWER) == 6 * MB


def test_answers_ahead_of_callers_leave_room_for_bodies():
    budget = HeldBytes(LIMIT)
    readers = [Holding(budget) for _ in range(100)]
    for reader in readers:
        size = 0
        while reader.note(HeldKind.ANSWER, size) and size < MB:
            size += SHORT_BYTES
    assert not budget.pressed and budget.admits(2 * MB) and budget.admits(SHORT_BYTES)


def test_complete_body_is_counted_once():
    budget = HeldBytes(LIMIT)
    (holding,) = taken(budget, LONG)
    holding.turn(HeldKind.INCOMING, HeldKind.REQUEST)
    assert (budget.of(HeldKind.INCOMING), budget.of(HeldKind.REQUEST)) == (0, LONG)
    holding.release()
    holding.release()
    assert budget.total == 0


@pytest.mark.parametrize("seed", range(20))
def test_totals_agree_after_random_operations(seed):
    random = Random(seed)
    budget = HeldBytes(LIMIT)
    holdings = [Holding(budget) for _ in range(12)]
    for _ in range(500):
        holding = random.choice(holdings)
        kind = random.choice(list(HeldKind))
        random.choice(
            [
                lambda h=holding, k=kind: h.take(k, random.randrange(3 * MB)),
                lambda h=holding: h.turn(HeldKind.INCOMING, HeldKind.REQUEST),
                lambda h=holding: h.release(),
            ]
        )()
        assert budget.total == sum(one.total for one in holdings) <= LIMIT
        assert budget.total == sum(budget.of(kind) for kind in HeldKind)
        assert all(0 <= one.total <= LIMIT // 3 for one in holdings)
    for holding in holdings:
        holding.release()
    assert budget.total == 0 and not budget.pressed


def test_completing_a_body_does_not_end_memory_pressure():
    """A complete body stays in memory as a request, so the low watermark is not reached."""
    budget = HeldBytes(10 * MB)
    marks: list[bool] = []
    budget.on_pressed = marks.append
    first, second = Holding(budget), Holding(budget)
    assert first.take(HeldKind.INCOMING, MB)
    budget.change(HeldKind.REQUEST, 6 * MB + MB // 2)
    assert second.take(HeldKind.ANSWER, MB)
    second.release()
    budget.change(HeldKind.REQUEST, -MB)
    assert budget.pressed and budget.total == 6 * MB + MB // 2
    first.turn(HeldKind.INCOMING, HeldKind.REQUEST)
    assert first.of(HeldKind.REQUEST) == MB and first.of(HeldKind.INCOMING) == 0
    assert budget.total == 6 * MB + MB // 2
    assert budget.pressed and marks == [True]
    first.release()
    assert not budget.pressed and marks == [True, False]
