"""Who the owner of a line refuses, and what they find who come back."""

import asyncio

import msgspec
from structlog.testing import capture_logs

from reachlink.coordination.tests.test_line import asked
from reachlink.coordination.tests.test_line_failures import Scene, all_wait, play
from reachlink.requests import PlaceQuestion
from reachlink.scheduling import RefusalReason, Refuse, Wait

# Until then how fast room comes is not known, and a little longer, in seconds.
KNOWN_S = 2.5


def test_a_long_answer_that_could_begin_in_its_time_is_not_refused():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1")
        await asyncio.sleep(KNOWN_S)
        # It may begin in the first half of its time, and has its turn in a quarter of it.
        long = asked("long", tokens=8_000, hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0)
        answer = await scene.others[1].member.ask(long)
        assert answer is not None and isinstance(answer.otherwise, Wait)
        assert 5.0 < answer.otherwise.expected_wait_s < 15.0

    play(story)


def leave_free(scene: Scene, tokens: int) -> None:
    """Have each replica be full but for so many tokens."""
    scene.make_room()
    for replica in ("r1", "r2"):
        scene.filler.begin(replica, 30_000 - tokens)
    scene.tell()


def test_nobody_is_refused_while_a_place_is_free_for_it_though_others_go_first():
    async def story(scene: Scene) -> None:
        leave_free(scene, 5_000)
        scene.ask(scene.others[0], "large", tokens=25_000)
        await asyncio.sleep(KNOWN_S)
        small = asked("small", tokens=4_000, hold_s=0.0, give_up_in_s=6.0)
        answer = await scene.others[1].member.ask(small)
        assert answer is not None and isinstance(answer.otherwise, Wait)
        again = asked("small", tokens=4_000, hold_s=0.5, give_up_in_s=6.0)
        answer = await scene.others[1].member.ask(again)
        assert answer is not None and answer.replica is not None

    play(story)


def test_who_comes_back_has_the_age_of_its_wait_before_its_refusal():
    async def story(scene: Scene) -> None:
        first, second = scene.others
        tried = asked("tried", hold_s=1.0, first_event_due_in_s=50.0, give_up_in_s=1.9)
        tried = msgspec.structs.replace(tried, fingerprint=7)
        waiting = asyncio.ensure_future(first.member.ask(tried))
        await asyncio.sleep(0.3)
        younger = asked("younger", hold_s=1.0, first_event_due_in_s=50.0, give_up_in_s=60.0)
        others = [asyncio.ensure_future(second.member.ask(younger))]
        told = await waiting
        assert told is not None and isinstance(told.otherwise, Refuse)
        others.append(asyncio.ensure_future(second.member.ask(younger)))
        await asyncio.sleep(told.otherwise.retry_after_s)
        back = asked("back", hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0)
        back = msgspec.structs.replace(back, fingerprint=7)
        answer = await first.member.ask(back)
        assert answer is not None and isinstance(answer.otherwise, Wait)
        assert answer.otherwise.ahead == 0
        await asyncio.gather(*others)

    play(story)


def test_who_came_back_and_whose_place_lapses_keeps_its_age():
    async def story(scene: Scene) -> None:
        first, second = scene.others
        tried = asked(
            "tried", hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0, waited_s=5.0
        )
        line = scene.owner.line
        assert line is not None
        assert tried.need is not None
        line._outcomes._ledger.book.reserve(
            7, "chat", tried.need, Refuse(0.1, place_reserved=True), scene.network.now
        )
        await asyncio.sleep(0.15)
        back = asked("back", hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0)
        back = msgspec.structs.replace(back, fingerprint=7)
        await first.member.ask(back)
        # Its instance says nothing for longer than its place is kept.
        await asyncio.sleep(1.0)
        assert line.waiting_counts == {"chat": 0}
        await second.member.ask(asked("older", hold_s=0.0, first_event_due_in_s=50.0, waited_s=3.0))
        answer = await first.member.ask(back)
        assert answer is not None and isinstance(answer.otherwise, Wait)
        assert answer.otherwise.ahead == 0

    play(story)


def asked_by(workspace: str, request_id: str, tokens: int, hold_s: float = 0.5) -> PlaceQuestion:
    question = asked(request_id, tokens=tokens, hold_s=hold_s, give_up_in_s=200.0)
    assert question.need is not None
    need = msgspec.structs.replace(question.need, workspace=workspace)
    return msgspec.structs.replace(question, need=need)


async def large_waits(scene: Scene) -> None:
    """Have one workspace wait for more than there is, until how fast room comes is known."""
    asking = scene.others[0].member
    for _ in range(6):
        questions = [asked_by("large", f"large-{n}", 6_000) for n in range(9)]
        await asyncio.gather(*(asking.ask(question) for question in questions))


def test_a_workspace_over_its_share_is_refused_first_and_told_why():
    async def story(scene: Scene) -> None:
        await large_waits(scene)
        with capture_logs() as logs:
            large = await scene.others[1].member.ask(asked_by("large", "new", 6_000, 0.0))
            small = await scene.others[1].member.ask(asked_by("small", "other", 6_000, 0.0))
        assert large is not None and isinstance(large.otherwise, Refuse)
        assert large.otherwise.reason is RefusalReason.OVER_SHARE
        assert small is not None and isinstance(small.otherwise, Wait)
        assert scene.owner.ended == ["over_share"]
        (line,) = [line for line in logs if line["event"] == "refused"]
        assert (line["reason"], line["workspace"]) == ("over_share", "large")

    play(story)


def test_a_workspace_over_its_share_is_not_refused_while_a_place_is_free():
    async def story(scene: Scene) -> None:
        leave_free(scene, 5_000)
        await large_waits(scene)
        answer = await scene.others[1].member.ask(asked_by("large", "new", 4_000, 0.0))
        assert answer is not None and isinstance(answer.otherwise, Wait)

    play(story)
