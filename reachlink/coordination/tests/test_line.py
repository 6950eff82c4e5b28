"""Requests that find no room wait in one line, whoever asks for them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest

from reachlink.coordination.tests.world import SERVICE, Instance, Network, fleet, question
from reachlink.requests import LoadNote, PlaceAnswer, PlaceQuestion
from reachlink.scheduling import MAX_QUEUED, Need, RefusalReason, Refuse, Wait
from reachlink.testing import run_virtually

HOLD_S = 0.4


def asked(
    request_id: str,
    tokens: int = 9_000,
    hold_s: float = HOLD_S,
    priority: int = 5,
    first_event_due_in_s: float = 4.0,
    give_up_in_s: float = 30.0,
    waited_s: float = 0.0,
) -> PlaceQuestion:
    need = Need(
        tokens=tokens,
        prompt_tokens=3_000,
        first_event_due_in_s=first_event_due_in_s,
        give_up_in_s=give_up_in_s,
        priority=priority,
        waited_s=waited_s,
    )
    return msgspec.structs.replace(
        question(tokens), request_id=request_id, need=need, hold_s=hold_s
    )


def full(coordinators: int = 2, members: int = 2) -> tuple[Network, list[Instance], list[Instance]]:
    """Return a fleet without room: each replica has one request of the first coordinator."""
    network, chosen, others = fleet(coordinators, members, lines=True)
    for replica in ("r1", "r2"):
        chosen[0].begin(replica, 30_000)
    tell_all(chosen, network.now)
    return network, chosen, others


def tell_all(chosen: list[Instance], now: float) -> None:
    """Have each coordinator know what the others have."""
    for teller in chosen:
        for hearer in chosen:
            if hearer is not teller:
                hearer.shared.take(teller_note(teller, now), now)


def teller_note(teller: Instance, now: float) -> LoadNote:
    return LoadNote(teller.record.name, teller.book.shares(now))


def end(instance: Instance, replica: str) -> None:
    """Have an instance's requests at a replica end."""
    for flight in list(instance.book.state(replica).flights):
        instance.book.remove(replica, flight)


def owner_of(instance: Instance, chosen: list[Instance], now: float) -> Instance:
    name = instance.selector.owners("chat", now)[0].name
    return next(c for c in chosen if c.record.name == name)


def other_than(owner: Instance, chosen: list[Instance]) -> Instance:
    return next(c for c in chosen if c is not owner)


def play(scene: Coroutine[Any, Any, Any]) -> Any:
    return run_virtually(scene)


def test_who_finds_room_and_nobody_in_line_begins_at_once():
    async def scene():
        _, _, (m1, _) = fleet(lines=True)
        return await m1.member.ask(asked("id-1"))

    assert play(scene()).replica is not None


def test_who_waits_gets_the_room_that_comes_with_one_message():
    async def scene():
        network, chosen, (m1, _) = full()
        waiting = asyncio.ensure_future(m1.member.ask(asked("id-1", hold_s=5.0)))
        await asyncio.sleep(0.02)
        assert not waiting.done()
        end(chosen[0], "r1")
        tell_all(chosen, network.now)
        return await waiting, [address for address, _ in network.calls]

    answer, calls = play(scene())
    assert answer.replica.name == "r1"
    assert len(calls) == 1


def test_who_is_told_to_wait_learns_how_many_go_first():
    async def scene():
        network, chosen, (m1, m2) = full()
        first = asyncio.ensure_future(m1.member.ask(asked("id-1")))
        await asyncio.sleep(0.02)
        second = await m2.member.ask(asked("id-2", hold_s=0.0))
        return await first, second

    first, second = play(scene())
    assert isinstance(first.otherwise, Wait) and first.otherwise.ahead == 0
    assert isinstance(second.otherwise, Wait) and second.otherwise.ahead == 1


def test_all_instances_of_a_zone_wait_in_one_order():
    async def scene():
        network, chosen, (m1, m2) = full()
        late = asyncio.ensure_future(
            m1.member.ask(asked("late", first_event_due_in_s=-1.0, hold_s=2.0))
        )
        await asyncio.sleep(0.01)
        usual = asyncio.ensure_future(m2.member.ask(asked("usual", hold_s=2.0)))
        await asyncio.sleep(0.01)
        urgent = asyncio.ensure_future(
            chosen[1].member.ask(asked("urgent", priority=1, hold_s=2.0))
        )
        await asyncio.sleep(0.02)
        order = []
        for waiting in (late, usual, urgent):
            name = {late: "late", usual: "usual", urgent: "urgent"}[waiting]
            waiting.add_done_callback(lambda _, name=name: order.append(name))
        for replica in ("r1", "r2"):
            end(chosen[0], replica)
        tell_all(chosen, network.now)
        await asyncio.gather(late, usual, urgent)
        return order

    assert play(scene()) == ["urgent", "usual", "late"]


