"""Shares under overload: a workspace with half of the load takes the capacity of small ones.

It must be refused first, and must still get no less than without a queue.
"""

from collections.abc import Callable
from functools import cache
from statistics import mean

import pytest

from reachlink.scheduling import RefusalReason
from reachlink.scheduling.tests.crowd import (
    OverloadSimulation,
    PollingStrategy,
    QueueStrategy,
    SimulatedRequest,
    Strategy,
)

LOAD_FACTORS = [1.5, 2.5]
SEEDS = (1, 2)
LARGE_SHARE, WORKSPACES = 0.5, 12


@cache
def by_shares(load_factor: float) -> list[tuple[OverloadSimulation, QueueStrategy]]:
    strategies = [QueueStrategy() for _ in SEEDS]
    return [
        (OverloadSimulation(strategy, load_factor, seed, LARGE_SHARE, WORKSPACES).run(), strategy)
        for strategy, seed in zip(strategies, SEEDS, strict=True)
    ]


def simulations(
    strategy: Callable[[], Strategy], load_factor: float, large_share: float
) -> list[OverloadSimulation]:
    return [
        OverloadSimulation(strategy(), load_factor, seed, large_share, WORKSPACES).run()
        for seed in SEEDS
    ]


def in_time(
    simulated: list[OverloadSimulation], selected: Callable[[SimulatedRequest], bool]
) -> float:
    return mean(
        simulation.share_of(lambda request: request.in_time, selected) for simulation in simulated
    )


def is_large(request: SimulatedRequest) -> bool:
    return request.workspace == "large"


def is_small(request: SimulatedRequest) -> bool:
    return not is_large(request)


@pytest.mark.parametrize("load_factor", LOAD_FACTORS)
def test_small_workspaces_get_as_much_as_beside_a_workspace_of_their_size(load_factor):
    small_share = (1.0 - LARGE_SHARE) / (WORKSPACES - 1)
    equal_size = simulations(
        QueueStrategy, load_factor * WORKSPACES * small_share, 1.0 / WORKSPACES
    )
    simulated = [simulation for simulation, _ in by_shares(load_factor)]
    assert in_time(simulated, is_small) >= 0.95 * in_time(equal_size, is_small)


@pytest.mark.parametrize("load_factor", LOAD_FACTORS)
def test_large_workspace_gets_no_less_than_without_a_queue(load_factor):
    simulated = [simulation for simulation, _ in by_shares(load_factor)]
    without = simulations(PollingStrategy, load_factor, LARGE_SHARE)
    assert in_time(simulated, is_large) >= 0.95 * in_time(without, is_large)


@pytest.mark.parametrize("load_factor", LOAD_FACTORS)
def test_only_the_large_workspace_is_refused_for_its_share(load_factor):
    for _, strategy in by_shares(load_factor):
        over = {
            workspace
            for reason, workspace, _ in strategy.refused
            if reason is RefusalReason.OVER_SHARE
        }
        assert over == {"large"}


@pytest.mark.parametrize("load_factor", LOAD_FACTORS)
def test_no_request_is_refused_while_a_replica_has_capacity(load_factor):
    for _, strategy in by_shares(load_factor):
        assert not any(free for _, _, free in strategy.refused)


@pytest.mark.parametrize("large_share", [LARGE_SHARE, 1.0 / WORKSPACES])
def test_no_request_is_refused_for_its_share_while_capacity_suffices(large_share):
    strategy = QueueStrategy()
    OverloadSimulation(strategy, 1.0, SEEDS[0], large_share, WORKSPACES).run()
    assert not any(reason is RefusalReason.OVER_SHARE for reason, _, _ in strategy.refused)
