"""Tests of `judge`: which requests are blamed for crashes."""

import itertools
from random import Random

import pytest

from reachlink.quarantine import Involvement, crashes_of, judge

GUILTY, OTHER = 1, 2
_ids = itertools.count()


def there(
    fingerprint: int, at: float, replica: str = "", begun: bool = False, ran_s: float = 0.1
) -> Involvement:
    """Return the involvement of a request in a crash, by default of a separate replica."""
    return Involvement(next(_ids), fingerprint, replica or f"r{at}", at - ran_s, at, begun)


def test_request_is_held_after_three_crashes():
    crashes = [there(GUILTY, at) for at in (1.0, 2.0, 3.0)]
    assert judge(crashes[:2]) == {}
    assert judge(crashes).keys() == {GUILTY}


def test_copies_at_one_replica_count_as_one_crash():
    """Five copies of a request in the queue of one replica are part of one crash."""
    assert judge([there(GUILTY, 1.0, "r1", ran_s=0.1 * n) for n in range(1, 6)]) == {}


def test_crash_after_restart_counts_separately():
    """A request sent after a restart under the same name belongs to another crash."""
    seen = [there(GUILTY, at, "r1") for at in (1.0, 3.0, 5.0)]
    assert [crash.at for crash in crashes_of(seen)] == [1.0, 3.0, 5.0]
    assert judge(seen).keys() == {GUILTY}


def test_request_that_shared_replicas_is_not_held():
    """Not even after three crashes, since the other request explains each of them."""
    crashes = [there(GUILTY, at, f"r{at}") for at in (1.0, 2.0, 3.0, 4.0)]
    crashes += [there(OTHER, at, f"r{at}") for at in (2.0, 3.0, 4.0)]
    assert judge(crashes).keys() == {GUILTY}


def test_tie_blames_request_whose_answer_had_not_begun():
    crashes = [there(GUILTY, at, f"r{at}") for at in (1.0, 2.0, 3.0)]
    crashes += [there(OTHER, at, f"r{at}", begun=True) for at in (1.0, 2.0, 3.0)]
    assert judge(crashes).keys() == {GUILTY}


def test_request_that_crashes_late_is_held_after_six_crashes():
    crashes = [there(GUILTY, float(at), begun=True) for at in range(6)]
    assert judge(crashes[:5]) == {}
    assert judge(crashes).keys() == {GUILTY}


def test_two_requests_that_crash_replicas_are_both_held():
    crashes = [there(GUILTY, at) for at in (1.0, 2.0, 3.0)]
    crashes += [there(OTHER, at) for at in (1.5, 2.5, 3.5)]
    assert judge(crashes).keys() == {GUILTY, OTHER}


@pytest.mark.parametrize("seed", range(30))
def test_verdict_does_not_depend_on_order_of_reports(seed):
    random = Random(seed)
    seen = [
        there(random.randrange(6), float(at), f"r{at}", random.random() < 0.5)
        for at in range(12)
        for _ in range(random.randrange(1, 5))
    ]
    expected = judge(seen)
    random.shuffle(seen)
    assert judge(seen).keys() == expected.keys()
