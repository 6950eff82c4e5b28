"""Copies of generations: creation, eviction, and resuming at them."""

import asyncio

import pytest

from reachlink.membership import LeavingSource
from reachlink.requests import AllocationSummary, LoadUpdate, ReplicaUsage, StreamCutError
from reachlink.requests.tests.world import (
    BACKUP_ENGINE,
    BROKEN,
    NOT_RUN,
    Script,
    World,
    answering,
    event,
    stream,
    wait_until,
    world_with_script,
)
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually
from reachlink.upstreams import MovedMemory, MoveResult

MEMORY = MovedMemory("m1:1", "h1")
MOVED = MoveResult(MEMORY, True)


def loop_time() -> float:
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr("reachlink.requests.tests.world.steady_time", loop_time)


def virtual_time_world(zones: str, prefix: str, *, script: Script) -> World:
    setup = world_with_script(zones, prefix, script=script)
    setup.parts.clock = loop_time
    return setup


def test_a_stream_resumes_at_its_backup():
    setup = virtual_time_world("a a", "m", script=break_after_three_events)
    setup.engine = BACKUP_ENGINE
    sink = run_virtually(setup.run(RequestKind.STREAM))
    assert sink.body == stream(1, 6) and sink.ended
    primary, copy = setup.adapter.sent
    assert primary.backup == copy.replica != primary.replica
    assert copy.continuation.after_event == 3
    assert copy.continuation.memory == MovedMemory(f"{copy.replica}:1", "id-1")


async def break_after_three_events(sent):
    """Break the first answer after three events; a continuation sends the remaining ones."""
    if sent.continuation is None:
        return await answering(200, stream(1, 3), event(4)[:5], BROKEN)(sent)
    first = sent.continuation.after_event + 1
    return await answering(200, stream(first, 6))(sent)


def test_repeated_events_of_a_continuation_are_dropped():
    async def repeating(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), BROKEN)(sent)
        return await answering(200, stream(2, 5))(sent)

    setup = virtual_time_world("a a", "m", script=repeating)
    setup.engine = BACKUP_ENGINE
    assert run_virtually(setup.run(RequestKind.STREAM)).body == stream(1, 5)


def test_a_generation_does_not_restart_after_a_refused_continuation():
    async def refusing(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), BROKEN)(sent)
        return await NOT_RUN(sent)

    setup = virtual_time_world("a a", "m", script=refusing)
    setup.engine = BACKUP_ENGINE
    with pytest.raises(StreamCutError):
        run_virtually(setup.run(RequestKind.STREAM))
    assert [s.continuation is None for s in setup.adapter.sent] == [True, False]


def test_a_generation_is_copied_when_its_replica_leaves():
    setup = virtual_time_world("a a a", "m", script=answering(200, stream(1, 3), 0.4, stream(4, 5)))
    setup.adapter.move_result = MoveResult(MovedMemory("m1:1", "h1"), True)

    async def scenario():
        running = asyncio.create_task(setup.run(RequestKind.STREAM, output_tokens=300))
        while not setup.adapter.sent:
            await asyncio.sleep(0.01)
        primary = setup.adapter.sent[0].replica
        setup.list_replicas(primary)
        sink = await running
        await wait_until(lambda: setup.adapter.released)
        return primary, sink

    primary, sink = run_virtually(scenario())
    assert sink.body == stream(1, 5)
    source, target, last = setup.adapter.moves[0]
    assert source == primary != target and not last
    assert setup.adapter.released == [MovedMemory("m1:1", "h1")]


def test_a_generation_that_outlasts_its_guess_is_copied_when_its_replica_leaves():
    """If a generation past its estimated length counts as nearly complete, it is not copied."""
    setup = virtual_time_world(
        "a a a", "m", script=answering(200, stream(1, 60), 0.4, stream(61, 62))
    )
    setup.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(
            setup.run(RequestKind.STREAM, output_tokens=1000, expected_tokens=200)
        )
        await wait_until(lambda: setup.adapter.sent)
        await asyncio.sleep(0)
        primary = setup.adapter.sent[0].replica
        setup.list_replicas(primary)
        await running
        return primary

    primary = run_virtually(scenario())
    assert [source for source, _, _ in setup.adapter.moves][:1] == [primary]


def test_a_copy_is_replaced_if_its_replica_leaves_together_with_the_primary():
    setup = virtual_time_world("a a a", "m", script=answering(200, stream(1, 3), 0.9, stream(4, 5)))
    setup.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(setup.run(RequestKind.STREAM))
        await wait_until(lambda: setup.adapter.moves)
        primary, target, _ = setup.adapter.moves[0]
        now = loop_time()
        for name in (primary, target):
            setup.shutdown_times.note_reported_time(name, now, leaves_in_s=2.0)
        setup.list_replicas(primary, target)
        await wait_until(lambda: {t for _, t, _ in setup.adapter.moves} - {target})
        running.cancel()
        await asyncio.wait({running})
        return primary, target

    primary, target = run_virtually(scenario())
    (other,) = set(setup.zones) - {primary, target}
    assert setup.adapter.moves[-1][:2] == (primary, other)
    assert MEMORY in setup.adapter.released


