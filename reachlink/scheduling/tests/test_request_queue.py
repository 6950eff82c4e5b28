"""Who goes first of those that wait for room."""

from random import Random

import msgspec
import pytest

from reachlink.scheduling import Need, Refuse, RequestQueue, Wait, best_start, expected_wait_s
from reachlink.scheduling._request_queue import (
    LOW_PRIORITY_SHARE,
    MAX_CLASS_RATES,
    MAX_OVERTAKEN_S,
    ROOM_RESERVED_S,
)
from reachlink.scheduling._shares import MAX_WORKSPACES, WorkspaceShares

LEASE_S = 10.0
USUAL = Need(tokens=4000, prompt_tokens=3000, first_event_due_in_s=4.0, give_up_in_s=39.0)


def join(line: RequestQueue, name: str, now: float = 0.0, **changes: object) -> None:
    line.join(name, "e1", msgspec.structs.replace(USUAL, **changes), now, LEASE_S)


def names(line: RequestQueue, now: float) -> list[str]:
    return [waiting.request_id for waiting in line.order(now)]


def test_longest_waiting_request_goes_first_among_equals():
    line = RequestQueue()
    join(line, "second", 0.2)
    join(line, "first", 0.1)
    assert names(line, 0.3) == ["first", "second"]


def test_repeated_join_keeps_position():
    line = RequestQueue()
    join(line, "first", 0.0)
    join(line, "second", 0.1)
    join(line, "first", 0.5)
    assert names(line, 0.6) == ["first", "second"]
    assert len(line) == 2


def test_retry_is_credited_with_time_of_refused_attempts():
    line = RequestQueue()
    join(line, "new", 0.0)
    join(line, "back", 0.1, waited_s=3.0, is_announced_retry=True)
    assert names(line, 0.2) == ["back", "new"]


def test_request_that_can_be_in_time_goes_before_late_one():
    line = RequestQueue()
    join(line, "late", 0.0, first_event_due_in_s=-1.0, priority=0)
    join(line, "in time", 0.1)
    assert names(line, 0.2) == ["in time", "late"]


def test_request_is_late_if_its_prompt_takes_longer_than_remaining_time():
    line = RequestQueue()
    join(line, "long prompt", 0.0, first_event_due_in_s=0.3)
    join(line, "short prompt", 0.1, first_event_due_in_s=0.3, prompt_tokens=100)
    assert names(line, 0.1) == ["short prompt", "long prompt"]


def test_more_urgent_request_goes_first():
    line = RequestQueue()
    join(line, "usual", 0.0)
    join(line, "urgent", 0.1, priority=1)
    assert names(line, 0.2) == ["urgent", "usual"]


def test_workspace_with_smallest_recent_grants_goes_first():
    line = RequestQueue()
    for number in range(3):
        join(line, f"large-{number}", 0.0, workspace="large")
        line.grant(f"large-{number}", 0.0)
    join(line, "large", 0.1, workspace="large")
    join(line, "small", 0.2, workspace="small")
    assert names(line, 0.3) == ["small", "large"]


def test_old_grants_do_not_count():
    line = RequestQueue()
    join(line, "large-0", 0.0, workspace="large")
    line.grant("large-0", 0.0)
    join(line, "large", 300.0, workspace="large")
    join(line, "small", 300.1, workspace="small")
    assert names(line, 300.2) == ["large", "small"]


def test_immediate_starts_count_as_grants_of_their_workspace():
    line = RequestQueue()
    line.record_immediate_start(msgspec.structs.replace(USUAL, workspace="large"), 0.0)
    line.record_immediate_start(msgspec.structs.replace(USUAL, workspace="large"), 0.0)
    join(line, "large", 0.0, workspace="large")
    join(line, "small", 0.1, workspace="small")
    assert names(line, 0.2) == ["small", "large"]


def test_less_urgent_requests_get_their_share_under_urgent_load():
    line = RequestQueue()
    granted = {1: 0, 5: 0}
    for number in range(400):
        now = number * 0.01
        for priority in (1, 5):
            join(line, f"{priority}-{number}", now, priority=priority)
        head = line.head(now)
        line.grant(head.request_id, now)
        granted[head.need.priority] += head.need.tokens
    part = granted[5] / sum(granted.values())
    assert part == pytest.approx(LOW_PRIORITY_SHARE, abs=0.03)


def test_share_of_less_urgent_requests_does_not_accumulate_while_none_waits():
    line = RequestQueue()
    for number in range(100):
        join(line, f"urgent-{number}", 0.0, priority=1)
    for number in range(99):
        line.grant(f"urgent-{number}", 0.1)
    join(line, "usual", 0.2)
    assert names(line, 0.3) == ["urgent-99", "usual"]


