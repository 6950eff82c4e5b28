"""All instances together never exceed the rate that a cold replica sustains."""

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

# Maximum rate that deployments allow, as a multiple of what a cold replica sustains.
MOST = 1.5


@given(st.integers(1, 30), st.floats(0.0, 200.0), st.text("abc", max_size=4))
def test_coordinators_split_their_rate_exactly(count, sustained_per_s, replica):
    names = tuple(f"e{i}" for i in range(count))
    quotas = [
        request_quota(replica, sustained_per_s, PlacementDeciders(n, names, 99), coordinated=True)
        for n in names
    ]
    assert sum(quotas) == int(sustained_per_s * COORDINATORS_FRACTION)
    assert max(quotas) - min(quotas) <= 1


@given(st.lists(st.integers(1, 8), min_size=1, max_size=3), st.floats(1.0, 100.0))
def test_sides_of_a_partition_together_stay_below_the_maximum_rate(sides, sustained_per_s):
    """Each side of a network partition uses the whole rate; the worst case is their sum."""
    total = 0
    for side, count in enumerate(sides):
        names = tuple(f"s{side}-{i}" for i in range(count))
        total += sum(
            request_quota(
                "r", sustained_per_s, PlacementDeciders(n, names, count), coordinated=True
            )
            for n in names
        )
    assert total <= len(sides) * COORDINATORS_FRACTION * sustained_per_s
    assert 3 * COORDINATORS_FRACTION + UNCOORDINATED_FRACTION < MOST


def test_instances_without_coordinator_together_send_their_fraction():
    """410 instances without a reachable coordinator, 200 replicas at 25 requests per second."""
    names = [f"e{i}" for i in range(410)]
    totals = [
        sum(
            request_quota(f"r{r}", 25.0, PlacementDeciders(n, ("c1", "c2"), 410), coordinated=True)
            for n in names
        )
        for r in range(200)
    ]
    # The expected total is 5. With the rounding, the sum must stay below the maximum rate.
    assert 4.0 < sum(totals) / len(totals) < 6.0
    assert max(totals) + 3 * COORDINATORS_FRACTION * 25.0 < MOST * 25.0 + 5


@given(st.lists(st.floats(0.0, 20.0), max_size=200), st.integers(0, 6))
def test_no_window_contains_more_requests_than_the_quota(times, quota):
    rates = ColdRequestWindow()
    sent: list[float] = []
    for now in sorted(times):
        if rates.may_send("r", quota, now):
            rates.note_sent("r", now)
            sent.append(now)
    for begin in sent:
        assert sum(begin <= at <= begin + 1.0 for at in sent) <= quota


def test_request_times_outside_the_window_are_dropped():
    rates = ColdRequestWindow()
    rates.note_sent("r1", 0.0)
    rates.note_sent("r2", WINDOW_S + 0.1)
    assert list(rates._sent) == ["r2"]


def test_burst_respects_the_rate_of_cold_replicas_without_refusals():
    """A zone comes back with two cold replicas while two replicas elsewhere are warm."""
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
        placer = made.runner.placer
        return [await placer.place(request, set()) for request in requests]

    found = Counter(replica.name for replica in asyncio.run(scenario()) if replica)
    assert sum(found.values()) == 60
    # The coordinators use a fraction of 0.4 of 10 requests per second.
    assert max(found["p3"], found["p4"]) <= 4


def test_rate_is_not_exceeded_if_all_replicas_are_cold():
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