@pytest.mark.parametrize("instances", [8, 65, 195])
def test_the_oldest_get_the_room_that_comes_however_many_instances_there_are(instances):
    async def scene():
        network, chosen, others = full(members=instances - 2)
        waiting = []
        for number, member in enumerate(reversed(others)):
            # Each has waited for longer than the one before.
            question = asked(f"id-{number}", tokens=10_000, waited_s=number * 0.01, hold_s=1.0)
            waiting.append(asyncio.ensure_future(member.member.ask(question)))
        await asyncio.sleep(0.1)
        for replica in ("r1", "r2"):
            end(chosen[0], replica)
        tell_all(chosen, network.now)
        answers = await asyncio.gather(*waiting)
        return [number for number, answer in enumerate(answers) if answer.replica is not None]

    # Three fit into each of the two replicas.
    assert play(scene()) == list(range(instances - 2))[-6:]


def test_what_was_granted_counts_at_once():
    async def scene():
        network, chosen, (m1, m2) = full()
        questions = [asked(f"id-{n}", tokens=20_000, hold_s=0.3) for n in range(3)]
        tasks = [
            asyncio.ensure_future(instance.member.ask(question))
            for instance, question in zip((m1, m2, m1), questions, strict=True)
        ]
        await asyncio.sleep(0.05)
        for replica in ("r1", "r2"):
            end(chosen[0], replica)
        tell_all(chosen, network.now)
        return [answer.replica.name if answer.replica else "" for answer in await gather(tasks)]

    found = play(scene())
    assert sorted(found) == ["", "r1", "r2"] and found[2] == ""


async def gather(tasks: list[asyncio.Future[PlaceAnswer | None]]) -> list[PlaceAnswer]:
    found = await asyncio.gather(*tasks)
    assert None not in found
    return [answer for answer in found if answer is not None]


def test_a_grant_to_an_instance_that_tells_another_coordinator_does_not_count_for_long():
    """That one tells of it soon, and it would count twice."""

    async def scene():
        network, chosen, (m1, _) = fleet(lines=True)
        owner = owner_of(m1, chosen, network.now)
        answer = await m1.member.ask(asked("id-1"))
        at_once = owner.shared.at(answer.replica.name, network.now).tokens
        network.now += 0.3
        await asyncio.sleep(0.3)
        return at_once, owner.shared.at(answer.replica.name, network.now).tokens

    assert play(scene()) == (9_000, 0)


def test_a_grant_to_an_instance_that_tells_this_one_counts_until_it_tells_again():
    async def scene():
        network, chosen, (m1, _) = fleet(lines=True)
        owner = owner_of(m1, chosen, network.now)
        owner.shared.take(teller_note(m1, network.now), network.now)
        answer = await m1.member.ask(asked("id-1"))
        network.now += 0.5
        await asyncio.sleep(0.5)
        before = owner.shared.at(answer.replica.name, network.now).tokens
        m1.begin(answer.replica.name, 9_000)
        owner.shared.take(teller_note(m1, network.now), network.now)
        return before, owner.shared.at(answer.replica.name, network.now).tokens

    assert play(scene()) == (9_000, 9_000)


def test_an_own_grant_of_the_owner_counts_once():
    async def scene():
        network, chosen, _ = fleet(lines=True)
        owner = owner_of(chosen[0], chosen, network.now)
        answer = await owner.member.ask(asked("id-1"))
        owner.begin(answer.replica.name, 9_000)
        (option,) = [
            o for o in owner.placing.options.of(SERVICE, set()) if o.name == answer.replica.name
        ]
        return option.tokens

    assert play(scene()) == 9_000


def test_a_line_too_long_refuses_who_would_be_last_at_once():
    async def scene():
        _, chosen, (m1, _) = full()
        late = asyncio.ensure_future(
            m1.member.ask(asked("late", first_event_due_in_s=-1.0, give_up_in_s=90.0, hold_s=1.0))
        )
        await asyncio.sleep(0.01)
        rest = [
            asyncio.ensure_future(m1.member.ask(asked(f"id-{n}", hold_s=1.0)))
            for n in range(MAX_QUEUED)
        ]
        await asyncio.sleep(0.05)
        assert late.done() and not any(task.done() for task in rest)
        for task in rest:
            task.cancel()
        return late.result()

    answer = play(scene())
    assert isinstance(answer.otherwise, Refuse)
    assert answer.otherwise.reason is RefusalReason.LINE_FULL


