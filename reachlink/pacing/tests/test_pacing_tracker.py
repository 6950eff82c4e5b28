"""Backoffs, rate limits and refusals of a replica combined into one decision; no network."""

from random import Random

import pytest

from reachlink.pacing import HoldReason, PacingTracker
from reachlink.pacing import _backoffs as backoffs
from reachlink.pacing import _refusals as refusals
from reachlink.pacing._limits import MAX_PERMIT_POLL_S

A, B = "10.0.0.1:1", "10.0.0.2:1"
BACKOFF_S = 3.0
LATEST_END_S = BACKOFF_S + backoffs.MAX_SPREAD_S


@pytest.fixture
def tracker() -> PacingTracker:
    return PacingTracker(Random(1))


def block(tracker: PacingTracker, address: str, until: float) -> None:
    tracker.limits.record(address, 3.3, 0.0)
    tracker.limits.block(address, until, 0.0)


def test_hold_lasts_until_the_first_backoff_ends(tracker):
    assert tracker.hold([], 0.0) is None
    tracker.backoffs.record(A, 30.0, 0.0)
    assert tracker.hold([A, B], 0.0) is None
    tracker.backoffs.record(B, 3.0, 0.0)
    hold = tracker.hold([A, B], 0.0)
    assert hold.reason is HoldReason.BACKOFF
    assert 3.0 <= hold.remaining_s <= LATEST_END_S
    # The backoff is over, but the replica is not at its usual load yet.
    assert tracker.hold([A, B], LATEST_END_S).remaining_s == 0.0


def test_hold_has_the_reason_of_the_first_available_replica(tracker):
    tracker.backoffs.record(A, 30.0, 0.0)
    block(tracker, B, 0.5)
    hold = tracker.hold([A, B], 0.0)
    assert (hold.reason, hold.remaining_s) == (HoldReason.LIMIT, 0.5)
    # A replica with a limit and a free permit counts as fully available.
    assert tracker.hold([A, B], 0.6) is None


def test_backoff_and_limit_both_block_a_replica(tracker):
    tracker.backoffs.record(A, BACKOFF_S, 0.0)
    assert not tracker.admits(A, BACKOFF_S)
    block(tracker, A, 60.0)
    assert tracker.remaining_s(A, 0.0) == 60.0
    assert not tracker.admits(A, MAX_PERMIT_POLL_S)
    block(tracker, B, 0.4)
    assert not tracker.admits(B, 0.3)
    assert tracker.admits(B, 0.4)


def test_requests_may_wait_for_a_permit_but_not_for_a_backoff(tracker):
    block(tracker, A, 0.4)
    assert not tracker.admits(A, 0.0)
    assert tracker.admits(A, 0.0, max_wait_s=0.4)
    tracker.backoffs.record(A, 0.1, 0.0)
    assert not tracker.admits(A, 0.0, max_wait_s=0.4)


def test_state_is_dropped_if_the_address_is_reused(tracker):
    block(tracker, A, 60.0)
    tracker.backoffs.record(A, 60.0, 0.0)
    tracker.on_address_reused(A)
    assert tracker.admits(A, 0.0)
    assert tracker.is_empty


def test_permit_is_requested_again_before_its_announced_time(tracker):
    """The next permit must be requested again before its announced time.

    The owner of the limit may change, and its share with it: an instance that has just started
    grants a small share only, and may announce a wait of 20 s.
    """
    block(tracker, A, 20.0)
    assert not tracker.admits(A, MAX_PERMIT_POLL_S / 2)
    assert tracker.admits(A, MAX_PERMIT_POLL_S)
    # Callers get the wait that was announced last.
    assert tracker.hold([A], MAX_PERMIT_POLL_S).remaining_s == 20.0 - MAX_PERMIT_POLL_S


def test_refusals_affect_placement_only(tracker):
    tracker.refusals.note_refused(A, 0.0, 0.0)
    assert not tracker.admits(A, 0.01)
    assert tracker.remaining_s(A, 0.01) == 0.0
    assert tracker.hold([A, B], 0.01) is None
    tracker.refusals.note_refused(B, 0.0, 0.0)
    hold = tracker.hold([A, B], 0.01)
    assert hold.reason is HoldReason.REFUSING
    assert hold.remaining_s == pytest.approx(refusals.FIRST_WAIT_S - 0.01)


@pytest.mark.parametrize("end", [lambda t: t.on_restart(A, 1.0), lambda t: t.on_address_reused(A)])
def test_refusals_are_dropped_on_restart_or_address_reuse(tracker, end):
    tracker.refusals.note_refused(A, 0.0, 1.0)
    end(tracker)
    assert tracker.admits(A, 1.0) and tracker.is_empty
