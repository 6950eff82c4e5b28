"""Replicas in backoff, seen from one request: placing, repeats, copies, continuations."""

import asyncio

import pytest

from reachlink.requests import RequestFailedError, RetryLimits, StreamCutError
from reachlink.requests import _request_dispatcher as dispatch
from reachlink.requests.tests.world import (
    BACKUP_ENGINE,
    BROKEN,
    OK,
    World,
    answering,
    event,
    failing,
    stream,
    world,
    world_with_script,
)
from reachlink.routing import RequestKind
from reachlink.upstreams import MovedMemory, MoveResult, UpstreamBackoffError

LONG_S = 300.0
SHORT_S = 0.2


def back_off(made: World, *names: str, wait_s: float = LONG_S) -> None:
    for name in names:
        made.backoffs.record(f"{name}:1", wait_s, made.now())


def sent_to(made: World) -> list[str]:
    return [one.replica for one in made.adapter.sent]


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_request_goes_to_one_that_is_not_in_backoff(kind):
    made = world_with_script("a a a", "m" if kind is RequestKind.STREAM else "p", script=OK)
    first, second, third = made.zones
    back_off(made, first, third)
    for _ in range(5):
        if kind is RequestKind.STREAM:
            made.adapter.scripts[second] = [answering(200, stream(1, 2))]
        asyncio.run(made.run(kind))
    assert set(sent_to(made)) == {second}


@pytest.mark.parametrize("kind", list(RequestKind))
def test_what_a_replica_was_chosen_for_before_it_asked_goes_elsewhere_for_free(kind):
    """No connection was used, so that neither the attempts nor the budget are: there is none."""
    prefix = "m" if kind is RequestKind.STREAM else "p"
    made = world_with_script("a a a", prefix, script=failing(UpstreamBackoffError(LONG_S)))
    last = list(made.zones)[-1]
    made.adapter.scripts[last] = [answering(200, stream(1, 2))]
    made.parts.retry_limits = RetryLimits(0.0, 0.0)
    asyncio.run(made.run(kind, max_attempts=1))
    assert sent_to(made)[-1] == last
    assert made.outcomes == ["delivered"]
    assert all(made.book.state(name).health.failures == 0.0 for name in made.zones)


def test_who_cannot_wait_is_told_at_once_when_to_come_back():
    made = world("a a")
    back_off(made, "p1", wait_s=LONG_S)
    back_off(made, "p2", wait_s=LONG_S / 2)
    began = made.now()
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(made.run(RequestKind.ONCE))
    assert made.now() - began < 0.5
    assert (caught.value.status, caught.value.reason) == (503, "in_backoff")
    assert LONG_S / 2 - 1.0 < caught.value.retry_after_s < LONG_S / 2 + 1.0
    assert not made.adapter.sent


def test_one_that_is_only_distrusted_is_used_rather_than_refusing():
    made = world("a a")
    back_off(made, "p1")
    assert asyncio.run(made.run(RequestKind.ONCE)).body == b"whole"
    assert sent_to(made) == ["p2"]


def test_no_copy_is_ordered_towards_a_replica_in_backoff():
    made = world_with_script("a a a", "m", script=answering(200, stream(1, 3), 0.4, stream(4, 5)))
    made.adapter.move_result = MoveResult(MovedMemory("m1:1", "h1"), True)
    backed_off = "m3"

    async def scenario():
        back_off(made, backed_off)
        running = asyncio.create_task(made.run(RequestKind.STREAM, output_tokens=300))
        while not made.adapter.sent:
            await asyncio.sleep(0.01)
        made.list_replicas(made.adapter.sent[0].replica)
        await running

    asyncio.run(scenario())
    assert made.adapter.moves
    assert backed_off not in {target for _, target, _ in made.adapter.moves}


async def first_then_others(sent):
    """Break after three events; a continuation brings the others."""
    if sent.continuation is None:
        return await answering(200, stream(1, 3), event(4)[:5], BROKEN)(sent)
    return await answering(200, stream(sent.continuation.after_event + 1, 6))(sent)


def interrupted(wait_s: float) -> World:
    """Return a world whose stream breaks while the replica of its copy backoffs."""
    made = world_with_script("a a", "m", script=first_then_others)
    made.engine = BACKUP_ENGINE
    begin = made.adapter.open

    async def opening(replica, request, left_s, continuation=None, backup=None):
        if backup is not None:
            back_off(made, backup.name, wait_s=wait_s)
        return await begin(replica, request, left_s, continuation, backup)

    made.adapter.open = opening  # type: ignore[method-assign]
    return made


def test_a_stream_goes_on_at_its_copy_once_that_wait_for_backoff():
    made = interrupted(SHORT_S)
    began = made.now()
    assert asyncio.run(made.run(RequestKind.STREAM)).body == stream(1, 6)
    assert made.now() - began >= SHORT_S


def test_a_stream_whose_copy_is_in_backoff_for_longer_than_callers_bear_is_cut():
    made = interrupted(dispatch.CONTINUATION_PERMIT_WAIT_S + LONG_S)
    with pytest.raises(StreamCutError):
        asyncio.run(made.run(RequestKind.STREAM))
    assert len(made.adapter.sent) == 1


def test_a_coordinator_is_told_whom_not_to_name():
    """It does not know whom a replica has told."""
    made = world("a a", "m")
    asked = []

    async def ask(question):
        asked.append(question)
        return None

    made.parts.ask_coordinator = ask
    back_off(made, "m1")
    made.adapter.scripts["m2"] = [answering(200, stream(1, 2))]
    asyncio.run(made.run(RequestKind.STREAM))
    assert "m1" in asked[0].excluded


def test_an_order_to_copy_waits_for_the_source_to_be_out_of_backoff():
    """The generation runs on there; its copy is not given up."""
    made = world_with_script("a a", "m", script=answering(200, stream(1, 3), 0.9, stream(4, 5)))
    made.adapter.move_result = MoveResult(MovedMemory("m1:1", "h1"), True)
    moved = made.adapter.move
    refused = []

    async def moving(source, request_id, target, last):
        if not refused:
            refused.append(target.name)
            raise UpstreamBackoffError(SHORT_S)
        return await moved(source, request_id, target, last)

    made.adapter.move = moving

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM, output_tokens=300))
        while not made.adapter.sent:
            await asyncio.sleep(0.01)
        made.list_replicas(made.adapter.sent[0].replica)
        await running

    asyncio.run(scenario())
    assert refused and [target for _, target, _ in made.adapter.moves][:1] == refused
