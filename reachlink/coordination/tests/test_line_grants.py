"""Who is granted the room that there is: nobody waits for room that others can't use."""

import asyncio
from itertools import permutations
from unittest.mock import patch

import msgspec

from reachlink.coordination._recent_grants import GRANT_COUNTED_S, RecentGrants
from reachlink.coordination.tests.test_line import asked
from reachlink.coordination.tests.test_line_failures import Scene, play
from reachlink.coordination.tests.test_line_refusals import KNOWN_S, leave_free
from reachlink.membership import ListedInstance
from reachlink.requests import PlaceAnswer, PlaceQuestion, ReplicaShare, SharedLoad
from reachlink.scheduling import Refuse, Wait
from reachlink.testing import run_virtually

IN_TWO_ZONES = [
    ListedInstance("r1", "chat", "a", "r1:1"),
    ListedInstance("r2", "chat", "b", "r2:1"),
]


def changed(question: PlaceQuestion, **fields: object) -> PlaceQuestion:
    return msgspec.structs.replace(question, **fields)


def ask_all(
    scene: Scene, questions: list[PlaceQuestion]
) -> list[asyncio.Future[PlaceAnswer | None]]:
    member = scene.others[0].member
    return [asyncio.ensure_future(member.ask(question)) for question in questions]


def test_room_is_not_held_back_for_one_that_may_not_go_there():
    async def story(scene: Scene) -> None:
        for instance in scene.everyone:
            instance.directory.update(IN_TWO_ZONES, scene.network.now)
        scene.make_room()
        scene.filler.begin("r2", 30_000)
        scene.tell()
        away = asked("away", tokens=25_000, hold_s=1.0)
        waiting = ask_all(scene, [changed(away, zones=("b",))])
        await asyncio.sleep(0.05)
        first = await scene.others[1].member.ask(asked("first", tokens=4_000))
        assert first is not None and first.replica is not None
        # By now it has been passed for so long that it holds room back.
        await asyncio.sleep(0.5)
        second = await scene.others[1].member.ask(asked("second", tokens=4_000, hold_s=0.3))
        assert second is not None and second.replica is not None
        waiting[0].cancel()

    play(story)


def test_room_is_held_back_where_one_that_was_passed_may_go():
    async def story(scene: Scene) -> None:
        leave_free(scene, 9_000)
        away = asked("large", tokens=25_000, hold_s=1.0)
        waiting = ask_all(scene, [changed(away, excluded=("r1",))])
        await asyncio.sleep(0.05)
        first = asked("first", tokens=4_000)
        passed = await scene.others[1].member.ask(changed(first, excluded=("r1",)))
        assert passed is not None and passed.replica is not None
        await asyncio.sleep(0.5)
        second = asked("second", tokens=4_000, hold_s=0.3)
        held_back = await scene.others[1].member.ask(changed(second, excluded=("r1",)))
        assert held_back is not None and isinstance(held_back.otherwise, Wait)
        waiting[0].cancel()

    play(story)


def test_one_behind_another_that_may_not_go_there_is_not_passed_for_ever():
    async def story(scene: Scene) -> None:
        for instance in scene.everyone:
            instance.directory.update(IN_TWO_ZONES, scene.network.now)
        leave_free(scene, 9_000)
        away = asked("away", tokens=26_000, hold_s=1.0)
        large = asked("large", tokens=25_000, hold_s=1.0)
        waiting = ask_all(scene, [changed(away, zones=("b",)), changed(large, zones=("a",))])
        await asyncio.sleep(0.05)
        first = asked("first", tokens=4_000)
        passed = await scene.others[1].member.ask(changed(first, zones=("a",)))
        assert passed is not None and passed.replica is not None
        await asyncio.sleep(0.5)
        second = asked("second", tokens=4_000, hold_s=0.3)
        held_back = await scene.others[1].member.ask(changed(second, zones=("a",)))
        assert held_back is not None and isinstance(held_back.otherwise, Wait)
        for task in waiting:
            task.cancel()

    play(story)


def test_the_same_replicas_in_another_order_are_not_compared_again():
    async def story(scene: Scene) -> None:
        leave_free(scene, 5_000)
        scene.filler.begin("r2", 5_000)
        scene.tell()
        orders = list(permutations(("r1", "x1", "x2", "x3")))[:12]
        questions = [asked(f"id-{number}", hold_s=1.0) for number in range(len(orders))]
        ask_all(
            scene,
            [changed(q, excluded=order) for q, order in zip(questions, orders, strict=True)],
        )
        await asyncio.sleep(0.05)
        answer = await scene.others[1].member.ask(asked("other", tokens=4_000, hold_s=0.06))
        assert answer is not None and answer.replica is not None
        assert answer.replica.name == "r1"

    play(story)


def test_who_fits_gets_a_free_place_however_many_before_it_do_not():
    async def story(scene: Scene) -> None:
        leave_free(scene, 5_000)
        # Each asks for less than the one before, and for more than there is.
        ask_all(
            scene,
            [asked(f"id-{n}", tokens=29_000 - 500 * n, hold_s=1.0) for n in range(30)],
        )
        await asyncio.sleep(0.05)
        answer = await scene.others[1].member.ask(asked("small", tokens=4_000, hold_s=0.5))
        assert answer is not None and answer.replica is not None

    play(story)


def test_where_nobody_fits_replicas_are_looked_at_once_a_look_however_many_wait():
    async def story(scene: Scene) -> None:
        tasks = ask_all(
            scene,
            [asked(f"id-{n}", tokens=29_000 - 500 * n, hold_s=1.0) for n in range(30)],
        )
        await asyncio.sleep(0.05)
        line, options = scene.owner.line, scene.owner.placing._options
        assert line is not None
        with patch.object(options, "of", wraps=options.of) as looked:
            line._scan(line._queues["chat"])
            assert looked.call_count == 1
        for task in tasks:
            task.cancel()

    play(story)


def test_replicas_are_not_looked_at_for_each_one_that_is_refused():
    async def story(scene: Scene) -> None:
        scene.ask(scene.others[0], "id-1")
        await asyncio.sleep(KNOWN_S)
        line, placing = scene.owner.line, scene.owner.placing
        assert line is not None
        line._scan(line._queues["chat"])
        questions = [asked(f"late-{n}", give_up_in_s=2.0, hold_s=0.0) for n in range(20)]
        with patch.object(placing, "has_room", wraps=placing.has_room) as looked:
            answers = await asyncio.gather(*ask_all(scene, questions))
        assert all(a is not None and isinstance(a.otherwise, Refuse) for a in answers)
        assert looked.call_count <= 1

    play(story)


def test_each_grant_counts_for_its_own_time_and_no_longer():
    async def story() -> None:
        loop = asyncio.get_running_loop()
        shared = SharedLoad()
        grants = RecentGrants(shared, loop.time)
        counts = []
        for _ in range(2):
            grants.add("m1", ReplicaShare("r1", running=1, tokens=1_000))
            counts.append(shared.at("r1", loop.time()).tokens)
            await asyncio.sleep(0.8 * GRANT_COUNTED_S)
        for _ in range(2):
            counts.append(shared.at("r1", loop.time()).tokens)
            await asyncio.sleep(0.25 * GRANT_COUNTED_S)
        assert counts == [1_000, 2_000, 1_000, 0]

    run_virtually(story())
