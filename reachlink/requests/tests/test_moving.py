"""Generations that move: copies, giving way, evacuation."""

import asyncio

import pytest

from reachlink.membership import LeavingSource
from reachlink.requests import LoadNote, MemoryNote, ReplicaShare, StreamCutError
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
    made = world_with_script(zones, prefix, script=script)
    made.parts.clock = loop_time
    return made


def test_a_stream_goes_on_at_its_copy():
    made = virtual_time_world("a a", "m", script=first_then_rest)
    made.engine = BACKUP_ENGINE
    sink = run_virtually(made.run(RequestKind.STREAM))
    assert sink.body == stream(1, 6) and sink.ended
    home, copy = made.adapter.sent
    assert home.backup == copy.replica != home.replica
    assert copy.continuation.after_event == 3
    assert copy.continuation.memory == MovedMemory(f"{copy.replica}:1", "id-1")


async def first_then_rest(sent):
    """Break after three events; a continuation brings the rest."""
    if sent.continuation is None:
        return await answering(200, stream(1, 3), event(4)[:5], BROKEN)(sent)
    first = sent.continuation.after_event + 1
    return await answering(200, stream(first, 6))(sent)


def test_repeated_events_of_a_continuation_are_dropped():
    async def again(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), BROKEN)(sent)
        return await answering(200, stream(2, 5))(sent)

    made = virtual_time_world("a a", "m", script=again)
    made.engine = BACKUP_ENGINE
    assert run_virtually(made.run(RequestKind.STREAM)).body == stream(1, 5)


def test_a_refused_continuation_is_not_begun_again():
    async def refusing(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), BROKEN)(sent)
        return await NOT_RUN(sent)

    made = virtual_time_world("a a", "m", script=refusing)
    made.engine = BACKUP_ENGINE
    with pytest.raises(StreamCutError):
        run_virtually(made.run(RequestKind.STREAM))
    assert [s.continuation is None for s in made.adapter.sent] == [True, False]


def test_a_generation_is_copied_when_its_replica_leaves():
    made = virtual_time_world("a a a", "m", script=answering(200, stream(1, 3), 0.4, stream(4, 5)))
    made.adapter.move_result = MoveResult(MovedMemory("m1:1", "h1"), True)

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM, output_tokens=300))
        while not made.adapter.sent:
            await asyncio.sleep(0.01)
        home = made.adapter.sent[0].replica
        made.list_replicas(home)
        sink = await running
        await wait_until(lambda: made.adapter.released)
        return home, sink

    home, sink = run_virtually(scenario())
    assert sink.body == stream(1, 5)
    source, target, last = made.adapter.moves[0]
    assert source == home != target and not last
    assert made.adapter.released == [MovedMemory("m1:1", "h1")]


def test_a_generation_that_outlasts_its_guess_is_copied_when_its_replica_leaves():
    made = virtual_time_world(
        "a a a", "m", script=answering(200, stream(1, 60), 0.4, stream(61, 62))
    )
    made.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(
            made.run(RequestKind.STREAM, output_tokens=1000, expected_tokens=200)
        )
        await wait_until(lambda: made.adapter.sent)
        await asyncio.sleep(0)
        home = made.adapter.sent[0].replica
        made.list_replicas(home)
        await running
        return home

    home = run_virtually(scenario())
    assert [source for source, _, _ in made.adapter.moves][:1] == [home]


def test_a_copy_where_the_replica_leaves_with_the_home_is_replaced():
    made = virtual_time_world("a a a", "m", script=answering(200, stream(1, 3), 0.9, stream(4, 5)))
    made.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        await wait_until(lambda: made.adapter.moves)
        home, target, _ = made.adapter.moves[0]
        now = loop_time()
        for name in (home, target):
            made.departures.report(name, now, leaves_in_s=2.0)
        made.list_replicas(home, target)
        await wait_until(lambda: {t for _, t, _ in made.adapter.moves} - {target})
        running.cancel()
        await asyncio.wait({running})
        return home, target

    home, target = run_virtually(scenario())
    (other,) = set(made.zones) - {home, target}
    assert made.adapter.moves[-1][:2] == (home, other)
    assert MEMORY in made.adapter.released