def test_a_smaller_one_passes_one_that_does_not_fit_but_not_for_ever():
    async def scene():
        network, chosen, (m1, m2) = fleet(lines=True)
        filler = other_than(owner_of(m1, chosen, network.now), chosen)
        for replica in ("r1", "r2"):
            filler.begin(replica, 22_000)
        tell_all(chosen, network.now)
        large = asyncio.ensure_future(m1.member.ask(asked("large", tokens=25_000, hold_s=1.0)))
        await asyncio.sleep(0.03)
        small = asyncio.ensure_future(m2.member.ask(asked("small", tokens=4_000, hold_s=1.0)))
        passed = await small
        network.now += 0.5
        late = asyncio.ensure_future(m2.member.ask(asked("small-2", tokens=3_000, hold_s=0.3)))
        held_back = await late
        large.cancel()
        return passed, held_back

    passed, held_back = play(scene())
    assert passed.replica is not None
    assert isinstance(held_back.otherwise, Wait)


def test_a_call_whose_time_is_over_gets_no_grant():
    async def scene():
        network, chosen, (m1, _) = full()
        owner = owner_of(m1, chosen, network.now)
        waiting = asyncio.ensure_future(m1.member.ask(asked("id-1", hold_s=0.5)))
        await asyncio.sleep(0.05)
        # The owner's process stood still meanwhile.
        network.now += 0.6
        for replica in ("r1", "r2"):
            end(chosen[0], replica)
        tell_all(chosen, network.now)
        await asyncio.sleep(0.1)
        granted = owner.ended.count("granted")
        waiting.cancel()
        return granted

    assert play(scene()) == 0


def test_who_joins_just_as_the_last_one_has_left_is_looked_for():
    async def scene():
        network, chosen, (m1, _) = full()
        owner = owner_of(m1, chosen, network.now)
        # The last look has ended, and nothing was told of it yet.
        ended = asyncio.ensure_future(asyncio.sleep(0.0))
        await ended
        owner.line._scan_task = ended
        waiting = asyncio.ensure_future(m1.member.ask(asked("id-1", hold_s=0.9)))
        await asyncio.sleep(0.1)
        end(chosen[0], "r1")
        tell_all(chosen, network.now)
        await asyncio.sleep(0.1)
        assert waiting.done()
        return waiting.result()

    assert play(scene()).replica is not None


def test_one_too_large_for_any_replica_does_not_stand_in_line():
    async def scene():
        _, _, (m1, _) = full()
        return await m1.member.ask(asked("id-1", tokens=31_000))

    answer = play(scene())
    assert answer.replica is None and answer.otherwise is None


def test_an_instance_that_asks_for_no_line_is_answered_as_before():
    async def scene():
        _, _, (m1, _) = full()
        return await m1.member.ask(question())

    answer = play(scene())
    assert answer.settled and answer.replica is None and answer.otherwise is None


def test_who_comes_back_when_told_goes_before_newcomers_of_its_kind():
    network, chosen, others = full()
    owner = owner_of(others[0], chosen, network.now)

    async def scene() -> list[PlaceAnswer]:
        crowd = [
            asyncio.ensure_future(others[0].member.ask(asked(f"id-{number}", give_up_in_s=60.0)))
            for number in range(MAX_QUEUED)
        ]
        await asyncio.sleep(0.01)
        first = msgspec.structs.replace(
            asked("first", first_event_due_in_s=-1.0, give_up_in_s=9.0), fingerprint=7
        )
        told = await others[0].member.ask(first)
        assert told is not None and isinstance(told.otherwise, Refuse)
        await asyncio.sleep(HOLD_S)
        await asyncio.gather(*crowd)
        for task in crowd:
            owner.line.leave(SERVICE.name, f"id-{crowd.index(task)}")
        await asyncio.sleep(max(0.0, told.otherwise.retry_after_s - HOLD_S))
        newcomer = asyncio.ensure_future(
            others[0].member.ask(asked("new", first_event_due_in_s=-1.0, give_up_in_s=9.0))
        )
        await asyncio.sleep(0.01)
        back = msgspec.structs.replace(
            asked("again", first_event_due_in_s=-1.0, give_up_in_s=6.0), fingerprint=7
        )
        returner = asyncio.ensure_future(others[1].member.ask(back))
        await asyncio.sleep(0.01)
        end(chosen[0], "r1")
        chosen[0].begin("r1", 15_000)
        tell_all(chosen, network.now)
        return await gather([newcomer, returner])

    new, again = play(scene())
    assert again.replica is not None
    assert new.replica is None
