"""One workspace asks for half of all: who is refused first, and what that leaves to whom."""

from collections.abc import Callable
from functools import cache
from statistics import mean

import pytest

from reachlink.scheduling import RefusalReason
from reachlink.scheduling.tests.crowd import AsItStands, Asked, Crowd, InLine, Way

CROWDED = [1.5, 2.5]
SEEDS = (1, 2)
LARGE_PART, WORKSPACES = 0.5, 12


@cache
def by_shares(crowding: float) -> list[tuple[Crowd, InLine]]:
    ways = [InLine() for _ in SEEDS]
    return [
        (Crowd(way, crowding, seed, LARGE_PART, WORKSPACES).play(), way)
        for way, seed in zip(ways, SEEDS, strict=True)
    ]


def crowds(way: Callable[[], Way], crowding: float, large_part: float) -> list[Crowd]:
    return [Crowd(way(), crowding, seed, large_part, WORKSPACES).play() for seed in SEEDS]


def in_time(played: list[Crowd], of: Callable[[Asked], bool]) -> float:
    return mean(crowd.share(lambda asked: asked.in_time, of) for crowd in played)


def is_large(asked: Asked) -> bool:
    return asked.workspace == "large"


def is_small(asked: Asked) -> bool:
    return not is_large(asked)


@pytest.mark.parametrize("crowding", CROWDED)
def test_small_workspaces_get_as_much_as_beside_a_workspace_of_their_size(crowding):
    small_part = (1.0 - LARGE_PART) / (WORKSPACES - 1)
    alike = crowds(InLine, crowding * WORKSPACES * small_part, 1.0 / WORKSPACES)
    played = [crowd for crowd, _ in by_shares(crowding)]
    assert in_time(played, is_small) >= 0.95 * in_time(alike, is_small)


@pytest.mark.parametrize("crowding", CROWDED)
def test_large_workspace_gets_no_less_than_without_a_queue(crowding):
    played = [crowd for crowd, _ in by_shares(crowding)]
    without = crowds(AsItStands, crowding, LARGE_PART)
    assert in_time(played, is_large) >= 0.95 * in_time(without, is_large)


@pytest.mark.parametrize("crowding", CROWDED)
def test_only_the_large_workspace_is_refused_for_its_share(crowding):
    for _, way in by_shares(crowding):
        over = {who for reason, who, _ in way.refused if reason is RefusalReason.OVER_SHARE}
        assert over == {"large"}


@pytest.mark.parametrize("crowding", CROWDED)
def test_no_request_is_refused_while_a_replica_has_capacity(crowding):
    for _, way in by_shares(crowding):
        assert not any(free for _, _, free in way.refused)


@pytest.mark.parametrize("large_part", [LARGE_PART, 1.0 / WORKSPACES])
def test_no_request_is_refused_for_its_share_while_capacity_suffices(large_part):
    way = InLine()
    Crowd(way, 1.0, SEEDS[0], large_part, WORKSPACES).play()
    assert not any(reason is RefusalReason.OVER_SHARE for reason, _, _ in way.refused)
