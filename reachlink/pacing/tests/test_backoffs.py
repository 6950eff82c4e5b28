"""Backoffs requested by replicas: their end, restarts of the replica, and the ramp; no network."""

from random import Random

import pytest

from reachlink.pacing import BackoffTracker
from reachlink.pacing import _backoffs as backoffs

A, B = "10.0.0.1:1", "10.0.0.2:1"
BACKOFF_S = 3.0
# Latest end of the backoff, including its random extension.
LATEST_END_S = BACKOFF_S + backoffs.MAX_SPREAD_S


@pytest.fixture
def tracker() -> BackoffTracker:
    return BackoffTracker(Random(1))


def test_no_request_is_admitted_during_a_backoff(tracker):
    tracker.record(A, BACKOFF_S, 10.0)
    assert not any(tracker.admits(A, 10.0 + at / 10) for at in range(31))
    assert BACKOFF_S <= tracker.remaining_s(A, 10.0) <= LATEST_END_S
    assert tracker.admits(A, 10.0 + LATEST_END_S)
    assert tracker.admits(B, 10.0)


def test_latest_of_several_ends_applies(tracker):
    tracker.record(A, 30.0, 10.0)
    tracker.record(A, 1.0, 11.0)
    assert tracker.remaining_s(A, 12.0) >= 28.0
    tracker.record(A, 60.0, 12.0)
    assert tracker.remaining_s(A, 12.0) >= 60.0


def test_no_other_request_is_admitted_during_the_probe(tracker):
    tracker.record(A, BACKOFF_S, 0.0)
    assert tracker.admits(A, LATEST_END_S)
    tracker.note_sent(A, LATEST_END_S)
    assert not any(
        tracker.admits(A, LATEST_END_S + backoffs.PROBE_TIMEOUT_S * n / 10) for n in range(10)
    )


def admitted_per_tenth(tracker: BackoffTracker, since: float, delay_s: float) -> list[int]:
    """Return how many of 100 checks are admitted, for each tenth of a second."""
    return [
        sum(tracker.admits(A, since + delay_s + tenth / 10) for _ in range(100))
        for tenth in range(10)
    ]


@pytest.mark.parametrize("answered", [True, False], ids=["answered", "no answer yet"])
def test_admitted_share_increases_after_the_probe(tracker, answered):
    tracker.record(A, BACKOFF_S, 0.0)
    tracker.note_sent(A, LATEST_END_S)
    if answered:
        tracker.note_answer(A, LATEST_END_S + 0.01)
    shares = admitted_per_tenth(
        tracker, LATEST_END_S, 0.01 if answered else backoffs.PROBE_TIMEOUT_S
    )
    assert shares[0] < 30 < 60 < shares[-1]
    assert tracker.admits(A, LATEST_END_S + backoffs.PROBE_TIMEOUT_S + backoffs.RAMP_S)
    # The backoff is dropped after the ramp.
    assert tracker.is_empty


def test_rejected_probe_starts_another_backoff(tracker):
    tracker.record(A, BACKOFF_S, 0.0)
    tracker.note_sent(A, LATEST_END_S)
    tracker.record(A, BACKOFF_S, LATEST_END_S + 0.01)
    assert tracker.remaining_s(A, LATEST_END_S + 0.01) >= BACKOFF_S


def test_answer_to_an_earlier_request_does_not_end_the_backoff(tracker):
    tracker.record(A, BACKOFF_S, 0.0)
    tracker.note_answer(A, 0.1)
    assert not tracker.admits(A, 0.2)


def test_ends_of_backoffs_are_spread(tracker):
    """Hundreds of instances asked to wait until the same moment must not return at once."""
    ends = sorted(_remaining_backoff_s(Random(seed)) for seed in range(200))
    assert ends[0] >= BACKOFF_S and ends[-1] <= LATEST_END_S
    assert ends[150] - ends[50] > backoffs.MAX_SPREAD_S / 4


def _remaining_backoff_s(random: Random) -> float:
    tracker = BackoffTracker(random)
    tracker.record(A, BACKOFF_S, 0.0)
    return tracker.remaining_s(A, 0.0)


def test_restart_ends_an_earlier_backoff(tracker):
    tracker.record(A, 3600.0, 0.0)
    tracker.on_restart(A, backoffs.RESTART_REPORT_DELAY_S + 1.0)
    assert tracker.admits(A, backoffs.RESTART_REPORT_DELAY_S + 1.0)


def test_restart_keeps_a_recent_backoff(tracker):
    """Restarts become known seconds late, so the restarted replica may have sent the request."""
    tracker.record(A, 60.0, 0.0)
    tracker.on_restart(A, 2.0)
    assert not tracker.admits(A, 2.0)


def test_backoff_is_dropped_if_the_address_is_reused(tracker):
    tracker.record(A, 60.0, 0.0)
    tracker.on_address_reused(A)
    assert tracker.admits(A, 0.0)


def test_number_of_backoffs_is_bounded_and_the_longest_are_kept(tracker):
    for number in range(backoffs.MAX_TRACKED_REPLICAS + 50):
        tracker.record(f"10.0.0.1:{number}", 10.0 + number, 0.0)
    assert tracker.count(0.0) == backoffs.MAX_TRACKED_REPLICAS
    assert tracker.remaining_s(f"10.0.0.1:{backoffs.MAX_TRACKED_REPLICAS + 49}", 0.0) > 0.0


def test_expired_backoff_without_a_probe_is_dropped(tracker):
    tracker.record(A, BACKOFF_S, 0.0)
    assert tracker.admits(A, LATEST_END_S + backoffs.UNPROBED_EXPIRY_S)
    assert tracker.is_empty
