"""Refusals without a time to wait: the wait that results, and what ends it; no network."""

import pytest

from reachlink.pacing import RefusalTracker
from reachlink.pacing import _refusals as refusals

A, B = "10.0.0.1:1", "10.0.0.2:1"


@pytest.fixture
def tracker() -> RefusalTracker:
    return RefusalTracker()


def refuse(tracker: RefusalTracker, times: int) -> float:
    """Reject requests that are sent as soon as possible; return the time of the last refusal."""
    now = 0.0
    for _ in range(times - 1):
        tracker.note_refused(A, now, now)
        now += tracker.remaining_s(A, now)
        tracker.note_sent(A, now)
    tracker.note_refused(A, now, now)
    return now


def test_first_refusal_causes_a_short_wait(tracker):
    tracker.note_refused(A, 0.0, 0.01)
    assert tracker.remaining_s(A, 0.01) == refusals.FIRST_WAIT_S
    assert tracker.remaining_s(A, 0.01 + refusals.FIRST_WAIT_S) == 0.0
    assert tracker.remaining_s(B, 0.01) == 0.0


def test_no_probe_is_needed_after_a_single_refusal(tracker):
    now = refuse(tracker, 1) + refusals.FIRST_WAIT_S
    tracker.note_sent(A, now)
    assert tracker.remaining_s(A, now) == 0.0


def test_wait_doubles_with_consecutive_refusals_up_to_a_bound(tracker):
    waits = []
    for times in range(1, 12):
        fresh = RefusalTracker()
        waits.append(fresh.remaining_s(A, refuse(fresh, times)))
    assert waits[:3] == pytest.approx([refusals.FIRST_WAIT_S * 2**n for n in range(3)])
    assert waits[-1] == pytest.approx(refusals.MAX_WAIT_S)


def test_concurrent_refusals_count_as_one(tracker):
    for number in range(10):
        tracker.note_refused(A, 0.0, 0.01 + number * 0.001)
    assert tracker.remaining_s(A, 0.01) == refusals.FIRST_WAIT_S


def test_probe_is_sent_alone_after_consecutive_refusals(tracker):
    now = refuse(tracker, 3)
    now += tracker.remaining_s(A, now)
    tracker.note_sent(A, now)
    assert tracker.remaining_s(A, now) == pytest.approx(refusals.PROBE_TIMEOUT_S)
    # Without an answer, other requests follow.
    assert tracker.remaining_s(A, now + refusals.PROBE_TIMEOUT_S) == 0.0


def test_first_later_answer_ends_tracking(tracker):
    now = refuse(tracker, 5)
    tracker.note_accepted(A, now + 1.0)
    assert tracker.is_empty


def test_answer_to_an_earlier_request_ends_the_wait(tracker):
    now = refuse(tracker, 5)
    tracker.note_accepted(A, now - 0.5)
    assert tracker.remaining_s(A, now) == 0.0
    # There is no probe after such an answer. The replica still counts as refusing: it may be full
    # again, and only requests that can be retried should go there.
    tracker.note_sent(A, now)
    assert tracker.remaining_s(A, now) == 0.0
    assert tracker.is_refusing(A, now)
    # A further refusal starts again with the shortest wait.
    assert tracker.note_refused(A, now, now) == refusals.FIRST_WAIT_S


def test_refusals_expire_if_no_request_is_sent(tracker):
    now = refuse(tracker, 5)
    assert tracker.is_refusing(A, now + refusals.EXPIRY_S - 0.1)
    assert not tracker.is_refusing(A, now + refusals.EXPIRY_S)
    assert tracker.is_empty


def test_number_of_replicas_is_bounded_and_the_oldest_is_dropped(tracker):
    for number in range(refusals.MAX_TRACKED_REPLICAS + 1):
        tracker.note_refused(f"{number}:1", 0.0, number * 0.001)
    assert not tracker.remaining_s("0:1", 0.0)
    assert tracker.is_refusing(f"{refusals.MAX_TRACKED_REPLICAS}:1", 2.0)
