"""Simulated load at a replica with a shared rate limit (`benchmarks/bench_limits.py`).

The replica accepts 3.3 requests per second from all instances together. Callers want three times
that rate, and four fifths of the callers use a third of the instances. If each instance applies
the limit on its own, 1.8 times the bound arrives with 7 instances and 2.3 times with 195. If the
limit is divided equally, 0.67 and 0.23 of it are used. If one instance grants the permits, 1.0
and 0.98 of the limit are used, and at most 0.6 of the bound arrives (worst of three seeds each).
"""

import pytest

from reachlink.testing._limit_load import (
    EachAlone,
    EqualParts,
    HandedOut,
    HandedOutWhole,
    LimitLoad,
    Trouble,
    play,
)

SIZES = (7, 65, 195)
SEEDS = (0, 1)
# Smallest share of a limit to be used while callers wait.
MIN_USED_SHARE = 0.8


@pytest.mark.parametrize("instances", SIZES)
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("trouble", list(Trouble))
def test_load_at_the_replica_stays_within_the_bound(instances, seed, trouble):
    load = LimitLoad(instances, trouble=trouble)
    assert play(load, EachAlone, seed).most > 1.0
    assert play(load, HandedOut, seed).most <= 1.0


@pytest.mark.parametrize("instances", SIZES)
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("trouble", [Trouble.NONE, Trouble.START_OF_ALL, Trouble.OWNER_LOST])
def test_limit_is_used_while_instances_are_connected(instances, seed, trouble):
    load = LimitLoad(instances, trouble=trouble)
    assert play(load, EqualParts, seed).used < MIN_USED_SHARE
    assert play(load, HandedOut, seed).used >= MIN_USED_SHARE


@pytest.mark.parametrize("seed", SEEDS)
def test_bound_is_exceeded_if_every_side_grants_the_whole_limit(seed):
    load = LimitLoad(7, trouble=Trouble.CUT_IN_TWO)
    assert play(load, HandedOutWhole, seed).most > 1.0


@pytest.mark.parametrize("instances", SIZES)
def test_messages_per_permit_do_not_depend_on_the_number_of_instances(instances):
    """Each call needs one query and its reply.

    Callers make 10 calls per second here, and some are rejected without a query.
    """
    assert play(LimitLoad(instances), HandedOut, 0).messages <= 2 * 3.0 * 3.3 * 1.3
