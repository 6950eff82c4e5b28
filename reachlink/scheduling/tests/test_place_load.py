"""Placement by pace under load: requests miss their targets if slow replicas are not avoided.

Engines of two speeds and calls beside a slow replica are simulated, with delayed reports.
"""

from functools import cache

import pytest

from reachlink.scheduling.tests.calls import CallSimulation
from reachlink.scheduling.tests.fleet import (
    LONG_ANSWER,
    SHORT_ANSWER,
    FleetSimulation,
    Strategy,
    as_it_stands,
    by_time,
    two_choices,
)

INSTANCES = (8, 65, 195)
REPORT_AGES_S = (0.0, 0.1, 0.5)
# Of 446 long answers, 40 may be late. The work of an answer is in prompt tokens; an output
# token counts as ten.
MIN_LONG_IN_TIME = 1.0 - 40 / 446
LONG_WORK, SHORT_WORK = 10_559, 2630
MAX_LATE, MAX_LATE_WITH_SLOW_PHASES = 0.02, 0.05
CASES = [(instances, report_age_s) for instances in INSTANCES for report_age_s in REPORT_AGES_S]


@cache
def simulated(strategy: Strategy, instances: int, report_age_s: float) -> FleetSimulation:
    return FleetSimulation(strategy, instances, report_age_s, seed=1).run()


def share_of_work_in_time(simulation: FleetSimulation) -> float:
    """Return the share of the work of all answers that belongs to answers in time."""
    long, short = LONG_ANSWER.rate * LONG_WORK, SHORT_ANSWER.rate * SHORT_WORK
    good = long * simulation.share_in_time(LONG_ANSWER) + short * simulation.share_in_time(
        SHORT_ANSWER
    )
    return good / (long + short)


@pytest.mark.parametrize(("instances", "report_age_s"), CASES)
def test_long_answers_are_in_time(instances, report_age_s):
    assert (
        simulated(by_time, instances, report_age_s).share_in_time(LONG_ANSWER) >= MIN_LONG_IN_TIME
    )


@pytest.mark.parametrize("strategy", [as_it_stands, two_choices])
@pytest.mark.parametrize(("instances", "report_age_s"), [(8, 0.0), (65, 0.1), (195, 0.5)])
def test_more_work_is_in_time_than_with_other_strategies(strategy, instances, report_age_s):
    other_run = simulated(strategy, instances, report_age_s)
    by_time_run = simulated(by_time, instances, report_age_s)
    assert share_of_work_in_time(by_time_run) > share_of_work_in_time(other_run)
    assert by_time_run.share_in_time(LONG_ANSWER) > other_run.share_in_time(LONG_ANSWER)


def test_long_answers_go_to_fast_engines_and_no_engine_stays_idle():
    simulation = FleetSimulation(by_time, 8, 0.1, seed=2).run()
    long = [s for s in simulation.requests if s.kind is LONG_ANSWER]
    assert sum(s.replica < 7 for s in long) > 0.5 * len(long)
    assert min(simulation.share_of(n) for n in range(28)) > 0.25 / 28


@pytest.mark.parametrize("steady", [0.25, 8.0])
def test_engine_with_false_pace_neither_attracts_nor_loses_all_requests(steady):
    simulation = FleetSimulation(by_time, 8, 0.1, seed=3, reported_paces={27: steady}).run()
    shares = [simulation.share_of(n) for n in range(28)]
    assert 0.0 < shares[27] < 3 / 28
    assert min(shares[:27]) > 0.25 / 28


@pytest.mark.parametrize(("instances", "report_age_s"), CASES)
def test_calls_are_in_time_beside_a_slow_replica(instances, report_age_s):
    assert (
        CallSimulation(by_time, instances, report_age_s, 1, one_slow=True).run().late_share
        <= MAX_LATE
    )


@pytest.mark.parametrize(("instances", "report_age_s"), CASES)
def test_calls_are_in_time_at_replicas_with_slow_phases(instances, report_age_s):
    assert (
        CallSimulation(by_time, instances, report_age_s, 1, with_slow_phases=True).run().late_share
        <= MAX_LATE_WITH_SLOW_PHASES
    )


@pytest.mark.parametrize("one_slow", [False, True])
@pytest.mark.parametrize("strategy", [as_it_stands, two_choices])
@pytest.mark.parametrize(("instances", "report_age_s"), CASES)
def test_fewer_calls_are_late_than_with_other_strategies(
    strategy, instances, report_age_s, one_slow
):
    other_run = CallSimulation(
        strategy, instances, report_age_s, 1, one_slow=one_slow, with_slow_phases=not one_slow
    ).run()
    by_time_run = CallSimulation(
        by_time, instances, report_age_s, 1, one_slow=one_slow, with_slow_phases=not one_slow
    ).run()
    assert by_time_run.late_share < other_run.late_share


@pytest.mark.parametrize("steady", [0.25, 8.0])
def test_replica_with_false_pace_neither_attracts_nor_loses_all_calls(steady):
    simulation = CallSimulation(by_time, 65, 0.1, 1, reported_paces={3: steady}).run()
    shares = [count / sum(simulation.counts) for count in simulation.counts]
    assert 0.0 < shares[3] < 0.5
    assert min(shares[:3]) > 0.125
