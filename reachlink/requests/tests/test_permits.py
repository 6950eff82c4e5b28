"""Permits at replicas with a rate limit, from the view of one request."""

import asyncio

import pytest

from reachlink.membership import LeavingSource
from reachlink.requests import Allocation, RequestFailedError, RetryLimits
from reachlink.requests.tests.world import (
    OK,
    FakeAnswer,
    Script,
    SentRequest,
    World,
    answering,
    stream,
    world_with_script,
)
from reachlink.routing import RequestKind
from reachlink.upstreams import UpstreamLimitedError

PER_S = 2.0
LONG_S = 60.0


def limit(setup: World, left_s: float, *names: str) -> None:
    """Give replicas a rate limit that allows no request for `left_s` seconds."""
    for name in names:
        setup.pacing.limits.record(f"{name}:1", PER_S, setup.now())
        setup.pacing.limits.block(f"{name}:1", left_s, setup.now())


def sent_to(setup: World) -> list[str]:
    return [one.replica for one in setup.adapter.sent]


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_request_goes_to_a_replica_whose_limit_is_not_used_up(kind):
    setup = world_with_script("a a a", "m" if kind is RequestKind.STREAM else "p", script=OK)
    first, second, third = setup.zones
    limit(setup, 60.0, first, third)
    if kind is RequestKind.STREAM:
        setup.adapter.scripts[second] = [answering(200, stream(1, 2))]
    asyncio.run(setup.run(kind))
    assert sent_to(setup) == [second]


def test_a_request_waits_for_the_earliest_permit_if_all_limits_are_used_up():
    setup = world_with_script("a a", script=OK)
    later, sooner = setup.zones
    limit(setup, 60.0, later)
    limit(setup, 0.05, sooner)
    asked: list[tuple[str, float]] = []

    async def admit(address: str, max_wait_s: float) -> None:
        asked.append((address, max_wait_s))

    setup.parts.admit = admit
    asyncio.run(setup.run(RequestKind.ONCE, objective_s=1.0))
    assert [address for address, _ in asked] == [f"{sooner}:1"]
    # At most half of the objective.
    assert 0.3 < asked[0][1] <= 0.5
    assert sent_to(setup) == [sooner]
    assert setup.adapter.admitted == [True]


def test_a_replica_found_to_be_leaving_during_the_wait_gets_no_request():
    setup = world_with_script("a", script=OK)
    (only,) = setup.zones
    limit(setup, 1.9, only)

    async def admit(address: str, max_wait_s: float) -> None:
        setup.directory.mark_leaving(only, LeavingSource.ANSWER, setup.now())

    setup.parts.admit = admit
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(setup.run(RequestKind.ONCE, objective_s=4.0))
    assert caught.value.status == 503
    assert not setup.adapter.sent


def test_a_caller_is_told_the_time_of_the_next_permit_if_it_is_too_late():
    setup = world_with_script("a a", script=OK)
    limit(setup, 7.0, *setup.zones)
    begun = setup.now()
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(setup.run(RequestKind.ONCE))
    assert setup.now() - begun < 0.2
    assert (caught.value.status, caught.value.reason) == (503, "over_limit")
    assert 6.0 < caught.value.retry_after_s <= 7.0


def limited_script(setup: World) -> Script:
    """Return a script that fails as the client does if other requests used up the permits."""

    async def script(sent: SentRequest) -> FakeAnswer:
        limit(setup, LONG_S, sent.replica)
        raise UpstreamLimitedError(LONG_S)

    return script


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_permit_lost_to_another_request_takes_no_attempt_and_no_retry_budget(kind):
    setup = world_with_script("a a a", "m" if kind is RequestKind.STREAM else "p", script=OK)
    *refused, last = setup.zones
    for name in refused:
        setup.adapter.scripts[name] = [limited_script(setup)]
    setup.adapter.scripts[last] = [answering(200, stream(1, 2))]
    setup.parts.retry_limits = RetryLimits(0.0, 0.0)
    # More load at the last replica, so that it is tried last.
    for _ in range(5):
        setup.tracker.add(last, Allocation("other", 10, 0))
    asyncio.run(setup.run(kind, max_attempts=1))
    assert sent_to(setup)[-1] == last
    assert set(sent_to(setup)) == set(setup.zones)
    assert setup.outcomes == ["delivered"]
    assert all(setup.tracker.state(name).health.failures == 0.0 for name in setup.zones)


def test_the_reason_of_a_hold_is_reported_even_if_a_permit_has_become_available():
    """Callers got `no_replica` if a permit became available just before the final answer."""
    setup = world_with_script("a", script=OK)
    (only,) = setup.zones
    limit(setup, 60.0, only)
    placer = setup.runner.placer
    answers = [placer.hold]

    def hold_until_final_answer(request, tried):
        found = answers[0](request, tried)
        # The final answer checks for a hold once more, with an empty frozenset.
        return None if tried == frozenset() and isinstance(tried, frozenset) else found

    placer.hold = hold_until_final_answer
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(setup.run(RequestKind.ONCE, objective_s=1.0))
    assert (caught.value.status, caught.value.reason) == (503, "over_limit")
    assert caught.value.retry_after_s > 1.0
