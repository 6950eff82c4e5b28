"""Retries of refused callers are recognized, and refusals are recorded and logged."""

import pytest
from structlog.testing import capture_logs

from reachlink.coordination import CallerRetryLedger
from reachlink.coordination import _caller_retry_ledger as ledger_module
from reachlink.requests import PlacementPurpose, PlacementQuery
from reachlink.scheduling import Begin, Need, QueueState, RefusalReason, Refuse

LINE = QueueState(7, 30_000, 10_000.0)
REFUSED = Refuse(3.0, RefusalReason.OVER_SHARE, place_reserved=True)


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def ledger(clock) -> CallerRetryLedger:
    return CallerRetryLedger(clock)


def make_query(request_id: str, fingerprint: int = 77) -> PlacementQuery:
    need = Need(tokens=2000, workspace="w1", give_up_in_s=30.0)
    return PlacementQuery(
        "edge-1",
        request_id,
        "chat",
        PlacementPurpose.REQUEST,
        2000,
        need=need,
        fingerprint=fingerprint,
    )


def ask(ledger: CallerRetryLedger, request_id: str, start, fingerprint: int = 77):
    asked = make_query(request_id, fingerprint)
    need, promise = ledger.on_arrival(asked)
    return need, ledger.record_decision(asked, need, promise, start, LINE)


def test_retry_is_recognized_under_other_id(ledger, clock):
    with capture_logs() as logs:
        assert ask(ledger, "id-1", REFUSED)[1] == REFUSED
        clock.now += 3.1
        need, start = ask(ledger, "id-2", Begin("r1"))
    assert start == Begin("r1")
    assert need.is_announced_retry and need.waited_s == pytest.approx(3.1)
    assert ledger.registry.counts.kept == 1
    refused, found = logs
    assert (refused["event"], refused["reason"], refused["ahead"]) == ("refused", "over_share", 7)
    assert (refused["come_back_in_s"], refused["drain_tokens_per_s"]) == (3.0, 10_000)
    assert (found["event"], found["place_kept"], found["age_s"]) == ("return_found", True, 3.1)


def test_early_retry_gets_remaining_time(ledger, clock):
    ask(ledger, "id-1", REFUSED)
    clock.now += 1.0
    need, start = ask(ledger, "id-2", Refuse(9.0))
    assert not need.is_announced_retry
    assert start == Refuse(2.0, RefusalReason.NO_ROOM, place_reserved=True)


def test_log_lines_are_limited_and_omitted_ones_counted(ledger, clock):
    most = ledger_module.MAX_LOG_LINES_PER_S
    with capture_logs() as logs:
        for number in range(most + 5):
            ask(ledger, f"id-{number}", REFUSED, fingerprint=number + 1)
        clock.now += 1.0
        ask(ledger, "id-last", REFUSED, fingerprint=9999)
    assert len(logs) == most + 1
    assert logs[-1]["left_out"] == 5
    assert ledger.registry.counts.refused[RefusalReason.OVER_SHARE] == most + 6