def test_a_stream_resumes_at_its_copy_if_the_primary_is_silent(monkeypatch):
    monkeypatch.setattr("reachlink.requests._streams.MAX_SILENCE_S", 0.05)

    async def silent(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), 30.0, stream(4, 6))(sent)
        return await answering(200, stream(4, 6))(sent)

    setup = virtual_time_world("a a", "m", script=silent)
    setup.engine = BACKUP_ENGINE
    assert run_virtually(setup.run(RequestKind.STREAM)).body == stream(1, 6)


def test_a_stream_resumes_at_its_shadow_copy():
    async def breaking(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), 0.3, BROKEN)(sent)
        return await answering(200, stream(4, 6))(sent)

    setup = virtual_time_world("a a", "m", script=breaking)
    setup.adapter.move_result = MOVED
    sink = run_virtually(setup.run(RequestKind.STREAM))
    assert sink.body == stream(1, 6) and sink.ended
    primary, copy = setup.adapter.sent
    assert primary.backup == "" and copy.continuation.memory == MEMORY
    assert setup.adapter.moves[0] == (primary.replica, copy.replica, False)


def test_a_copy_is_evicted_if_other_instances_need_its_memory():
    setup = virtual_time_world("a a", "m", script=answering(200, stream(1, 3), 5.0))
    setup.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(setup.run(RequestKind.STREAM))
        await wait_until(lambda: setup.adapter.moves)
        _, target, _ = setup.adapter.moves[0]
        others = ReplicaUsage(target, 9, 36_000, 0, 36_000)
        setup.peer_load.update(LoadUpdate("e2", [others]), loop_time())
        await wait_until(lambda: setup.adapter.released)
        running.cancel()
        await asyncio.wait({running})

    run_virtually(scenario())
    assert setup.adapter.released[0] == MEMORY


def test_a_copy_discarded_during_its_transfer_is_freed(monkeypatch):
    """A cancelled transfer would leave its memory allocated at the target."""
    monkeypatch.setattr("reachlink.requests._generation_replicas.COPY_START_PROBABILITY", 1.0)
    setup = virtual_time_world("a a", "m", script=answering(200, stream(1, 3), 0.15))
    setup.adapter.move_result, setup.adapter.move_takes_s = MOVED, 0.3

    async def scenario():
        sink = await setup.run(RequestKind.STREAM)
        assert sink.ended and not setup.adapter.released
        await wait_until(lambda: setup.adapter.released)

    run_virtually(scenario())
    assert setup.adapter.released == [MEMORY]


def test_no_standing_copy_is_started_while_a_leaving_replica_has_generations_to_copy(monkeypatch):
    monkeypatch.setattr("reachlink.requests._generation_replicas.COPY_START_PROBABILITY", 1.0)
    setup = virtual_time_world("a a a", "m", script=answering(200, stream(1, 3), 0.4, stream(4, 5)))
    setup.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(setup.run(RequestKind.STREAM))
        await wait_until(lambda: setup.adapter.sent)
        primary = setup.adapter.sent[0].replica
        other = next(name for name in setup.zones if name != primary)
        now = loop_time()
        waiting = ReplicaUsage(other, 1, 4000, unreplicated=(AllocationSummary(9, 4000, 50),))
        setup.directory.mark_leaving(other, LeavingSource.CLOSING, now)
        setup.peer_load.update(LoadUpdate("e2", [waiting]), now)
        await running

    run_virtually(scenario())
    assert setup.adapter.moves == []


def test_a_pending_transfer_keeps_other_copies_from_its_target():
    setup = virtual_time_world("a a", "m", script=answering(200, stream(1, 3), 0.5))
    setup.adapter.move_result = MOVED

    async def scenario():
        now = loop_time()
        usages = [ReplicaUsage(name, 0, 0, pending_transfers=1) for name in setup.zones]
        setup.peer_load.update(LoadUpdate("e2", usages), now)
        await setup.run(RequestKind.STREAM)

    run_virtually(scenario())
    assert setup.adapter.moves == []


def test_a_stream_does_not_resume_at_a_replica_that_has_restarted_since_the_copy():
    """A replica that has restarted under the same name does not have the memory any more."""
    setup = virtual_time_world("a a a", "m", script=answering(200, stream(1, 3), 0.4, BROKEN))
    setup.adapter.move_result = MOVED
    for name in setup.zones:
        setup.directory.record_start(name, 100, 0.0)

    async def scenario():
        running = asyncio.create_task(setup.run(RequestKind.STREAM, output_tokens=300))
        await wait_until(lambda: setup.adapter.sent)
        setup.list_replicas(setup.adapter.sent[0].replica)
        await wait_until(lambda: setup.adapter.moves)
        # No other copy is complete in time.
        setup.adapter.move_takes_s = 5.0
        setup.directory.record_start(setup.adapter.moves[0][1], 200, 0.0)
        with pytest.raises(StreamCutError):
            await running

    run_virtually(scenario())
    assert [sent.continuation for sent in setup.adapter.sent] == [None]
