"""Decisions about held bytes are counted all, and logged a few a second."""

from structlog.testing import CapturingLogger

from reachlink.entry._held_sight import LINES_PER_S, HeldSight
from reachlink.limits import BufferBudget, BufferKind


def test_many_decisions_in_a_second_write_a_few_lines():
    now = 7.0
    log = CapturingLogger()
    counts = {"refused": 0, "closed": 0}

    def count(name: str) -> None:
        counts[name] += 1

    budget = BufferBudget(1000)
    sight = HeldSight(budget, lambda: count("refused"), lambda: count("closed"), log, lambda: now)
    budget.on_pressure_change = sight.pressed
    budget.adjust(BufferKind.ANSWER, 800)
    for number in range(100):
        sight.refused(f"id-{number}", 300)
        sight.closed(f"id-{number}", 50, 2.5)
    assert counts == {"refused": 100, "closed": 100}
    lines = [call.args[0] for call in log.calls]
    assert lines.count("held_pressed") == 1
    assert lines.count("held_over_budget") == lines.count("reader_closed") == LINES_PER_S
    now = 8.0
    sight.refused("id-last", 300)
    shown = log.calls[-1].kwargs
    assert shown["unlogged"] == 100 - LINES_PER_S and shown["request_id"] == "id-last"
    assert (shown["answer"], shown["limit"], shown["body_bytes"]) == (800, 1000, 300)
