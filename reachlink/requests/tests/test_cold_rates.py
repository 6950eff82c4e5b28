"""Cold replicas: all instances together never send more than one bears."""

import asyncio
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from reachlink.kernel import steady_time
from reachlink.membership import ListedInstance
from reachlink.requests import PlacementDeciders
from reachlink.requests._cold_rates import (
    COORDINATORS_FRACTION,
    UNCOORDINATED_FRACTION,
    WINDOW_S,
    ColdRequestWindow,
    request_quota,
)
from reachlink.requests.tests.world import OK, world_with_script
from reachlink.routing import RequestKind, Service

# What deployments allow beyond what a cold replica bears, as a factor.
MOST = 1.5


@given(st.integers(1, 30), st.floats(0.0, 200.0), st.text("abc", max_size=4))
def test_coordinators_split_the_whole_exactly(count, bears, replica):
    names = tuple(f"e{i}" for i in range(count))
    shares = [
        request_quota(replica, bears, PlacementDeciders(n, names, 99), coordinated=True)
        for n in names
    ]
    assert sum(shares) == int(bears * COORDINATORS_FRACTION)
    assert max(shares) - min(shares) <= 1


@given(st.lists(st.integers(1, 8), min_size=1, max_size=3), st.floats(1.0, 100.0))
def test_sides_that_know_nothing_of_each_other_stay_below_what_is_allowed(sides, bears):
    """Each side of a cut takes itself for the whole; the worst case is their sum."""
    total = 0
    for side, count in enumerate(sides):
        names = tuple(f"s{side}-{i}" for i in range(count))
        total += sum(
            request_quota("r", bears, PlacementDeciders(n, names, count), coordinated=True)
            for n in names
        )
    assert total <= len(sides) * COORDINATORS_FRACTION * bears
    assert 3 * COORDINATORS_FRACTION + UNCOORDINATED_FRACTION < MOST


def test_instances_that_decide_alone_take_their_part_together():
    """All 410 at once, none with a coordinator in reach: 200 replicas, 25 requests a second."""
    names = [f"e{i}" for i in range(410)]
    totals = [
        sum(
            request_quota(f"r{r}", 25.0, PlacementDeciders(n, ("c1", "c2"), 410), coordinated=True)
            for n in names
        )
        for r in range(200)
    ]
    # 5 are meant; what these draws come to besides must fit below what is allowed.
    assert 4.0 < sum(totals) / len(totals) < 6.0
    assert max(totals) + 3 * COORDINATORS_FRACTION * 25.0 < MOST * 25.0 + 5


@given(st.lists(st.floats(0.0, 20.0), max_size=200), st.integers(0, 6))
def test_no_window_holds_more_than_the_share(times, share):
    rates = ColdRequestWindow()
    sent: list[float] = []
    for now in sorted(times):
        if rates.may_send("r", share, now):
            rates.note_sent("r", now)
            sent.append(now)
    for begin in sent:
        assert sum(begin <= at <= begin + 1.0 for at in sent) <= share


def test_what_is_remembered_goes_with_the_window():
    rates = ColdRequestWindow()
    rates.note_sent("r1", 0.0)
    rates.note_sent("r2", WINDOW_S + 0.1)
    assert list(rates._sent) == ["r2"]


def test_a_zone_that_comes_back_cold_gets_what_it_bears():
    """Two warm and two cold replicas under a burst: none is refused, the cold ones spared."""
    made = world_with_script("a a b b", script=OK)
    service = Service("plain", "/health", 10, cold_requests_per_s=10.0)
    listed = [
        ListedInstance(name, "plain", zone, f"{name}:1", cold_s=5.0 if zone == "b" else 0.0)
        for name, zone in made.zones.items()
    ]

    async def scenario():
        made.directory.update(listed, steady_time())
        requests = [made.request(RequestKind.REPEATABLE) for _ in range(60)]
        for request in requests:
            request.service = service
        placing = made.runner.placer
        return [await placing.place(request, set()) for request in requests]

    found = Counter(replica.name for replica in asyncio.run(scenario()) if replica)
    assert sum(found.values()) == 60
    # 10 a second, of which coordinators take 0.4.
    assert max(found["p3"], found["p4"]) <= 4


def test_where_all_are_cold_no_more_is_sent_than_they_bear():
    made = world_with_script("a b", script=OK)
    service = Service("plain", "/health", 10, cold_requests_per_s=5.0)
    made.directory.update(
        [ListedInstance(n, "plain", z, f"{n}:1", cold_s=5.0) for n, z in made.zones.items()],
        0.0,
    )

    async def scenario():
        for name in made.zones:
            made.directory.note_cold(name, 5.0, steady_time())
        requests = [made.request(RequestKind.REPEATABLE) for _ in range(20)]
        for request in requests:
            request.service = service
        return [await made.runner.placer.place(r, set()) for r in requests]

    found = [replica for replica in asyncio.run(scenario()) if replica]
    assert Counter(r.name for r in found) == {"p1": 2, "p2": 2}
