"""Wrong order, positions or grant rates in the queue make requests starve or be refused."""

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
NEED = Need(tokens=4000, prompt_tokens=3000, first_event_due_in_s=4.0, give_up_in_s=39.0)


def join(queue: RequestQueue, name: str, now: float = 0.0, **changes: object) -> None:
    queue.join(name, "e1", msgspec.structs.replace(NEED, **changes), now, LEASE_S)


def order(queue: RequestQueue, now: float) -> list[str]:
    return [waiting.request_id for waiting in queue.order(now)]


def test_longest_waiting_request_goes_first_among_equals():
    queue = RequestQueue()
    join(queue, "second", 0.2)
    join(queue, "first", 0.1)
    assert order(queue, 0.3) == ["first", "second"]


def test_repeated_join_keeps_position():
    queue = RequestQueue()
    join(queue, "first", 0.0)
    join(queue, "second", 0.1)
    join(queue, "first", 0.5)
    assert order(queue, 0.6) == ["first", "second"]
    assert len(queue) == 2


def test_retry_is_credited_with_time_of_refused_attempts():
    queue = RequestQueue()
    join(queue, "new", 0.0)
    join(queue, "back", 0.1, waited_s=3.0, is_announced_retry=True)
    assert order(queue, 0.2) == ["back", "new"]


def test_request_that_can_be_in_time_goes_before_late_one():
    queue = RequestQueue()
    join(queue, "late", 0.0, first_event_due_in_s=-1.0, priority=0)
    join(queue, "in time", 0.1)
    assert order(queue, 0.2) == ["in time", "late"]


def test_request_is_late_if_its_prompt_takes_longer_than_remaining_time():
    queue = RequestQueue()
    join(queue, "long prompt", 0.0, first_event_due_in_s=0.3)
    join(queue, "short prompt", 0.1, first_event_due_in_s=0.3, prompt_tokens=100)
    assert order(queue, 0.1) == ["short prompt", "long prompt"]


def test_more_urgent_request_goes_first():
    queue = RequestQueue()
    join(queue, "usual", 0.0)
    join(queue, "urgent", 0.1, priority=1)
    assert order(queue, 0.2) == ["urgent", "usual"]


def test_workspace_with_smallest_recent_grants_goes_first():
    queue = RequestQueue()
    for number in range(3):
        join(queue, f"large-{number}", 0.0, workspace="large")
        queue.grant(f"large-{number}", 0.0)
    join(queue, "large", 0.1, workspace="large")
    join(queue, "small", 0.2, workspace="small")
    assert order(queue, 0.3) == ["small", "large"]


def test_old_grants_do_not_count():
    queue = RequestQueue()
    join(queue, "large-0", 0.0, workspace="large")
    queue.grant("large-0", 0.0)
    join(queue, "large", 300.0, workspace="large")
    join(queue, "small", 300.1, workspace="small")
    assert order(queue, 300.2) == ["large", "small"]


def test_immediate_starts_count_as_grants_of_their_workspace():
    queue = RequestQueue()
    queue.record_immediate_start(msgspec.structs.replace(NEED, workspace="large"), 0.0)
    queue.record_immediate_start(msgspec.structs.replace(NEED, workspace="large"), 0.0)
    join(queue, "large", 0.0, workspace="large")
    join(queue, "small", 0.1, workspace="small")
    assert order(queue, 0.2) == ["small", "large"]


def test_less_urgent_requests_get_their_share_under_urgent_load():
    queue = RequestQueue()
    granted = {1: 0, 5: 0}
    for number in range(400):
        now = number * 0.01
        for priority in (1, 5):
            join(queue, f"{priority}-{number}", now, priority=priority)
        head = queue.head(now)
        queue.grant(head.request_id, now)
        granted[head.need.priority] += head.need.tokens
    share = granted[5] / sum(granted.values())
    assert share == pytest.approx(LOW_PRIORITY_SHARE, abs=0.03)


def test_share_of_less_urgent_requests_does_not_accumulate_while_none_waits():
    queue = RequestQueue()
    for number in range(100):
        join(queue, f"urgent-{number}", 0.0, priority=1)
    for number in range(99):
        queue.grant(f"urgent-{number}", 0.1)
    join(queue, "usual", 0.2)
    assert order(queue, 0.3) == ["urgent-99", "usual"]


def test_capacity_is_reserved_for_overtaken_request_for_limited_time():
    queue = RequestQueue()
    join(queue, "large", 0.0, tokens=20_000)
    waiting = queue.find("large")
    assert not waiting.reserves_room(0.1)
    waiting.record_overtaken(0.1)
    waiting.record_overtaken(0.3)
    assert not waiting.reserves_room(0.1 + 0.9 * MAX_OVERTAKEN_S)
    assert waiting.reserves_room(0.1 + MAX_OVERTAKEN_S)
    reserved_until = 0.1 + MAX_OVERTAKEN_S + ROOM_RESERVED_S
    assert not waiting.reserves_room(reserved_until)
    waiting.record_overtaken(reserved_until)
    assert not waiting.reserves_room(reserved_until)
    assert waiting.reserves_room(reserved_until + 1.01 * MAX_OVERTAKEN_S)