def test_a_silent_replica_is_left_for_the_copy(monkeypatch):
    monkeypatch.setattr("reachlink.requests._streams.MAX_SILENCE_S", 0.05)

    async def silent(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), 30.0, stream(4, 6))(sent)
        return await answering(200, stream(4, 6))(sent)

    made = virtual_time_world("a a", "m", script=silent)
    made.engine = BACKUP_ENGINE
    assert run_virtually(made.run(RequestKind.STREAM)).body == stream(1, 6)


def test_a_stream_goes_on_where_its_memory_was_moved_to():
    async def breaking(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), 0.3, BROKEN)(sent)
        return await answering(200, stream(4, 6))(sent)

    made = virtual_time_world("a a", "m", script=breaking)
    made.adapter.move_result = MOVED
    sink = run_virtually(made.run(RequestKind.STREAM))
    assert sink.body == stream(1, 6) and sink.ended
    home, copy = made.adapter.sent
    assert home.backup == "" and copy.continuation.memory == MEMORY
    assert made.adapter.moves[0] == (home.replica, copy.replica, False)


def test_a_copy_gives_way_to_what_others_need():
    made = virtual_time_world("a a", "m", script=answering(200, stream(1, 3), 5.0))
    made.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        await wait_until(lambda: made.adapter.moves)
        _, target, _ = made.adapter.moves[0]
        others = ReplicaShare(target, 9, 36_000, 0, 36_000)
        made.shared.take(LoadNote("e2", [others]), loop_time())
        await wait_until(lambda: made.adapter.released)
        running.cancel()
        await asyncio.wait({running})

    run_virtually(scenario())
    assert made.adapter.released[0] == MEMORY


def test_a_copy_that_is_not_wanted_any_more_is_freed_though_it_is_on_its_way(monkeypatch):
    """Found by reading: a move that was cancelled kept its memory at the target."""
    monkeypatch.setattr("reachlink.requests._generation_places.BEGIN_SHARE", 1.0)
    made = virtual_time_world("a a", "m", script=answering(200, stream(1, 3), 0.15))
    made.adapter.move_result, made.adapter.move_takes_s = MOVED, 0.3

    async def scenario():
        sink = await made.run(RequestKind.STREAM)
        assert sink.ended and not made.adapter.released
        await wait_until(lambda: made.adapter.released)

    run_virtually(scenario())
    assert made.adapter.released == [MEMORY]


def test_no_copy_is_begun_for_what_stays_while_a_replica_is_evacuated(monkeypatch):
    monkeypatch.setattr("reachlink.requests._generation_places.BEGIN_SHARE", 1.0)
    made = virtual_time_world("a a a", "m", script=answering(200, stream(1, 3), 0.4, stream(4, 5)))
    made.adapter.move_result = MOVED

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        await wait_until(lambda: made.adapter.sent)
        home = made.adapter.sent[0].replica
        other = next(name for name in made.zones if name != home)
        now = loop_time()
        waiting = ReplicaShare(other, 1, 4000, uncovered=(MemoryNote(9, 4000, 50),))
        made.directory.mark_leaving(other, LeavingSource.CLOSING, now)
        made.shared.take(LoadNote("e2", [waiting]), now)
        await running

    run_virtually(scenario())
    assert made.adapter.moves == []


def test_a_copy_on_its_way_keeps_other_copies_from_its_target():
    made = virtual_time_world("a a", "m", script=answering(200, stream(1, 3), 0.5))
    made.adapter.move_result = MOVED

    async def scenario():
        now = loop_time()
        shares = [ReplicaShare(name, 0, 0, arriving=1) for name in made.zones]
        made.shared.take(LoadNote("e2", shares), now)
        await made.run(RequestKind.STREAM)

    run_virtually(scenario())
    assert made.adapter.moves == []


def test_a_copy_that_went_with_its_replicas_life_is_not_gone_on_from():
    """It has started again under its name and holds nothing of before."""
    made = virtual_time_world("a a a", "m", script=answering(200, stream(1, 3), 0.4, BROKEN))
    made.adapter.move_result = MOVED
    for name in made.zones:
        made.directory.note_born(name, 100, 0.0)

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM, output_tokens=300))
        await wait_until(lambda: made.adapter.sent)
        made.list_replicas(made.adapter.sent[0].replica)
        await wait_until(lambda: made.adapter.moves)
        # No other copy arrives in time.
        made.adapter.move_takes_s = 5.0
        made.directory.note_born(made.adapter.moves[0][1], 200, 0.0)
        with pytest.raises(StreamCutError):
            await running

    run_virtually(scenario())
    assert [sent.continuation for sent in made.adapter.sent] == [None]
