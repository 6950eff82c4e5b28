"""Calls sent and refused during backoffs, in the simulation of `benchmarks/bench_backoffs.py`.

Seven entry instances send calls to three replicas at 0.7 of their capacity. For one second, one
replica rejects all calls and asks each instance for a backoff of three seconds. If backoffs are
ignored, an instance sends 30 calls to the replica during its backoff and 96 calls are rejected;
if they are observed, 0 and 19. If each instance observes the backoffs requested from any of them,
two thirds of all calls are refused (worst of two seeds each).
"""

from dataclasses import replace

import pytest

from reachlink.pacing import BackoffTracker
from reachlink.testing._backoff_load import BackoffLoad, ExactBackoffs, ForgetBackoffs, play

LOAD = BackoffLoad(7, 3, 1)
SEEDS = (0, 1)
# Largest acceptable number of calls of one instance to a replica within one backoff.
MAX_CALLS_IN_BACKOFF = 2


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("one_moment", [False, True])
def test_no_call_is_sent_to_a_replica_in_backoff(seed, one_moment):
    load = replace(LOAD, one_moment=one_moment)
    assert play(load, ForgetBackoffs, seed).into_backoffs > MAX_CALLS_IN_BACKOFF
    observed = play(load, BackoffTracker, seed)
    assert observed.into_backoffs == 0
    # The other two thirds of the replicas have capacity for nearly all calls.
    assert observed.refused < 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_sharing_backoffs_between_instances_would_refuse_more_calls(seed):
    shared = play(replace(LOAD, told_on=True), BackoffTracker, seed)
    assert shared.refused > 2 * play(LOAD, BackoffTracker, seed).refused


def test_returning_calls_are_spread_if_all_backoffs_end_at_one_moment():
    """The peak at a replica is 2.85 times its capacity without spreading, 2.1 times with it."""
    load = BackoffLoad(65, 28, 28, one_moment=True)
    assert play(load, BackoffTracker, 0).peak < play(load, ExactBackoffs, 0).peak