def test_request_without_renewed_lease_is_removed():
    queue = RequestQueue()
    join(queue, "gone", 0.0)
    join(queue, "there", 0.0)
    join(queue, "there", 5.0)
    assert [w.request_id for w in queue.expire(LEASE_S)] == ["gone"]
    assert order(queue, LEASE_S) == ["there"]


def test_request_that_cannot_end_before_its_caller_leaves_is_removed():
    queue = RequestQueue()
    join(queue, "id-1", 0.0, give_up_in_s=9.0)
    run_s = 9.0 - queue.find("id-1").latest_start_at
    # A thousand output tokens at 8 ms each and the prompt, limited to half of the time left.
    assert run_s == pytest.approx(4.5)
    join(queue, "id-2", 0.0, give_up_in_s=30.0)
    assert 19.0 < queue.find("id-2").latest_start_at < 22.0
    assert [w.request_id for w in queue.expire(4.6)] == ["id-1"]


def test_full_queue_sheds_youngest_late_request_first():
    queue = RequestQueue(max_waiting=3)
    join(queue, "late old", 0.0, first_event_due_in_s=-1.0)
    join(queue, "late young", 0.1, first_event_due_in_s=-1.0)
    join(queue, "usual", 0.2)
    assert queue.shed(0.2) is None
    join(queue, "newest", 0.3)
    assert queue.shed(0.3).request_id == "late young"
    assert queue.shed(0.3) is None
    assert len(queue) == 3


def test_full_queue_without_late_requests_sheds_youngest_of_least_urgent():
    queue = RequestQueue(max_waiting=2)
    join(queue, "usual old", 0.0)
    join(queue, "usual young", 0.1)
    join(queue, "urgent", 0.2, priority=1)
    assert queue.shed(0.2).request_id == "usual young"


def test_full_queue_sheds_requests_of_workspace_with_largest_demand():
    queue = RequestQueue(max_waiting=6)
    for number in range(6):
        join(queue, f"large-{number}", 0.1 * number, workspace="large")
    for number in range(3):
        join(queue, f"small-{number}", 1.0, workspace=f"small-{number}")
        assert queue.shed(1.0).request_id == f"large-{5 - number}"


def test_full_queue_sheds_request_of_workspace_with_most_recent_grants():
    queue = RequestQueue(max_waiting=2)
    for _ in range(3):
        queue.record_immediate_start(msgspec.structs.replace(NEED, workspace="large"), 0.0)
    join(queue, "large", 0.0, workspace="large")
    join(queue, "small", 0.1, workspace="small")
    join(queue, "other", 0.2, workspace="other")
    assert queue.shed(0.2).request_id == "large"


def test_removed_request_is_not_counted_ahead_of_others():
    queue = RequestQueue()
    join(queue, "first", 0.0)
    join(queue, "second", 0.1)
    assert queue.state_ahead_of(queue.find("second"), 0.1).ahead == 1
    assert queue.leave("first", 0.2).request_id == "first"
    assert queue.leave("first", 0.2) is None
    assert queue.state_ahead_of(queue.find("second"), 0.5).ahead == 0


def grant_at_rate(queue: RequestQueue, per_s: int, until: float = 5.0, **changes: object) -> None:
    """Let a number of requests per second wait and be granted, with one always waiting."""
    join(queue, "last", 0.0, **changes)
    for number in range(int(per_s * until)):
        now = number / per_s
        join(queue, f"n{number}", now, **changes)
        queue.expire(now)
        queue.grant(f"n{number}", now)


def test_state_holds_requests_ahead_and_grant_rate():
    queue = RequestQueue()
    grant_at_rate(queue, 10, first_event_due_in_s=100.0)
    join(queue, "id-1", 5.0, first_event_due_in_s=100.0)
    state = queue.state_ahead_of(queue.find("id-1"), 5.0)
    assert (state.ahead, state.ahead_tokens) == (1, 4000)
    assert state.granted_tokens_per_s == pytest.approx(40_000, rel=0.1)


def test_grant_rate_is_that_of_the_same_priority():
    queue = RequestQueue()
    join(queue, "usual", 0.0, first_event_due_in_s=100.0)
    grant_at_rate(queue, 10, priority=1)
    join(queue, "id-1", 5.0, first_event_due_in_s=100.0)
    state = queue.state_ahead_of(queue.find("id-1"), 5.0)
    assert state.granted_tokens_per_s < 2000


