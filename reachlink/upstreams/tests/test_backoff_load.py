"""What keeping to a backoff gives, by the load that it is for (`benchmarks/bench_backoffs.py`).

Seven entry instances send calls to three replicas, at 0.7 of what these can do; for a second
one of them turns all away and asks each instance for three seconds. Forgotten, an instance
sent 30 calls into such a backoff and 96 were turned away; kept to, 0 and 19. Told on to all
instances, two thirds of all calls were refused (worst of two seeds each).
"""

from dataclasses import replace

import pytest

from reachlink.pacing import BackoffTracker
from reachlink.testing._backoff_load import BackoffLoad, ExactBackoffs, ForgetBackoffs, play

LOAD = BackoffLoad(7, 3, 1)
SEEDS = (0, 1)
# More than this within one backoff is what a replica that asked for it must not see.
MOST_INTO_BACKOFF = 2


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("one_moment", [False, True])
def test_nothing_is_sent_into_a_backoff(seed, one_moment):
    load = replace(LOAD, one_moment=one_moment)
    assert play(load, ForgetBackoffs, seed).into_backoffs > MOST_INTO_BACKOFF
    kept = play(load, BackoffTracker, seed)
    assert kept.into_backoffs == 0
    # Two thirds of the replicas have room for nearly all of the calls.
    assert kept.refused < 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_telling_others_what_one_was_asked_for_would_refuse_more(seed):
    told = play(replace(LOAD, told_on=True), BackoffTracker, seed)
    assert told.refused > 2 * play(LOAD, BackoffTracker, seed).refused


def test_where_all_come_back_at_one_moment_fewer_come_at_once():
    """2.85 times what a replica can do where each comes at the moment, 2.1 spread."""
    load = BackoffLoad(65, 28, 28, one_moment=True)
    assert play(load, BackoffTracker, 0).peak < play(load, ExactBackoffs, 0).peak
