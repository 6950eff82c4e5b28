"""Who waits in line is neither lost, served twice nor kept too long, whatever fails."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from structlog.testing import capture_logs

from reachlink.coordination._asking import ANSWER_TIMEOUT_S
from reachlink.coordination.tests.world import SERVICE, Instance, fleet
from reachlink.requests import CallerRequest, LoadNote, RequestFailedError
from reachlink.requests._line_placing import LinePlacing
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.routing import Backend, RequestKind, Route
from reachlink.scheduling import Refuse
from reachlink.testing import run_virtually
from reachlink.upstreams import GenerationFacts, RelayRequest, Replica

OBJECTIVE_S, TIMEOUT_S = 4.0, 20.0
ROUTE = Route(
    "chat",
    "h",
    "/c/",
    RequestKind.STREAM,
    (Backend("chat", 1.0),),
    timeout_s=TIMEOUT_S,
    objective_s=OBJECTIVE_S,
)
TICK_S = 0.005
# Longest that a member may take to have a place at another owner, in seconds: a held answer
# that does not come, the question to the next, and its next look.
MOVED_S = 0.5 + 2 * ANSWER_TIMEOUT_S + 0.1


@dataclass
class Scene:
    """A fleet without room whose clock goes on, and what became of each request."""

    coordinators: int = 2
    members: int = 2
    placed: list[tuple[str, str]] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.network, self.chosen, self.others = fleet(self.coordinators, self.members, lines=True)
        self.everyone = self.chosen + self.others
        self.filler = next(c for c in self.chosen if c is not self.owner)
        for replica in ("r1", "r2"):
            self.filler.begin(replica, 30_000)
        for member in self.others:
            member.list_replicas()

    @property
    def owner(self) -> Instance:
        name = self.others[0].selector.owners("chat", self.network.now)[0].name
        return next(c for c in self.chosen if c.record.name == name)

    def tell(self) -> None:
        """Have all that reach each other tell what they have."""
        heard = [i for i in self.everyone if i.record.name not in self.network.silent]
        for teller in heard:
            note = LoadNote(teller.record.name, teller.book.shares(self.network.now))
            for hearer in heard:
                if hearer is not teller:
                    hearer.shared.take(note, self.network.now)

    def make_room(self) -> None:
        """Have all that ran at the beginning end."""
        for replica in ("r1", "r2"):
            for flight in list(self.filler.book.state(replica).flights):
                self.filler.book.remove(replica, flight)
        self.tell()

    def ask(self, instance: Instance, name: str, tokens: int = 8_000) -> asyncio.Task[None]:
        task = asyncio.ensure_future(self._ask(instance, name, tokens))
        self.tasks.append(task)
        return task

    async def _ask(self, instance: Instance, name: str, tokens: int) -> None:
        facts = GenerationFacts("m", 3000, tokens - 3000, (), 0)
        relay = RelayRequest(name, "POST", "/x", [], b"", generation=facts)
        asked = CallerRequest(relay, ROUTE, SERVICE, self.network.now, TIMEOUT_S)
        found = await LinePlacing(instance.parts, instance.placing).place(asked, set())
        if isinstance(found, Replica):
            self.placed.append((name, found.name))
            instance.begin(found.name, tokens)
        else:
            self.refused.append(name)

    async def run(self) -> None:
        """Have the time go on as the loop's does, and all tell their load."""
        loop = asyncio.get_running_loop()
        at, told_at = loop.time(), loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            self.network.now += loop.time() - at
            at = loop.time()
            if at - told_at > 0.05:
                told_at = at
                self.tell()

    async def all_ended(self, within_s: float) -> bool:
        done, left = await asyncio.wait(self.tasks, timeout=within_s)
        for task in done:
            task.result()
        return not left


def play(
    story: Callable[[Scene], Awaitable[None]], coordinators: int = 2, members: int = 2
) -> Scene:
    async def run() -> Scene:
        scene = Scene(coordinators, members)
        clock = asyncio.ensure_future(scene.run())
        await asyncio.sleep(0.02)
        scene.tell()
        await story(scene)
        clock.cancel()
        for task in scene.tasks:
            task.cancel()
        return scene

    found: Scene = run_virtually(run())
    return found


def served_once(scene: Scene, *names: str) -> bool:
    return sorted(name for name, _ in scene.placed) == sorted(names)


async def all_wait(scene: Scene, *names: str) -> None:
    for number, name in enumerate(names):
        scene.ask(scene.others[number % len(scene.others)], name)
    await asyncio.sleep(0.15)
    assert not scene.placed


def test_without_failure_all_get_the_room_that_comes():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1", "id-2", "id-3")
        scene.make_room()
        assert await scene.all_ended(1.0)

    scene = play(story)
    assert served_once(scene, "id-1", "id-2", "id-3")


def test_owner_killed_while_members_wait():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1", "id-2")
        scene.network.silent.add(scene.owner.record.name)
        scene.make_room()
        assert await scene.all_ended(MOVED_S)

    assert served_once(play(story), "id-1", "id-2")


