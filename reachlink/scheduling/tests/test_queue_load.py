"""Queue under overload: some kinds, workspaces or sizes starve if its order is wrong.

An overloaded fleet is simulated with the queue and with other strategies.
"""

from collections.abc import Callable
from functools import cache

import pytest

from reachlink.scheduling.tests.crowd import (
    CAPACITY_TOKENS,
    LENGTH_S,
    LONG_ANSWER,
    REPLICAS,
    SHORT_ANSWER,
    TOKENS_PER_S,
    FirstComeFirstServed,
    OverloadSimulation,
    PollingStrategy,
    QueueStrategy,
    RequestKind,
    SimulatedRequest,
    Strategy,
    ZoneQueuesStrategy,
)

OTHERS = ("as it stands", "first come", "refuse early")
# Value of a request that is in time, and of one that is late, by kind.
VALUE = {LONG_ANSWER.name: (100.0, 23.0), SHORT_ANSWER.name: (51.0, 3.0)}


@cache
def simulated(strategy: str, load_factor: float) -> OverloadSimulation:
    """Return a simulation in which one workspace has half of the load."""
    strategies: dict[str, Callable[[], Strategy]] = {
        "as it stands": PollingStrategy,
        "first come": FirstComeFirstServed,
        "refuse early": lambda: FirstComeFirstServed(refuses_early=True),
        "line": QueueStrategy,
    }
    return OverloadSimulation(strategies[strategy](), load_factor, seed=1, large_share=0.5).run()


def in_time(simulation: OverloadSimulation, selected: Callable[[SimulatedRequest], bool]) -> float:
    return simulation.share_of(lambda request: request.in_time, selected)


def is_a(kind: RequestKind) -> Callable[[SimulatedRequest], bool]:
    return lambda request: request.kind is kind


def value(simulation: OverloadSimulation) -> float:
    found = 0.0
    for request in simulation.measured():
        completed, late = VALUE[request.kind.name]
        found += completed if request.in_time else late if request.completed else 0.0
    return found / sum(VALUE[request.kind.name][0] for request in simulation.measured())


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
@pytest.mark.parametrize("strategy", OTHERS)
def test_queue_yields_more_value_than_other_strategies(strategy, load_factor):
    assert value(simulated("line", load_factor)) > value(simulated(strategy, load_factor))


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
def test_urgent_kind_is_in_time_while_capacity_suffices_for_it(load_factor):
    """All urgent requests need less than a sixth of the capacity at both load factors."""
    simulation = simulated("line", load_factor)
    assert in_time(simulation, is_a(SHORT_ANSWER)) >= 0.9
    assert in_time(simulation, is_a(SHORT_ANSWER)) >= in_time(simulation, is_a(LONG_ANSWER))


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
def test_less_urgent_kind_is_not_starved(load_factor):
    """Urgent requests leave capacity for more than half of the others, at 2.5 for a third."""
    capacity_for = (1.0 - load_factor * SHORT_ANSWER.load_share) / (
        load_factor * LONG_ANSWER.load_share
    )
    assert in_time(simulated("line", load_factor), is_a(LONG_ANSWER)) >= 0.7 * capacity_for


def test_small_workspaces_within_their_share_are_in_time_beside_a_large_one():
    simulation = simulated("line", 1.5)
    assert in_time(simulation, lambda request: request.workspace != "large") >= 0.9


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
def test_small_workspaces_are_served_no_less_than_a_large_one(load_factor):
    simulation = simulated("line", load_factor)
    small = in_time(simulation, lambda request: request.workspace != "large")
    large = in_time(simulation, lambda request: request.workspace == "large")
    assert small >= large > 0.0


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
def test_largest_requests_are_not_starved_although_they_fit_less_often(load_factor):
    simulation = simulated("line", load_factor)
    sizes = sorted(
        request.tokens for request in simulation.measured() if request.kind is LONG_ANSWER
    )
    middle = sizes[len(sizes) // 2]
    largest = sizes[3 * len(sizes) // 4]

    def served(low: int, high: float) -> float:
        selected = lambda request: request.kind is LONG_ANSWER and low <= request.tokens < high  # noqa: E731
        return simulation.share_of(lambda request: request.completed, selected)

    assert served(largest, float("inf")) >= 0.5 * served(0, middle)


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
def test_started_requests_cause_hardly_any_preemption(load_factor):
    simulation = simulated("line", load_factor)
    assert simulation.preemptions <= 0.001 * len(simulation.requests)


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
def test_capacity_is_used_while_requests_wait(load_factor):
    """The generated output is close to what the engines can hold: waiting wastes no capacity."""
    simulation = simulated("line", load_factor)
    generated = sum(
        request.generated for request in simulation.requests if request.kind is LONG_ANSWER
    )
    at_once = CAPACITY_TOKENS // (LONG_ANSWER.prompt_tokens + round(LONG_ANSWER.output_tokens))
    assert generated >= 0.7 * at_once * REPLICAS * TOKENS_PER_S * LENGTH_S * (
        1.0 - load_factor * SHORT_ANSWER.load_share
    )


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
def test_every_request_starts_or_is_refused_before_its_deadline(load_factor):
    simulation = simulated("line", load_factor)
    for request in simulation.requests:
        over = request.arrived_at + request.kind.deadline_s <= LENGTH_S
        assert not over or request.first_event_at is not None or request.refused_at is not None
        assert (
            request.refused_at is None
            or request.refused_at < request.arrived_at + request.kind.deadline_s
        )


def test_queue_does_no_harm_while_capacity_suffices():
    simulation = simulated("line", 0.8)
    assert value(simulation) >= 0.97
    assert all(request.refused_at is None for request in simulation.requests)


@pytest.mark.parametrize("load_factor", [1.5, 2.5])
def test_one_queue_over_all_zones_serves_them_equally_whatever_their_load(load_factor):
    """With a queue per zone, each zone gets the same capacity, and the busiest serves least."""
    load = (3.0, 1.0, 1.0, 1.0)

    def fullest_and_others(over_zones: bool) -> tuple[float, float]:
        strategy = ZoneQueuesStrategy(load, over_zones)
        simulation = OverloadSimulation(strategy, load_factor, seed=1).run()
        fullest = in_time(simulation, lambda request: strategy.zones[request.number] == 0)
        return fullest, in_time(simulation, lambda request: strategy.zones[request.number] != 0)

    fullest, others = fullest_and_others(over_zones=True)
    assert fullest >= 0.9 * others
    assert fullest > fullest_and_others(over_zones=False)[0]
