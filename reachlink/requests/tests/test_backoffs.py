"""Effect of replicas in backoff on one request: placement, retries, copies, continuations."""

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


def back_off(setup: World, *names: str, wait_s: float = LONG_S) -> None:
    for name in names:
        setup.backoffs.record(f"{name}:1", wait_s, setup.now())


def sent_to(setup: World) -> list[str]:
    return [one.replica for one in setup.adapter.sent]


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_request_goes_to_a_replica_that_is_not_in_backoff(kind):
    setup = world_with_script("a a a", "m" if kind is RequestKind.STREAM else "p", script=OK)
    first, second, third = setup.zones
    back_off(setup, first, third)
    for _ in range(5):
        if kind is RequestKind.STREAM:
            setup.adapter.scripts[second] = [answering(200, stream(1, 2))]
        asyncio.run(setup.run(kind))
    assert set(sent_to(setup)) == {second}


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_backoff_found_only_at_sending_takes_no_attempt_and_no_retry_budget(kind):
    """The request was never sent; here one attempt is allowed and the retry budget is empty."""
    prefix = "m" if kind is RequestKind.STREAM else "p"
    setup = world_with_script("a a a", prefix, script=failing(UpstreamBackoffError(LONG_S)))
    last = list(setup.zones)[-1]
    setup.adapter.scripts[last] = [answering(200, stream(1, 2))]
    setup.parts.retry_limits = RetryLimits(0.0, 0.0)
    asyncio.run(setup.run(kind, max_attempts=1))
    assert sent_to(setup)[-1] == last
    assert setup.outcomes == ["delivered"]
    assert all(setup.tracker.state(name).health.failures == 0.0 for name in setup.zones)


def test_a_caller_is_told_the_end_of_a_long_backoff_at_once():
    setup = world("a a")
    back_off(setup, "p1", wait_s=LONG_S)
    back_off(setup, "p2", wait_s=LONG_S / 2)
    began = setup.now()
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(setup.run(RequestKind.ONCE))
    assert setup.now() - began < 0.5
    assert (caught.value.status, caught.value.reason) == (503, "in_backoff")
    assert LONG_S / 2 - 1.0 < caught.value.retry_after_s < LONG_S / 2 + 1.0
    assert not setup.adapter.sent


def test_a_replica_in_backoff_is_avoided_in_favour_of_another():
    setup = world("a a")
    back_off(setup, "p1")
    assert asyncio.run(setup.run(RequestKind.ONCE)).body == b"whole"
    assert sent_to(setup) == ["p2"]


def test_a_replica_in_backoff_is_no_target_of_copies():
    setup = world_with_script("a a a", "m", script=answering(200, stream(1, 3), 0.4, stream(4, 5)))
    setup.adapter.move_result = MoveResult(MovedMemory("m1:1", "h1"), True)
    backed_off = "m3"

    async def scenario():
        back_off(setup, backed_off)
        running = asyncio.create_task(setup.run(RequestKind.STREAM, output_tokens=300))
        while not setup.adapter.sent:
            await asyncio.sleep(0.01)
        setup.list_replicas(setup.adapter.sent[0].replica)
        await running

    asyncio.run(scenario())
    assert setup.adapter.moves
    assert backed_off not in {target for _, target, _ in setup.adapter.moves}


async def break_after_three_events(sent):
    """Break the first answer after three events; a continuation sends the remaining ones."""
    if sent.continuation is None:
        return await answering(200, stream(1, 3), event(4)[:5], BROKEN)(sent)
    return await answering(200, stream(sent.continuation.after_event + 1, 6))(sent)


def world_with_broken_stream(wait_s: float) -> World:
    """Return a world whose stream breaks while the replica with its copy is in backoff."""
    setup = world_with_script("a a", "m", script=break_after_three_events)
    setup.engine = BACKUP_ENGINE
    begin = setup.adapter.open

    async def opening(replica, request, left_s, continuation=None, backup=None):
        if backup is not None:
            back_off(setup, backup.name, wait_s=wait_s)
        return await begin(replica, request, left_s, continuation, backup)

    setup.adapter.open = opening  # type: ignore[method-assign]
    return setup


def test_a_stream_resumes_at_its_copy_after_a_short_backoff():
    setup = world_with_broken_stream(SHORT_S)
    began = setup.now()
    assert asyncio.run(setup.run(RequestKind.STREAM)).body == stream(1, 6)
    assert setup.now() - began >= SHORT_S


def test_a_stream_is_cut_if_the_backoff_at_its_copy_exceeds_the_permit_wait():
    setup = world_with_broken_stream(dispatch.CONTINUATION_PERMIT_WAIT_S + LONG_S)
    with pytest.raises(StreamCutError):
        asyncio.run(setup.run(RequestKind.STREAM))
    assert len(setup.adapter.sent) == 1


def test_a_placement_query_excludes_replicas_in_backoff():
    """The coordinator does not know which instances a replica has asked for a backoff."""
    setup = world("a a", "m")
    asked = []

    async def ask(question):
        asked.append(question)
        return None

    setup.parts.ask_coordinator = ask
    back_off(setup, "m1")
    setup.adapter.scripts["m2"] = [answering(200, stream(1, 2))]
    asyncio.run(setup.run(RequestKind.STREAM))
    assert "m1" in asked[0].excluded


def test_a_copy_waits_for_the_end_of_a_backoff_of_its_source():
    """The generation runs on at the source, so that its copy must not be given up."""
    setup = world_with_script("a a", "m", script=answering(200, stream(1, 3), 0.9, stream(4, 5)))
    setup.adapter.move_result = MoveResult(MovedMemory("m1:1", "h1"), True)
    moved = setup.adapter.move
    refused = []

    async def moving(source, request_id, target, last):
        if not refused:
            refused.append(target.name)
            raise UpstreamBackoffError(SHORT_S)
        return await moved(source, request_id, target, last)

    setup.adapter.move = moving

    async def scenario():
        running = asyncio.create_task(setup.run(RequestKind.STREAM, output_tokens=300))
        while not setup.adapter.sent:
            await asyncio.sleep(0.01)
        setup.list_replicas(setup.adapter.sent[0].replica)
        await running

    asyncio.run(scenario())
    assert refused and [target for _, target, _ in setup.adapter.moves][:1] == refused
