"""A request starts, waits or is refused although another decision is due."""

from random import Random

import pytest

from reachlink.scheduling import Begin, Need, QueueState, Refuse, ReplicaOption, Wait, best_start

RANDOM = Random(3)
FULL = ReplicaOption(
    "full", same_zone=True, running=8, slots=24, tokens=26_000, capacity_tokens=26_900
)
FREE = ReplicaOption(
    "free", same_zone=True, running=1, slots=24, tokens=3000, capacity_tokens=26_900
)
NEED = Need(tokens=3700, prompt_tokens=3000, first_event_due_in_s=4.0, give_up_in_s=39.0)


def test_request_starts_at_replica_with_capacity():
    assert best_start([FULL, FREE], NEED, RANDOM) == Begin("free")


def test_request_waits_if_capacity_is_expected_in_time():
    start = best_start([FULL], NEED, RANDOM, QueueState(2, 7400, granted_tokens_per_s=3700.0))
    assert isinstance(start, Wait)
    assert start.expected_wait_s == pytest.approx(3.0)


def test_request_is_refused_if_capacity_is_expected_too_late():
    start = best_start([FULL], NEED, RANDOM, QueueState(40, 148_000, granted_tokens_per_s=3700.0))
    assert isinstance(start, Refuse)
    # Capacity is expected in 41 s; callers respect no more than a third of their 39 s.
    assert 13.0 * 0.9 <= start.retry_after_s <= 13.0
    assert not start.place_reserved


def test_new_request_does_not_overtake_waiting_ones():
    start = best_start([FREE], NEED, RANDOM, QueueState(2, 7400, granted_tokens_per_s=3700.0))
    assert isinstance(start, Wait)


def test_request_waits_if_queue_is_empty_and_grant_rate_unknown():
    start = best_start([FULL], NEED, RANDOM)
    assert isinstance(start, Wait)
    assert 0.0 < start.expected_wait_s < 10.0


def test_no_request_is_refused_while_a_replica_has_capacity():
    queue = QueueState(40, 148_000, granted_tokens_per_s=3700.0)
    assert isinstance(best_start([FULL, FREE], NEED, RANDOM, queue), Wait)