def test_who_waits_at_an_owner_that_is_lost_goes_on_as_soon_as_one_question_shows_it():
    async def story(scene: Scene) -> None:
        scene.others.append(scene.others[0])
        await all_wait(scene, "id-1")
        # Its answer has just been held anew.
        await asyncio.sleep(0.4)
        scene.network.silent.add(scene.owner.record.name)
        scene.ask(scene.others[0], "id-2")
        scene.make_room()
        assert await scene.all_ended(0.3)

    assert served_once(play(story), "id-1", "id-2")


def test_a_lost_owner_is_noted_once_however_many_wait_there():
    names = [f"id-{number}" for number in range(20)]

    async def story(scene: Scene) -> None:
        member = scene.others[0]
        for name in names:
            scene.ask(member, name, tokens=3_500)
        await asyncio.sleep(0.15)
        scene.network.silent.add(scene.owner.record.name)
        with capture_logs() as logs:
            scene.ask(member, "new", tokens=3_500)
            await asyncio.sleep(ANSWER_TIMEOUT_S + 0.1)
        assert [line["event"] for line in logs].count("line_owner_silent") == 1
        scene.make_room()
        assert await scene.all_ended(20.0)

    scene = play(story)
    assert len({name for name, _ in scene.placed}) + len(scene.refused) == 21


def test_owner_paused_while_members_wait_grants_nothing_to_those_that_have_gone_on():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1", "id-2")
        owner = scene.owner
        scene.network.silent.add(owner.record.name)
        await asyncio.sleep(MOVED_S)
        scene.network.silent.discard(owner.record.name)
        scene.make_room()
        assert await scene.all_ended(MOVED_S)
        await asyncio.sleep(0.1)
        # What it had kept for them is over: nobody stands there.
        assert owner.line is not None

    assert served_once(play(story), "id-1", "id-2")


def test_owner_paused_does_not_refuse_its_own_requests_for_the_time_it_stood_still():
    async def story(scene: Scene) -> None:
        scene.ask(scene.owner, "own")
        await all_wait(scene, "id-1")
        scene.network.now += 1.0
        await asyncio.sleep(0.2)
        assert not scene.refused
        scene.make_room()
        assert await scene.all_ended(MOVED_S)

    assert served_once(play(story), "own", "id-1")


def test_members_cut_off_from_all_coordinators_keep_lines_of_their_own():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1", "id-2")
        scene.network.silent.update(c.record.name for c in scene.chosen)
        await asyncio.sleep(MOVED_S)
        lines = [m.line.waiting_counts.get("chat", 0) for m in scene.others if m.line is not None]
        assert lines == [1, 1]
        # What the others had told fades, and with it what stood against a start.
        assert await scene.all_ended(4.0)

    assert served_once(play(story), "id-1", "id-2")


def test_two_owners_for_a_moment_serve_each_once():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1", "id-2")
        # One member loses the owner, the other does not.
        other = scene.others[1]
        other.selector.mark_silent(scene.owner.record.name, scene.network.now)
        await asyncio.sleep(0.6)
        scene.make_room()
        assert await scene.all_ended(1.0)

    assert served_once(play(story), "id-1", "id-2")


def test_coordinators_that_have_just_started_keep_no_line_and_nobody_is_lost():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1", "id-2")
        for coordinator in scene.chosen:
            coordinator.coordinator.set_coordinating(False)
            coordinator.coordinator.set_coordinating(True)
        await asyncio.sleep(0.6)
        scene.make_room()
        assert await scene.all_ended(2.0)

    assert served_once(play(story), "id-1", "id-2")


def test_who_waits_while_nobody_keeps_a_line_is_told_so_long_before_its_deadline():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1", "id-2")
        for coordinator in scene.chosen:
            coordinator.coordinator.set_coordinating(False)
        assert await scene.all_ended(0.25 * TIMEOUT_S)

    scene = play(story)
    assert not scene.placed and sorted(scene.refused) == ["id-1", "id-2"]


def test_all_start_together_and_each_decides_as_without_a_line():
    async def story(scene: Scene) -> None:
        for coordinator in scene.chosen:
            coordinator.coordinator.set_coordinating(False)
            coordinator.coordinator.set_coordinating(True)
        scene.make_room()
        for number, instance in enumerate(scene.everyone):
            scene.ask(instance, f"id-{number}", tokens=5_000)
        assert await scene.all_ended(1.0)

    scene = play(story)
    assert served_once(scene, "id-0", "id-1", "id-2", "id-3")


def test_a_caller_that_leaves_gets_no_place():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "gone", "there")
        scene.tasks[0].cancel()
        del scene.tasks[0]
        await asyncio.sleep(0.05)
        owner = scene.owner.line
        assert owner is not None and owner.waiting_counts == {"chat": 1}
        scene.make_room()
        assert await scene.all_ended(1.0)

    assert served_once(play(story), "there")


def test_a_caller_that_leaves_at_the_owner_itself_gets_no_place():
    async def story(scene: Scene) -> None:
        scene.ask(scene.owner, "gone")
        scene.ask(scene.others[0], "there")
        await asyncio.sleep(0.15)
        scene.tasks[0].cancel()
        del scene.tasks[0]
        await asyncio.sleep(0.05)
        assert scene.owner.line is not None and scene.owner.line.waiting_counts == {"chat": 1}
        scene.make_room()
        assert await scene.all_ended(1.0)

    assert served_once(play(story), "there")


