"""Permits at replicas with a limit, seen from one request."""

import asyncio

import pytest

from reachlink.membership import LeavingSource
from reachlink.requests import Flight, RequestFailedError, RetryLimits
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


def limit(made: World, left_s: float, *names: str) -> None:
    """Have replicas name a limit, with nothing left of it for some seconds."""
    for name in names:
        made.pacing.limits.record(f"{name}:1", PER_S, made.now())
        made.pacing.limits.block(f"{name}:1", left_s, made.now())


def sent_to(made: World) -> list[str]:
    return [one.replica for one in made.adapter.sent]


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_request_goes_to_one_that_has_something_left(kind):
    made = world_with_script("a a a", "m" if kind is RequestKind.STREAM else "p", script=OK)
    first, second, third = made.zones
    limit(made, 60.0, first, third)
    if kind is RequestKind.STREAM:
        made.adapter.scripts[second] = [answering(200, stream(1, 2))]
    asyncio.run(made.run(kind))
    assert sent_to(made) == [second]


def test_where_all_are_held_back_the_first_turn_is_waited_for():
    made = world_with_script("a a", script=OK)
    later, sooner = made.zones
    limit(made, 60.0, later)
    limit(made, 0.05, sooner)
    asked: list[tuple[str, float]] = []

    async def admit(address: str, patience_s: float) -> None:
        asked.append((address, patience_s))

    made.parts.admit = admit
    asyncio.run(made.run(RequestKind.ONCE, objective_s=1.0))
    assert [address for address, _ in asked] == [f"{sooner}:1"]
    # Half of its objective, which has just begun.
    assert 0.3 < asked[0][1] <= 0.5
    assert sent_to(made) == [sooner]
    assert made.adapter.admitted == [True]


def test_a_replica_that_was_found_to_leave_during_the_wait_gets_nothing():
    made = world_with_script("a", script=OK)
    (only,) = made.zones
    limit(made, 1.9, only)

    async def admit(address: str, patience_s: float) -> None:
        made.directory.mark_leaving(only, LeavingSource.ANSWER, made.now())

    made.parts.admit = admit
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(made.run(RequestKind.ONCE, objective_s=4.0))
    assert caught.value.status == 503
    assert not made.adapter.sent


def test_who_has_no_turn_in_time_is_told_at_once_when_the_next_is():
    made = world_with_script("a a", script=OK)
    limit(made, 7.0, *made.zones)
    begun = made.now()
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(made.run(RequestKind.ONCE))
    assert made.now() - begun < 0.2
    assert (caught.value.status, caught.value.reason) == (503, "over_limit")
    assert 6.0 < caught.value.retry_after_s <= 7.0


def refusing(made: World) -> Script:
    """Answer as the client does where others had the permits: nothing is sent, and that noted."""

    async def script(sent: SentRequest) -> FakeAnswer:
        limit(made, LONG_S, sent.replica)
        raise UpstreamLimitedError(LONG_S)

    return script


@pytest.mark.parametrize("kind", list(RequestKind))
def test_turns_that_others_had_cost_neither_attempts_nor_retries(kind):
    made = world_with_script("a a a", "m" if kind is RequestKind.STREAM else "p", script=OK)
    *refused, last = made.zones
    for name in refused:
        made.adapter.scripts[name] = [refusing(made)]
    made.adapter.scripts[last] = [answering(200, stream(1, 2))]
    made.parts.retry_limits = RetryLimits(0.0, 0.0)
    # Others look busier: the last one is tried last.
    for _ in range(5):
        made.book.add(last, Flight("other", 10, 0))
    asyncio.run(made.run(kind, max_attempts=1))
    assert sent_to(made)[-1] == last
    assert set(sent_to(made)) == set(made.zones)
    assert made.outcomes == ["delivered"]
    assert all(made.book.state(name).health.failures == 0.0 for name in made.zones)


def test_one_that_was_held_back_is_told_so_also_where_a_replica_is_free_by_then():
    """Callers were told that there is no replica where a permit came free just then."""
    made = world_with_script("a", script=OK)
    (only,) = made.zones
    limit(made, 60.0, only)
    placing = made.runner.placing
    answers = [placing.hold]

    def free_by_then(request, tried):
        found = answers[0](request, tried)
        # The answer to the caller is decided by another look.
        return None if tried == frozenset() and isinstance(tried, frozenset) else found

    placing.hold = free_by_then
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(made.run(RequestKind.ONCE, objective_s=1.0))
    assert (caught.value.status, caught.value.reason) == (503, "over_limit")
    assert caught.value.retry_after_s > 1.0