def test_capacity_is_reserved_for_overtaken_request_for_limited_time():
    line = RequestQueue()
    join(line, "large", 0.0, tokens=20_000)
    waiting = line.find("large")
    assert not waiting.reserves_room(0.1)
    waiting.record_overtaken(0.1)
    waiting.record_overtaken(0.3)
    assert not waiting.reserves_room(0.1 + 0.9 * MAX_OVERTAKEN_S)
    assert waiting.reserves_room(0.1 + MAX_OVERTAKEN_S)
    over_at = 0.1 + MAX_OVERTAKEN_S + ROOM_RESERVED_S
    assert not waiting.reserves_room(over_at)
    waiting.record_overtaken(over_at)
    assert not waiting.reserves_room(over_at)
    assert waiting.reserves_room(over_at + 1.01 * MAX_OVERTAKEN_S)


def test_request_without_renewed_lease_is_removed():
    line = RequestQueue()
    join(line, "gone", 0.0)
    join(line, "there", 0.0)
    join(line, "there", 5.0)
    assert [w.request_id for w in line.expire(LEASE_S)] == ["gone"]
    assert names(line, LEASE_S) == ["there"]


def test_request_that_cannot_end_before_its_caller_leaves_is_removed():
    line = RequestQueue()
    join(line, "id-1", 0.0, give_up_in_s=9.0)
    runs_s = 9.0 - line.find("id-1").latest_start_at
    # A thousand tokens at 8 ms each, and a prompt, but not more than half of its time.
    assert runs_s == pytest.approx(4.5)
    join(line, "id-2", 0.0, give_up_in_s=30.0)
    assert 19.0 < line.find("id-2").latest_start_at < 22.0
    assert [w.request_id for w in line.expire(4.6)] == ["id-1"]


def test_full_queue_sheds_youngest_late_request_first():
    line = RequestQueue(max_waiting=3)
    join(line, "late old", 0.0, first_event_due_in_s=-1.0)
    join(line, "late young", 0.1, first_event_due_in_s=-1.0)
    join(line, "usual", 0.2)
    assert line.shed(0.2) is None
    join(line, "newest", 0.3)
    assert line.shed(0.3).request_id == "late young"
    assert line.shed(0.3) is None
    assert len(line) == 3


def test_full_queue_without_late_requests_sheds_youngest_of_least_urgent():
    line = RequestQueue(max_waiting=2)
    join(line, "usual old", 0.0)
    join(line, "usual young", 0.1)
    join(line, "urgent", 0.2, priority=1)
    assert line.shed(0.2).request_id == "usual young"


def test_full_queue_sheds_requests_of_workspace_with_largest_demand():
    line = RequestQueue(max_waiting=6)
    for number in range(6):
        join(line, f"large-{number}", 0.1 * number, workspace="large")
    for number in range(3):
        join(line, f"small-{number}", 1.0, workspace=f"small-{number}")
        assert line.shed(1.0).request_id == f"large-{5 - number}"


def test_full_queue_sheds_request_of_workspace_with_most_recent_grants():
    line = RequestQueue(max_waiting=2)
    for _ in range(3):
        line.record_immediate_start(msgspec.structs.replace(USUAL, workspace="large"), 0.0)
    join(line, "large", 0.0, workspace="large")
    join(line, "small", 0.1, workspace="small")
    join(line, "other", 0.2, workspace="other")
    assert line.shed(0.2).request_id == "large"


def test_removed_request_is_not_counted_ahead_of_others():
    line = RequestQueue()
    join(line, "first", 0.0)
    join(line, "second", 0.1)
    assert line.state_ahead_of(line.find("second"), 0.1).ahead == 1
    assert line.leave("first", 0.2).request_id == "first"
    assert line.leave("first", 0.2) is None
    assert line.state_ahead_of(line.find("second"), 0.5).ahead == 0


def drained(line: RequestQueue, per_s: int, until: float = 5.0, **changes: object) -> None:
    """Have so many usual requests wait and be granted each second, with one left waiting."""
    join(line, "last", 0.0, **changes)
    for number in range(int(per_s * until)):
        now = number / per_s
        join(line, f"n{number}", now, **changes)
        line.expire(now)
        line.grant(f"n{number}", now)


def test_state_holds_requests_ahead_and_grant_rate():
    line = RequestQueue()
    drained(line, 10, first_event_due_in_s=100.0)
    join(line, "id-1", 5.0, first_event_due_in_s=100.0)
    state = line.state_ahead_of(line.find("id-1"), 5.0)
    assert (state.ahead, state.ahead_tokens) == (1, 4000)
    assert state.granted_tokens_per_s == pytest.approx(40_000, rel=0.1)


def test_grant_rate_is_that_of_the_same_priority():
    line = RequestQueue()
    join(line, "usual", 0.0, first_event_due_in_s=100.0)
    drained(line, 10, priority=1)
    join(line, "id-1", 5.0, first_event_due_in_s=100.0)
    state = line.state_ahead_of(line.find("id-1"), 5.0)
    assert state.granted_tokens_per_s < 2000