def test_a_member_killed_while_it_waits_gets_no_place():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "gone", "there")
        scene.network.silent.add(scene.others[0].record.name)
        scene.tasks[0].cancel()
        del scene.tasks[0]
        # Its call is held for half a second at the most, and its place a little longer.
        await asyncio.sleep(1.0)
        owner = scene.owner.line
        assert owner is not None and owner.waiting_counts == {"chat": 1}

    play(story)


def test_a_coordinator_stands_in_the_same_line_as_its_members():
    async def story(scene: Scene) -> None:
        for number, instance in enumerate(scene.everyone):
            scene.ask(instance, f"id-{number}", tokens=5_000)
        await asyncio.sleep(0.15)
        owner = scene.owner.line
        assert owner is not None and owner.waiting_counts == {"chat": 4}
        scene.make_room()
        assert await scene.all_ended(1.0)

    scene = play(story)
    assert served_once(scene, "id-0", "id-1", "id-2", "id-3")
    for replica in ("r1", "r2"):
        assert sum(name == replica for _, name in scene.placed) <= 6


def test_nobody_is_kept_past_its_deadline():
    async def story(scene: Scene) -> None:
        await all_wait(scene, "id-1", "id-2")
        scene.network.now += TIMEOUT_S
        assert await scene.all_ended(1.0)

    scene = play(story)
    assert not scene.placed and sorted(scene.refused) == ["id-1", "id-2"]


@pytest.mark.parametrize("instances", [8, 65, 195])
def test_waiting_costs_the_same_messages_whatever_the_number_of_instances(instances):
    """One question not held, then one each half second."""
    members = instances - 2

    async def story(scene: Scene) -> None:
        for number, member in enumerate(scene.others):
            scene.ask(member, f"id-{number}")
        await asyncio.sleep(1.2)

    scene = play(story, members=members)
    asked = [channel for _, channel in scene.network.calls if channel == "place"]
    assert len(asked) <= 4 * members


def test_nobody_is_refused_while_all_replicas_are_gone_for_some_seconds():
    async def story(scene: Scene) -> None:
        await all_wait(scene, *(f"id-{number}" for number in range(5)))
        for instance in scene.everyone:
            instance.directory.update([], scene.network.now)
        await asyncio.sleep(4.0)
        scene.ask(scene.others[0], "new")
        await asyncio.sleep(0.1)
        assert not scene.refused
        for instance in scene.everyone:
            instance.list_replicas()
        scene.make_room()
        assert await scene.all_ended(1.0)

    assert served_once(play(story), *(f"id-{number}" for number in range(5)), "new")


@pytest.mark.parametrize("stuck_s", [2.5, 3.0])
@pytest.mark.parametrize("number", [3, 5, 30])
def test_who_cannot_begin_while_its_caller_waits_is_refused_on_arrival(number, stuck_s):
    names = [f"id-{n:02}" for n in range(number)]

    async def story(scene: Scene) -> None:
        await all_wait(scene, *names)
        # Nothing becomes free meanwhile: a usual request in that time would be.
        await asyncio.sleep(2.0)
        assert not scene.refused
        await asyncio.sleep(stuck_s - 2.0)
        # Of those in line only who would wait for three times what it has: the last.
        gone = sorted(scene.refused)
        assert gone == names[number - len(gone) :]
        assert len(gone) <= number - min(number, 4)
        scene.ask(scene.others[0], "new")
        await asyncio.sleep(0.1)
        assert "new" in scene.refused
        assert set(scene.owner.ended) == {"no_room"}
        assert scene.owner.ended == ["no_room"] * len(scene.refused)

    play(story)


def test_nobody_in_a_short_line_is_refused_but_who_comes_last():
    async def story(scene: Scene) -> None:
        await all_wait(scene, *(f"id-{number}" for number in range(3)))
        await asyncio.sleep(3.0)
        assert not scene.refused
        scene.ask(scene.others[0], "new")
        await asyncio.sleep(0.1)
        assert scene.refused == ["new"]
        assert scene.owner.ended == ["no_room"]

    play(story)


def test_a_refusal_reaches_the_caller_with_when_to_come_back():
    async def story(scene: Scene) -> None:
        member = scene.others[0]
        dispatch = RequestDispatcher(member.parts)
        facts = GenerationFacts("m", 3000, 5000, (), 0)
        relay = RelayRequest("id-1", "POST", "/x", [], b"", generation=facts)
        asked = CallerRequest(relay, ROUTE, SERVICE, scene.network.now, TIMEOUT_S)
        attempts = dispatch.retry_policy.begin(asked)
        asked.refusal = Refuse(7.5)
        failed = dispatch.retry_policy.failure(asked, attempts)
        assert isinstance(failed, RequestFailedError)
        assert (failed.status, failed.reason) == (503, "no_room")
        assert failed.retry_after_s == pytest.approx(7.5)

    play(story)
