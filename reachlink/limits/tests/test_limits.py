"""Quotas hold within their stated error, queues are fair, and retries stay within their budget."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.limits import (
    FairQueue,
    FairQueueEntry,
    QuotaLimits,
    QuotaTracker,
    RetryBudget,
    fair_share,
)
from reachlink.limits._fair_queue import AGING_S_PER_LEVEL


@given(st.lists(st.floats(0, 1000), min_size=1, max_size=12))
@settings(derandomize=True)
def test_shares_sum_to_one(demands):
    total = sum(demands)
    shares = [fair_share(d, total - d, len(demands)) for d in demands]
    assert abs(sum(shares) - 1.0) < 1e-6
    assert all(share > 0 for share in shares)


@given(
    st.integers(1, 40),
    st.lists(st.integers(0, 6), min_size=1, max_size=300),
    st.integers(1, 8),
)
@settings(derandomize=True, deadline=None)
def test_concurrent_limit_holds_over_instances(limit, arrivals, instances):
    trackers = [QuotaTracker() for _ in range(instances)]
    limits = QuotaLimits(concurrent=limit)
    running, now = 0, 0.0
    for target in arrivals:
        now += 0.01
        number = target % instances
        everyone: dict[str, float] = {}
        for i, tracker in enumerate(trackers):
            if i != number:
                for key, value in tracker.demands(now).items():
                    everyone[key] = everyone.get(key, 0.0) + value
        if trackers[number].admit("k", limits, everyone, instances, now) is None:
            running += 1
    # The stated error: each instance's share is rounded, and is at least one request.
    assert running <= limit + instances


def test_rate_limit_holds_and_returns_the_retry_time():
    tracker = QuotaTracker()
    limits = QuotaLimits(requests_per_s=10.0)
    admitted, now = 0, 0.0
    for _ in range(2000):
        now += 0.005
        refusal = tracker.admit("k", limits, {}, 1, now)
        if refusal is None:
            admitted += 1
            tracker.release("k", 0)
        else:
            assert 0 < refusal.retry_after_s <= 0.1 + 1e-9
    assert 95 <= admitted <= 115


def queue_entry(workspace: str, priority: int = 5, weight: float = 1.0, queued_at: float = 0.0):
    return FairQueueEntry(object(), workspace, priority, weight, 100.0, queued_at, 1e9)


def test_a_large_workspace_does_not_starve_a_small_one():
    queue: FairQueue[object] = FairQueue()
    for _ in range(50):
        queue.push(queue_entry("large"))
    queue.push(queue_entry("small"))
    order = [w.workspace for w in queue.ordered(0.0)]
    assert order.index("small") <= 1


def test_service_is_shared_by_weight():
    queue: FairQueue[object] = FairQueue()
    for _ in range(60):
        queue.push(queue_entry("heavy", weight=3.0))
        queue.push(queue_entry("light", weight=1.0))
    served = [w.workspace for w in queue.ordered(0.0)][:40]
    assert 28 <= served.count("heavy") <= 32


def test_aging_prevents_starvation_of_the_lowest_priority():
    queue: FairQueue[object] = FairQueue()
    old = queue_entry("old", priority=0, queued_at=0.0)
    queue.push(old)
    now = 9 * AGING_S_PER_LEVEL + 0.1
    queue.push(queue_entry("new", priority=9, queued_at=now))
    assert queue.ordered(now)[0] is old


@given(st.lists(st.booleans(), max_size=400))
@settings(derandomize=True)
def test_retries_are_limited_to_a_share_of_first_attempts(operations):
    budget, first, retried = RetryBudget(), 0, 0
    for retry in operations:
        if retry:
            retried += budget.take()
        else:
            budget.on_first_attempt(0.1)
            first += 1
    assert retried <= 3 + 0.1 * first + 1e-9


def test_backoff_is_jittered_within_its_bound():
    from reachlink.limits import backoff_s

    random = Random(1)
    waits = [backoff_s(3, random) for _ in range(200)]
    assert all(0 <= w <= 0.2 for w in waits)
    assert max(waits) - min(waits) > 0.1
