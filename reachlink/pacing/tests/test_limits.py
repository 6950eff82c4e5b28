"""Rate limits advertised by replicas: accepted values, and what ends a limit; no network."""

import pytest

from reachlink.pacing import LimitTracker, parse_limit
from reachlink.pacing._limits import MAX_REQUESTS_PER_S, MIN_REQUESTS_PER_S

A = "10.0.0.1:1"


@pytest.mark.parametrize(
    "text, per_s",
    [
        ("3.3", 3.3),
        (" 7 ", 7.0),
        ("0", MIN_REQUESTS_PER_S),
        ("0.0001", MIN_REQUESTS_PER_S),
        ("1e9", None),
    ],
)
def test_advertised_rates_are_clipped_to_the_enforced_range(text, per_s):
    assert parse_limit(text) == (MAX_REQUESTS_PER_S if per_s is None else per_s)


@pytest.mark.parametrize("text", ["nan", "inf", "-inf", "-1", "", "3/s", "three", "1,5"])
def test_invalid_rates_are_rejected(text):
    with pytest.raises(ValueError, match=r"\S"):
        parse_limit(text)


def test_only_answers_to_later_requests_end_a_limit():
    tracker = LimitTracker()
    assert tracker.record(A, 3.3, 10.0)
    assert not tracker.record(A, 3.3, 11.0)
    assert not tracker.record_absence(A, sent_at=10.5, now=11.2)
    assert tracker.get(A).requests_per_s == 3.3
    assert tracker.record_absence(A, sent_at=11.1, now=11.2)
    assert tracker.get(A) is None


def test_new_limit_replaces_the_previous_one():
    tracker = LimitTracker()
    tracker.record(A, 3.3, 10.0)
    assert tracker.record(A, 2.7, 11.0)
    assert tracker.get(A).requests_per_s == 2.7
