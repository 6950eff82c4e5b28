"""Tests of `judge`: which requests are blamed for crashes."""

import itertools
from random import Random

import pytest

from reachlink.quarantine import Involvement, crashes_of, judge
from reachlink.upstreams import RequestFeatures

GUILTY, OTHER = 1, 2
_ids = itertools.count()


def there(
    fingerprint: int,
    at: float,
    replica: str = "",
    late: bool = False,
    ran_s: float = 0.1,
    parts: tuple[int, ...] = (),
) -> Involvement:
    """Return the involvement of a request in a crash, by default of a separate replica."""
    features = RequestFeatures(fingerprint, parts)
    return Involvement(next(_ids), features, replica or f"r{at}", at - ran_s, at, late)


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


def test_tie_blames_request_that_crashed_early():
    crashes = [there(GUILTY, at, f"r{at}") for at in (1.0, 2.0, 3.0)]
    crashes += [there(OTHER, at, f"r{at}", late=True) for at in (1.0, 2.0, 3.0)]
    assert judge(crashes).keys() == {GUILTY}


def test_request_that_crashes_late_is_held_after_six_crashes():
    crashes = [there(GUILTY, float(at), late=True) for at in range(6)]
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


# Parts of prompts: one that crashes replicas, and sound ones.
DEADLY, SYSTEM, DOCUMENT, THING = 101, 102, 103, 104


def test_new_requests_with_one_part_are_held():
    crashes = [there(n, float(n), parts=(SYSTEM, DEADLY, 200 + n)) for n in (1, 2, 3)]
    assert judge(crashes[:2]) == {}
    (verdict,) = judge(crashes).values()
    assert verdict.digests == {SYSTEM, DEADLY}
    assert not verdict.whole
    assert verdict.positions == (1, 2)


def test_part_is_held_alone_after_a_crash_without_the_parts_beside_it():
    crashes = [there(n, float(n), parts=(SYSTEM, DEADLY)) for n in (1, 2, 3)]
    crashes.append(there(4, 4.0, parts=(DOCUMENT, DEADLY)))
    (verdict,) = judge(crashes).values()
    assert verdict.digests == {DEADLY}
    assert len(verdict.crashes) == 4


def test_part_of_requests_that_shared_replicas_is_not_held():
    crashes = [there(n, float(n), f"r{n}", parts=(SYSTEM, DEADLY)) for n in (1, 2, 3, 4)]
    crashes += [there(10 + n, float(n), f"r{n}", parts=(THING,)) for n in (2, 3, 4)]
    (verdict,) = judge(crashes).values()
    assert THING not in verdict.digests


def test_two_parts_that_crash_replicas_are_both_held():
    crashes = [there(n, float(n), parts=(SYSTEM, DEADLY)) for n in (1, 2, 3)]
    crashes += [there(10 + n, n + 0.5, parts=(THING, DOCUMENT)) for n in (1, 2, 3)]
    found = {verdict.digests for verdict in judge(crashes).values()}
    assert found == {frozenset({SYSTEM, DEADLY}), frozenset({THING, DOCUMENT})}


def test_repeated_request_is_held_as_a_whole():
    crashes = [there(GUILTY, float(n), parts=(SYSTEM, DEADLY)) for n in (1, 2, 3)]
    (verdict,) = judge(crashes).values()
    assert verdict.whole
    assert verdict.fingerprint == GUILTY
    assert verdict.digests == {GUILTY, SYSTEM, DEADLY}


def sharing(at: float, replica: str) -> Involvement:
    """Return the involvement of a new request with a part that many requests share."""
    number = 100 + next(_ids)
    return there(number, at, replica, parts=(GUILTY, -number))


def all_crash(at: float, trusting: int, replicas: int = 9) -> list[Involvement]:
    """Return requests that share a part, at replicas that crash at the same moment.

    The first `trusting` came by instances that know of a sound answer with the part.
    """
    seen = [sharing(at + 0.02 * n, f"r{n}") for n in range(replicas)]
    for involvement in seen[:trusting]:
        involvement.trusted = frozenset({GUILTY})
    return seen


def test_part_that_all_requests_share_is_not_held_when_all_replicas_crash_at_once():
    assert judge(all_crash(5.0, trusting=9)) == {}


def test_sound_part_is_not_held_when_all_replicas_crash_at_once_a_few_times():
    assert judge([i for n in range(5) for i in all_crash(10.0 * n, trusting=9)]) == {}


def test_new_part_that_crashes_several_replicas_at_once_is_held():
    """Without a sound answer, each crash counts: requests with it may come in a burst."""
    assert judge(all_crash(5.0, trusting=0, replicas=3)) != {}


def test_sound_answer_that_one_instance_knows_of_counts_for_all():
    seen = [sharing(float(at), f"r{at}") for at in range(5) for _ in range(2)]
    for involvement in seen[::2]:
        involvement.trusted = frozenset({GUILTY})
    assert judge(seen) == {}
