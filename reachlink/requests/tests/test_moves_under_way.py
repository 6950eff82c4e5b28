"""A replica performs only one transfer of a generation at a time.

Guards against lost generations when a replica leaves although others have room. A shadow copy
is discarded during its transfer because others need its memory. The source rejects each new
transfer until the first one has ended. If these rejections are mistaken for lack of room,
one replica after the other is tried until the shutdown, and copies of other generations are
evicted at each of them in vain.
"""

import asyncio

import pytest

from reachlink.requests import LoadUpdate, ReplicaUsage, StreamCutError
from reachlink.requests.tests.world import BROKEN, World, answering, stream, world_with_script
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually
from reachlink.upstreams import MovedMemory, MoveFailure, MoveResult

MOVED = MoveResult(MovedMemory("m1:1", "h1"), True)
NOTICE_S = 0.7


def loop_time() -> float:
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr("reachlink.requests.tests.world.steady_time", loop_time)
    monkeypatch.setattr("reachlink.requests._generation_replicas.COPY_START_PROBABILITY", 1.0)


def fleet(breaks_after_s: float) -> World:
    """Return four replicas; a generation breaks off at the one where it starts."""

    async def breaking(sent):
        if sent.continuation is None:
            return await answering(200, stream(1, 3), breaks_after_s, BROKEN)(sent)
        return await answering(200, stream(4, 6))(sent)

    made = world_with_script("a a a a", "m", script=breaking)
    made.adapter.move_result, made.adapter.move_takes_s = MOVED, 0.6
    made.parts.clock = loop_time
    return made


async def first_order(made: World) -> tuple[str, str]:
    while not made.adapter.moves:
        await asyncio.sleep(0.01)
    primary, target, _ = made.adapter.moves[0]
    return primary, target


def test_copy_in_transfer_is_kept_for_leaving_primary_if_others_need_its_memory():
    made = fleet(breaks_after_s=0.1 + NOTICE_S)

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        primary, target = await first_order(made)
        crowd = ReplicaUsage(target, 9, 36_000, 0, 36_000)
        made.peer_load.update(LoadUpdate("e2", [crowd]), loop_time())
        await asyncio.sleep(0.06)
        made.list_replicas(primary)
        return primary, target, await running

    primary, target, sink = run_virtually(scenario())
    assert sink.body == stream(1, 6) and sink.ended
    assert {order[:2] for order in made.adapter.moves} == {(primary, target)}


def test_copy_in_transfer_is_evicted_only_after_its_arrival():
    made = fleet(breaks_after_s=5.0)

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        _, target = await first_order(made)
        for _ in range(10):
            crowd = ReplicaUsage(target, 9, 36_000, 0, 36_000)
            made.peer_load.update(LoadUpdate("e2", [crowd]), loop_time())
            await asyncio.sleep(0.1)
        running.cancel()
        await asyncio.wait({running})

    run_virtually(scenario())
    assert made.adapter.released[0] == MOVED.memory


def test_no_copy_is_requested_during_transfer_of_a_discarded_copy():
    made = fleet(breaks_after_s=5.0)

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        primary, target = await first_order(made)
        for name in (primary, target):
            made.shutdown_times.note_reported_time(name, loop_time(), leaves_in_s=2.5)
        made.list_replicas(primary, target)
        await asyncio.sleep(1.0)
        running.cancel()
        await asyncio.wait({running})
        return primary, target

    primary, target = run_virtually(scenario())
    # The second copy is requested after the first has arrived, and none in between.
    first, second = made.adapter.moves
    assert first[:2] == (primary, target)
    assert second[0] == primary and second[1] not in (primary, target)


@pytest.mark.parametrize("setback", [MoveFailure.MOVE_IN_PROGRESS, MoveFailure.NOT_RUNNING])
def test_transfer_rejected_by_source_does_not_mark_target_as_full(setback):
    made = fleet(breaks_after_s=0.3)
    made.zones.clear()
    made.zones.update(m1="a", m2="a")
    made.list_replicas()
    made.adapter.move_result, made.adapter.move_takes_s = MoveResult(failure=setback), 0.0

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM, output_tokens=300))
        while not made.adapter.sent:
            await asyncio.sleep(0.01)
        made.list_replicas(made.adapter.sent[0].replica)
        await first_order(made)
        made.adapter.move_result = MOVED
        return await running

    sink = run_virtually(scenario())
    assert sink.body == stream(1, 6) and sink.ended
    assert made.adapter.moves[1] == made.adapter.moves[0]


def test_replica_without_room_is_not_retried_at_once():
    made = fleet(breaks_after_s=0.1 + NOTICE_S)
    made.adapter.move_result = MoveResult(failure=MoveFailure.NO_ROOM)
    made.adapter.move_takes_s = 0.0

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM, output_tokens=300))
        while not made.adapter.sent:
            await asyncio.sleep(0.01)
        made.list_replicas(made.adapter.sent[0].replica)
        with pytest.raises(StreamCutError):
            await running

    run_virtually(scenario())
    targets = [target for _, target, _ in made.adapter.moves]
    assert len(set(targets[:3])) == 3