def test_request_that_would_become_late_is_estimated_by_rate_of_late_ones():
    line = RequestQueue()
    join(line, "late", 0.0, first_event_due_in_s=-1.0)
    for number in range(60):
        join(line, f"waits-{number}", 0.0, first_event_due_in_s=100.0)
    drained(line, 2, first_event_due_in_s=100.0)
    join(line, "id-1", 5.0, first_event_due_in_s=4.0)
    state = line.state_ahead_of(line.find("id-1"), 5.0)
    assert state.granted_tokens_per_s < 2000
    # It becomes late first, and those before it that will be late go before it then.
    assert expected_wait_s(USUAL, state) > 120.0


def test_request_waits_while_grant_rate_is_unknown():
    line = RequestQueue()
    for number in range(50):
        join(line, f"waits-{number}", 0.0)
    state = line.state_ahead_of(line.find("waits-49"), 0.0)
    assert isinstance(best_start([], USUAL, Random(1), state), Wait)


def test_request_that_cannot_start_before_its_caller_leaves_is_refused():
    line = RequestQueue()
    drained(line, 1)
    for number in range(60):
        join(line, f"waits-{number}", 5.0)
    state = line.state_ahead_of(line.find("waits-59"), 5.0)
    start = best_start([], USUAL, Random(1), state)
    assert isinstance(start, Refuse)
    assert expected_wait_s(USUAL, state) > USUAL.give_up_in_s
    # Its caller keeps to no longer time, and no place is promised for then.
    assert start.retry_after_s <= USUAL.give_up_in_s / 3.0
    assert not start.place_reserved


def test_grant_rate_of_an_earlier_overload_is_forgotten():
    line = RequestQueue()
    for number in range(5):
        join(line, f"stuck-{number}", 0.0, first_event_due_in_s=100.0)
    for tenth in range(60):
        line.expire(tenth / 10.0)
    for number in range(5):
        line.leave(f"stuck-{number}", 6.0)
    line.expire(6.0)
    for number in range(10):
        join(line, f"waits-{number}", 600.0, first_event_due_in_s=100.0)
        line.expire(600.0)
    state = line.state_ahead_of(line.find("waits-9"), 600.0)
    assert isinstance(best_start([], USUAL, Random(1), state), Wait)


def test_grant_rate_survives_a_short_pause():
    line = RequestQueue()
    drained(line, 10, first_event_due_in_s=100.0)
    line.leave("last", 5.0)
    line.expire(5.0)
    join(line, "id-1", 5.5, first_event_due_in_s=100.0)
    state = line.state_ahead_of(line.find("id-1"), 5.5)
    assert state.granted_tokens_per_s == pytest.approx(40_000, rel=0.15)


def test_state_tells_whether_workspace_is_over_its_share():
    line = RequestQueue()
    drained(line, 1, workspace="other", first_event_due_in_s=100.0)
    for number in range(30):
        join(line, f"large-{number}", 5.0, workspace="large", first_event_due_in_s=100.0)
    join(line, "small", 5.0, workspace="small", first_event_due_in_s=100.0)
    large, small = (line.find(name) for name in ("large-29", "small"))
    assert line.state_ahead_of(large, 5.2).over_share
    assert not line.state_ahead_of(small, 5.2).over_share


def test_no_workspace_is_over_its_share_while_grant_rate_is_unknown():
    line = RequestQueue()
    for number in range(100):
        join(line, f"large-{number}", 0.0, workspace="large")
    assert not line.state_ahead_of(line.find("large-99"), 0.2).over_share


def test_number_of_workspaces_in_shares_is_bounded():
    shares = WorkspaceShares()
    shares.add("large", 1_000_000, 0.0)
    for number in range(2 * MAX_WORKSPACES):
        shares.add(f"w{number}", 4000, 0.0)
    assert len(shares) == MAX_WORKSPACES
    assert shares.rank("large", 0.0) == 250


def test_number_of_measured_classes_is_bounded():
    line = RequestQueue()
    for number in range(3 * MAX_CLASS_RATES):
        join(line, f"id-{number}", 0.0, priority=number)
    line.expire(0.1)
    assert len(line._class_rates) == MAX_CLASS_RATES


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_request_is_lost_or_duplicated_under_random_operations(seed):
    random = Random(seed)
    line = RequestQueue(max_waiting=20)
    there: set[str] = set()
    for number in range(2000):
        now = number * 0.01
        name = f"id-{random.randrange(200)}"
        if random.random() < 0.6:
            join(
                line,
                name,
                now,
                priority=random.randrange(3),
                first_event_due_in_s=random.uniform(-1, 2),
            )
            there.add(name)
            shed = line.shed(now)
            if shed is not None:
                there.remove(shed.request_id)
        elif line.grant(name, now) is not None or line.leave(name, now) is not None:
            there.remove(name)
        there.difference_update(w.request_id for w in line.expire(now))
        order = names(line, now)
        assert set(order) == there and len(order) == len(there) <= 20
