"""Compares ways of blaming requests and prompt parts for crashes (`make bench-quarantine`).

Without quarantine, one request that arrives every 1.4 s crashes 202 replicas in 300 s in a
service with five replicas (mean of 20 seeds). Replicas lost to that request and innocent
requests held, as means of 60 seeds: 20.80 and 0.35 if each instance counts crashes alone,
3.07 and 0.03 if all instances count together, 3.07 and 0.00 with `judge`. If replicas also
crash twelve times a minute for other reasons: 20.58 and 1.08, 3.05 and 6.73, 3.07 and 0.20.
"""

import pytest

from reachlink.testing._crash_load import Load, Way, blame, count_alone, measure
from reachlink.testing._part_crash_load import PartLoad, PartWay, measure_parts

SEEDS = 4
QUIET = Load(instances=7, replicas=5, streams_per_s=4.0)
CRASHING = Load(instances=7, replicas=5, streams_per_s=4.0, crashes_per_s=0.2)


def lost_and_innocent_held(load: Load, way: Way, shared: bool = True) -> tuple[float, float]:
    """Return the replicas lost to one request and the innocent requests held."""
    found = measure(load, way, shared, SEEDS)
    return found["replicas_lost_a_request"], found["innocents_held"]


@pytest.mark.parametrize("load", [QUIET, CRASHING])
def test_one_request_crashes_little_more_than_three_replicas(load):
    lost, _ = lost_and_innocent_held(load, blame(3.0))
    assert 3.0 <= lost <= 3.5
    alone, _ = lost_and_innocent_held(load, count_alone(3), shared=False)
    assert alone > 5 * lost


def test_innocent_requests_are_rarely_held():
    _, blamed = lost_and_innocent_held(CRASHING, blame(3.0))
    _, counted = lost_and_innocent_held(CRASHING, count_alone(3))
    assert blamed <= 1.0
    assert counted >= 3.0


PRESSED = PartLoad(5, told_after_s=0.1, deadly_per_s=1.0)
TWO_PARTS = PartLoad(5, told_after_s=0.1, deadly_per_s=1.0, deadly=2)
CRASHING_BESIDES = PartLoad(5, told_after_s=0.1, deadly_per_s=1.0, crashes_per_s=0.3)
GROWN = PartLoad(30, told_after_s=0.2, deadly_per_s=8.0)


@pytest.mark.parametrize("load", [PRESSED, TWO_PARTS, CRASHING_BESIDES, GROWN])
def test_part_of_prompts_crashes_few_replicas_and_others_are_served(load):
    found = measure_parts(load, PartWay(), SEEDS)
    assert found["crashes_a_part"] <= 5.0
    assert found["late"] == 0.0
    assert found["sound_held_after"] == 0.0


def test_parts_that_are_only_counted_hold_sound_requests():
    found = measure_parts(TWO_PARTS, PartWay(sound=False, trust=False, beside=False), SEEDS)
    assert found["sound_held"] > 0.05
