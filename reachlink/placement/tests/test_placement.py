"""Decisions of the placement policies, and health of replicas."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.lengths import SurvivalCurve
from reachlink.lengths._buckets import BUCKET_COUNT
from reachlink.placement import (
    POLICIES,
    Candidate,
    ForecastPolicy,
    Health,
    HealthState,
    MemoryProfile,
    PlacementRequest,
    Verdict,
    allowances,
)

CURVE = SurvivalCurve([0.12] * BUCKET_COUNT)


def profile(prompt: int = 100, tokens: int = 0, count: int = 1) -> MemoryProfile:
    one = MemoryProfile.of_generation(CURVE, prompt, tokens)
    return MemoryProfile.total([one] * count)


def request(prompt: int = 100, **more) -> PlacementRequest:
    return PlacementRequest(profile(prompt), prompt, CURVE.expected_remaining(0), **more)


def candidate(name: str, running: int = 0, capacity: int = 16384, **more) -> Candidate:
    known = profile(count=running) if running else MemoryProfile()
    return Candidate(
        name, capacity_tokens=capacity, max_batch=64, forecast=known, running=running, **more
    )


def choose(candidates, req=None, seed=1):
    return ForecastPolicy().choose(req or request(), candidates, Random(seed))


def test_less_loaded_replica_is_chosen():
    decision = choose([candidate("a", 30, step_ms=14), candidate("b", 2, step_ms=9)])
    assert decision.replica == "b"


def test_replica_with_full_memory_is_not_chosen_despite_its_cache():
    full = candidate("full", 40, capacity=6000, cached_tokens=100)
    assert choose([full, candidate("empty")]).replica == "empty"


def test_request_waits_if_no_replica_has_room():
    assert choose([candidate("a", 40, capacity=6000)]).verdict is Verdict.WAIT


def test_unexplained_load_counts_only_while_the_report_is_fresh():
    reported = {"reported_used_tokens": 16000, "running": 1}
    fresh = Candidate("a", capacity_tokens=16384, max_batch=64, report_age_s=0.0, **reported)
    stale = Candidate("a", capacity_tokens=16384, max_batch=64, report_age_s=60.0, **reported)
    assert choose([fresh]).verdict is Verdict.WAIT
    assert choose([stale]).verdict is Verdict.PLACE


def test_own_zone_is_preferred_unless_another_costs_less():
    near = candidate("near", 3, step_ms=10, reported_running=3)
    far = candidate("far", 3, local=False, step_ms=10, reported_running=3)
    cost = request(link_cost_ms=50.0)
    assert choose([near, far], cost).replica == "near"
    busy = candidate("near", 12, step_ms=20, reported_running=12)
    assert choose([busy, far], cost).replica == "far"
    assert choose([busy, far], request(spill=False)).replica == "near"


def test_equal_replicas_are_chosen_at_random():
    replicas = [candidate(n) for n in "abcde"]
    names = {choose(replicas, seed=s).replica for s in range(60)}
    assert names == set("abcde")


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 80), min_size=1, max_size=8), st.integers(0, 10_000))
def test_idle_replicas_are_used_and_batch_limits_hold(running, seed):
    candidates = [candidate(f"r{i}", n) for i, n in enumerate(running)]
    decision = choose(candidates, seed=seed)
    if 0 in running:
        assert decision.verdict is Verdict.PLACE
    if decision.verdict is Verdict.PLACE:
        assert running[int(decision.replica[1:])] < 64


@pytest.mark.parametrize("name", list(POLICIES))
def test_every_policy_reports_that_no_replica_is_alive(name):
    decision = POLICIES.get(name)().choose(request(), [], Random(1))
    assert decision.verdict is Verdict.NONE_ALIVE


def test_profile_of_a_sum_is_the_sum_of_profiles():
    parts = [profile(10), profile(200, 50), profile(3000, 700)]
    total = MemoryProfile.total(parts)
    for i, value in enumerate(total.mean):
        assert value == pytest.approx(sum(p.mean[i] for p in parts))
    assert total.count == 3


def test_failing_replica_is_ejected_and_readmitted_gradually():
    health, random = Health(), Random(1)
    health.on_failure(0.0, random)
    assert health.allowance(0.0) == 1.0
    health.on_failure(0.1, random)
    assert health.allowance(0.1) == 0.0
    assert 0 < health.allowance(2.0) < 0.2
    assert health.state is HealthState.RECOVERING
    assert 0.4 < health.allowance(6.0) < 1.0
    health.on_success(11.0)
    assert health.state is HealthState.GOOD


def test_not_all_replicas_are_ejected():
    healths = {f"r{i}": Health() for i in range(4)}
    random = Random(1)
    for health in healths.values():
        health.on_failure(0.0, random)
        health.on_failure(0.0, random)
    assert all(value > 0 for value in allowances(healths, 0.1).values())


def test_failures_in_answers_need_more_repetitions_to_eject():
    health, random = Health(), Random(1)
    for _ in range(2):
        health.on_failure(0.0, random, answered=True)
    assert health.allowance(0.0) == 1.0
    health.on_failure(0.0, random, answered=True)
    assert health.allowance(0.0) == 0.0
    recovering_at = health.ejected_until
    assert 0.0 < health.allowance(recovering_at) < 1.0
    health.on_failure(recovering_at, random, answered=True)
    assert health.allowance(recovering_at) > 0.0
    health.on_failure(recovering_at, random, answered=True)
    assert health.allowance(recovering_at) == 0.0


def test_own_and_peer_ejections_are_bounded_together():
    healths = {name: Health() for name in ("r1", "r2", "r3")}
    for _ in range(2):
        healths["r1"].on_failure(0.0, Random(1))
    found = allowances(healths, 0.0, {"r2": 0.0, "r3": 0.4})
    assert found == {"r1": 0.1, "r2": 0.1, "r3": 0.4}