def test_request_that_would_become_late_is_estimated_by_rate_of_late_ones():
    queue = RequestQueue()
    join(queue, "late", 0.0, first_event_due_in_s=-1.0)
    for number in range(60):
        join(queue, f"waits-{number}", 0.0, first_event_due_in_s=100.0)
    grant_at_rate(queue, 2, first_event_due_in_s=100.0)
    join(queue, "id-1", 5.0, first_event_due_in_s=4.0)
    state = queue.state_ahead_of(queue.find("id-1"), 5.0)
    assert state.granted_tokens_per_s < 2000
    # It becomes late before its turn; the requests ahead that become late stay ahead of it.
    assert expected_wait_s(NEED, state) > 120.0


def test_request_waits_while_grant_rate_is_unknown():
    queue = RequestQueue()
    for number in range(50):
        join(queue, f"waits-{number}", 0.0)
    state = queue.state_ahead_of(queue.find("waits-49"), 0.0)
    assert isinstance(best_start([], NEED, Random(1), state), Wait)


def test_request_that_cannot_start_before_its_caller_leaves_is_refused():
    queue = RequestQueue()
    grant_at_rate(queue, 1)
    for number in range(60):
        join(queue, f"waits-{number}", 5.0)
    state = queue.state_ahead_of(queue.find("waits-59"), 5.0)
    start = best_start([], NEED, Random(1), state)
    assert isinstance(start, Refuse)
    assert expected_wait_s(NEED, state) > NEED.give_up_in_s
    # Its caller respects no longer retry time, and no place is reserved at that time.
    assert start.retry_after_s <= NEED.give_up_in_s / 3.0
    assert not start.place_reserved


def test_grant_rate_of_an_earlier_overload_is_forgotten():
    queue = RequestQueue()
    for number in range(5):
        join(queue, f"stuck-{number}", 0.0, first_event_due_in_s=100.0)
    for tenth in range(60):
        queue.expire(tenth / 10.0)
    for number in range(5):
        queue.leave(f"stuck-{number}", 6.0)
    queue.expire(6.0)
    for number in range(10):
        join(queue, f"waits-{number}", 600.0, first_event_due_in_s=100.0)
        queue.expire(600.0)
    state = queue.state_ahead_of(queue.find("waits-9"), 600.0)
    assert isinstance(best_start([], NEED, Random(1), state), Wait)


def test_grant_rate_survives_a_short_pause():
    queue = RequestQueue()
    grant_at_rate(queue, 10, first_event_due_in_s=100.0)
    queue.leave("last", 5.0)
    queue.expire(5.0)
    join(queue, "id-1", 5.5, first_event_due_in_s=100.0)
    state = queue.state_ahead_of(queue.find("id-1"), 5.5)
    assert state.granted_tokens_per_s == pytest.approx(40_000, rel=0.15)


def test_state_tells_whether_workspace_is_over_its_share():
    queue = RequestQueue()
    grant_at_rate(queue, 1, workspace="other", first_event_due_in_s=100.0)
    for number in range(30):
        join(queue, f"large-{number}", 5.0, workspace="large", first_event_due_in_s=100.0)
    join(queue, "small", 5.0, workspace="small", first_event_due_in_s=100.0)
    large, small = (queue.find(name) for name in ("large-29", "small"))
    assert queue.state_ahead_of(large, 5.2).over_share
    assert not queue.state_ahead_of(small, 5.2).over_share


def test_no_workspace_is_over_its_share_while_grant_rate_is_unknown():
    queue = RequestQueue()
    for number in range(100):
        join(queue, f"large-{number}", 0.0, workspace="large")
    assert not queue.state_ahead_of(queue.find("large-99"), 0.2).over_share


def test_number_of_workspaces_in_shares_is_bounded():
    shares = WorkspaceShares()
    shares.add("large", 1_000_000, 0.0)
    for number in range(2 * MAX_WORKSPACES):
        shares.add(f"w{number}", 4000, 0.0)
    assert len(shares) == MAX_WORKSPACES
    assert shares.rank("large", 0.0) == 250


def test_number_of_measured_classes_is_bounded():
    queue = RequestQueue()
    for number in range(3 * MAX_CLASS_RATES):
        join(queue, f"id-{number}", 0.0, priority=number)
    queue.expire(0.1)
    assert len(queue._class_rates) == MAX_CLASS_RATES


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_request_is_lost_or_duplicated_under_random_operations(seed):
    random = Random(seed)
    queue = RequestQueue(max_waiting=20)
    queued: set[str] = set()
    for number in range(2000):
        now = number * 0.01
        name = f"id-{random.randrange(200)}"
        if random.random() < 0.6:
            join(
                queue,
                name,
                now,
                priority=random.randrange(3),
                first_event_due_in_s=random.uniform(-1, 2),
            )
            queued.add(name)
            shed = queue.shed(now)
            if shed is not None:
                queued.remove(shed.request_id)
        elif queue.grant(name, now) is not None or queue.leave(name, now) is not None:
            queued.remove(name)
        queued.difference_update(w.request_id for w in queue.expire(now))
        request_ids = order(queue, now)
        assert set(request_ids) == queued and len(request_ids) == len(queued) <= 20
