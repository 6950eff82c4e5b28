"""Too little room, in simulated time: what each kind, workspace and size gets, by each way."""

from collections.abc import Callable
from functools import cache

import pytest

from reachlink.scheduling.tests.crowd import (
    CAPACITY_TOKENS,
    LENGTH_S,
    REPLICAS,
    SUMMARY,
    TOKENS_PER_S,
    VERDICT,
    AsItStands,
    Asked,
    ByZone,
    Crowd,
    FirstComeFirstServed,
    InLine,
    Kind,
    Way,
)

OTHERS = ("as it stands", "first come", "refuse early")
# Worth of a request in time and late, by kind.
WORTH = {SUMMARY.name: (100.0, 23.0), VERDICT.name: (51.0, 3.0)}


@cache
def played(way: str, crowding: float) -> Crowd:
    """Return a play in which one workspace has half of the load."""
    ways: dict[str, Callable[[], Way]] = {
        "as it stands": AsItStands,
        "first come": FirstComeFirstServed,
        "refuse early": lambda: FirstComeFirstServed(refuses_early=True),
        "line": InLine,
    }
    return Crowd(ways[way](), crowding, seed=1, large_part=0.5).play()


def in_time(crowd: Crowd, of: Callable[[Asked], bool]) -> float:
    return crowd.share(lambda asked: asked.in_time, of)


def is_a(kind: Kind) -> Callable[[Asked], bool]:
    return lambda asked: asked.kind is kind


def worth(crowd: Crowd) -> float:
    found = 0.0
    for asked in crowd.counted():
        whole, late = WORTH[asked.kind.name]
        found += whole if asked.in_time else late if asked.whole else 0.0
    return found / sum(WORTH[asked.kind.name][0] for asked in crowd.counted())


@pytest.mark.parametrize("crowding", [1.5, 2.5])
@pytest.mark.parametrize("way", OTHERS)
def test_queue_yields_more_value_than_other_strategies(way, crowding):
    assert worth(played("line", crowding)) > worth(played(way, crowding))


@pytest.mark.parametrize("crowding", [1.5, 2.5])
def test_urgent_kind_is_in_time_while_capacity_suffices_for_it(crowding):
    """All urgent ones ask for less than a sixth of the room, whatever the crowding here."""
    crowd = played("line", crowding)
    assert in_time(crowd, is_a(VERDICT)) >= 0.9
    assert in_time(crowd, is_a(VERDICT)) >= in_time(crowd, is_a(SUMMARY))


@pytest.mark.parametrize("crowding", [1.5, 2.5])
def test_less_urgent_kind_is_not_starved(crowding):
    """What is left over by the urgent is half of what they ask for and more, at 2.5 a third."""
    room_for = (1.0 - crowding * VERDICT.part) / (crowding * SUMMARY.part)
    assert in_time(played("line", crowding), is_a(SUMMARY)) >= 0.7 * room_for


def test_small_workspaces_within_their_share_are_in_time_beside_a_large_one():
    crowd = played("line", 1.5)
    assert in_time(crowd, lambda asked: asked.workspace != "large") >= 0.9


@pytest.mark.parametrize("crowding", [1.5, 2.5])
def test_small_workspaces_are_served_no_less_than_a_large_one(crowding):
    crowd = played("line", crowding)
    small = in_time(crowd, lambda asked: asked.workspace != "large")
    large = in_time(crowd, lambda asked: asked.workspace == "large")
    assert small >= large > 0.0


@pytest.mark.parametrize("crowding", [1.5, 2.5])
def test_largest_requests_are_not_starved_although_they_fit_less_often(crowding):
    crowd = played("line", crowding)
    sizes = sorted(asked.tokens for asked in crowd.counted() if asked.kind is SUMMARY)
    middle = sizes[len(sizes) // 2]
    largest = sizes[3 * len(sizes) // 4]

    def served(low: int, high: float) -> float:
        of = lambda asked: asked.kind is SUMMARY and low <= asked.tokens < high  # noqa: E731
        return crowd.share(lambda asked: asked.whole, of)

    assert served(largest, float("inf")) >= 0.5 * served(0, middle)


@pytest.mark.parametrize("crowding", [1.5, 2.5])
def test_started_requests_cause_hardly_any_preemption(crowding):
    crowd = played("line", crowding)
    assert crowd.preempted <= 0.001 * len(crowd.asked)


@pytest.mark.parametrize("crowding", [1.5, 2.5])
def test_capacity_is_used_while_requests_wait(crowding):
    """What is made comes to most of what engines can hold: waiting costs no room."""
    crowd = played("line", crowding)
    made = sum(asked.made for asked in crowd.asked if asked.kind is SUMMARY)
    at_once = CAPACITY_TOKENS // (SUMMARY.prompt_tokens + round(SUMMARY.output_tokens))
    assert made >= 0.7 * at_once * REPLICAS * TOKENS_PER_S * LENGTH_S * (
        1.0 - crowding * VERDICT.part
    )


@pytest.mark.parametrize("crowding", [1.5, 2.5])
def test_every_request_starts_or_is_refused_before_its_deadline(crowding):
    crowd = played("line", crowding)
    for asked in crowd.asked:
        over = asked.at + asked.kind.deadline_s <= LENGTH_S
        assert not over or asked.first_at is not None or asked.refused_at is not None
        assert asked.refused_at is None or asked.refused_at < asked.at + asked.kind.deadline_s


def test_queue_does_no_harm_while_capacity_suffices():
    line = played("line", 0.8)
    assert worth(line) >= 0.97
    assert all(asked.refused_at is None for asked in line.asked)


@pytest.mark.parametrize("crowding", [1.5, 2.5])
def test_one_queue_over_all_zones_serves_them_equally_whatever_their_load(crowding):
    """With a line each, room goes to zones and not to those who wait: the fullest gets least."""
    load = (3.0, 1.0, 1.0, 1.0)

    def fullest_and_others(over_zones: bool) -> tuple[float, float]:
        way = ByZone(load, over_zones)
        crowd = Crowd(way, crowding, seed=1).play()
        fullest = in_time(crowd, lambda asked: way.zones[asked.number] == 0)
        return fullest, in_time(crowd, lambda asked: way.zones[asked.number] != 0)

    fullest, others = fullest_and_others(over_zones=True)
    assert fullest >= 0.9 * others
    assert fullest > fullest_and_others(over_zones=False)[0]
