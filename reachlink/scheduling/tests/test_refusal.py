"""Refusals hit the wrong requests, or their retry times are useless or coincide."""

import math
from random import Random

import pytest

from reachlink.scheduling import (
    Need,
    QueueState,
    RefusalReason,
    expected_wait_s,
    fair_share,
    is_over_share,
    latest_start_s,
    make_refusal,
    refusal_if_needed,
)
from reachlink.scheduling import _refusal as refusals

GRANT_RATE = 20_000.0
NEED = Need(tokens=2000, prompt_tokens=1000, first_event_due_in_s=4.0, give_up_in_s=39.0)


def queue_state(wait_s: float, reserved_tokens: int = 0, over_share: bool = False) -> QueueState:
    """Return the state of a queue in which `NEED` waits for a time in seconds."""
    ahead_tokens = round(wait_s * GRANT_RATE) - NEED.tokens
    return QueueState(5, ahead_tokens, GRANT_RATE, reserved_tokens, over_share)


def need_with(need: Need = NEED, **fields: object) -> Need:
    return Need(**{name: getattr(need, name) for name in need.__struct_fields__} | fields)


def test_late_request_that_can_end_before_its_deadline_waits():
    assert refusal_if_needed(NEED, queue_state(20.0), Random(1)) is None


def test_request_that_cannot_end_before_its_deadline_is_refused():
    latest_s = latest_start_s(NEED)
    assert 25.0 < latest_s < NEED.give_up_in_s
    assert refusal_if_needed(NEED, queue_state(latest_s - 0.1), Random(1)) is None
    refused = refusal_if_needed(NEED, queue_state(latest_s + 0.1), Random(1))
    assert refused.reason is RefusalReason.NO_ROOM
    assert not refused.place_reserved


def test_no_request_is_refused_while_grant_rate_is_unknown():
    unknown = QueueState(500, 10_000_000)
    assert refusal_if_needed(NEED, unknown, Random(1)) is None
    assert make_refusal(NEED, unknown, RefusalReason.LINE_FULL, Random(1)).place_reserved is False


def test_workspace_over_its_share_is_refused_first():
    overload_s = refusals.OVERLOAD_SHARE * NEED.first_event_due_in_s
    assert (
        refusal_if_needed(NEED, queue_state(overload_s - 0.1, over_share=True), Random(1)) is None
    )
    refused = refusal_if_needed(NEED, queue_state(overload_s + 0.1, over_share=True), Random(1))
    assert refused.reason is RefusalReason.OVER_SHARE
    # Capacity is expected within a retry time that the caller respects.
    assert refused.place_reserved
    assert refusal_if_needed(NEED, queue_state(5.0), Random(1)) is None


def test_announced_retry_is_not_refused_for_its_workspace_share():
    retry = need_with(is_announced_retry=True)
    assert refusal_if_needed(retry, queue_state(5.0, over_share=True), Random(1)) is None


def test_reserved_capacity_is_not_given_to_new_requests():
    few, many = queue_state(1.0, reserved_tokens=1000), queue_state(1.0, reserved_tokens=500_000)
    assert expected_wait_s(NEED, few) == pytest.approx(1.05)
    # Retries are spread over time, so they take no more than their share.
    assert expected_wait_s(NEED, many) == pytest.approx(1.0 / (1.0 - refusals.RESERVED_SHARE))
    assert expected_wait_s(need_with(is_announced_retry=True), many) == pytest.approx(1.0)


def test_reservations_are_limited_to_their_share_of_the_capacity():
    reserved_tokens = refusals.MAX_RETRY_AFTER_S * GRANT_RATE * refusals.RESERVED_SHARE
    patient = need_with(give_up_in_s=math.inf)
    state = queue_state(1.0, reserved_tokens=round(reserved_tokens) - NEED.tokens - 5000)
    assert make_refusal(patient, state, RefusalReason.OVER_SHARE, Random(1)).place_reserved
    state = queue_state(1.0, reserved_tokens=round(reserved_tokens))
    assert not make_refusal(patient, state, RefusalReason.OVER_SHARE, Random(1)).place_reserved


@pytest.mark.parametrize("rate", [0.0, 1e-300, 0.1, 1000.0])
@pytest.mark.parametrize("give_up_in_s", [-1.0, 0.0, 0.2, 39.0, math.inf])
@pytest.mark.parametrize("reason", list(RefusalReason))
def test_retry_times_are_finite_and_bounded(rate, give_up_in_s, reason):
    need = need_with(give_up_in_s=give_up_in_s)
    state = QueueState(10, 100_000, rate, 50_000)
    assert math.isfinite(expected_wait_s(need, state))
    retry_after_s = make_refusal(need, state, reason, Random(1)).retry_after_s
    assert refusals.MIN_RETRY_AFTER_S <= retry_after_s <= refusals.MAX_RETRY_AFTER_S
    assert retry_after_s <= max(refusals.MIN_RETRY_AFTER_S, refusals.RESPECTED_SHARE * give_up_in_s)


def test_retry_time_with_reservation_is_not_before_the_expected_capacity():
    for seed in range(50):
        refused = make_refusal(NEED, queue_state(5.0), RefusalReason.LINE_FULL, Random(seed))
        assert refused.place_reserved and 5.0 <= refused.retry_after_s <= 5.5


def test_successive_reservations_are_spread_over_time():
    random, reserved_tokens, times = Random(1), 0, []
    for _ in range(4):
        refused = make_refusal(
            NEED, queue_state(0.5, reserved_tokens), RefusalReason.LINE_FULL, random
        )
        assert refused.place_reserved
        times.append(refused.retry_after_s)
        reserved_tokens += NEED.tokens
    slot_s = NEED.tokens / (refusals.RESERVED_SHARE * GRANT_RATE)
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert all(gap > slot_s / 2 for gap in gaps)


def test_maximum_retry_times_are_spread_by_jitter():
    random = Random(1)
    times = sorted(
        make_refusal(NEED, queue_state(60.0), RefusalReason.NO_ROOM, random).retry_after_s
        for _ in range(100)
    )
    assert times[-1] <= 13.0
    assert times[-1] - times[0] > 1.0


def test_unused_share_of_a_workspace_goes_to_the_others():
    demand = {"small": 10.0, "middle": 30.0, "large": 100.0}
    assert fair_share(demand, 100.0) == pytest.approx(60.0)
    assert [name for name in demand if is_over_share(name, demand, 100.0)] == ["large"]


def test_no_workspace_is_over_its_share_if_capacity_suffices():
    assert fair_share({"large": 90.0, "small": 10.0}, 100.0) == math.inf
    assert not is_over_share("large", {"large": 90.0, "small": 10.0}, 100.0)
    assert not is_over_share("nobody", {}, 0.0)


def test_all_workspaces_of_equal_excess_demand_are_over_their_share():
    demand = {str(number): 50.0 for number in range(4)}
    assert all(is_over_share(name, demand, 100.0) for name in demand)
