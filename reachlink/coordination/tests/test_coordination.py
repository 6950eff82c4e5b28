"""Members are placed by what all have, whoever of the coordinators is lost."""

import asyncio

from reachlink.coordination.tests.world import SERVICE, Instance, fleet, question
from reachlink.membership import LeavingSource
from reachlink.requests import Purpose, ReplicaOutcome
from reachlink.requests.tests.world import wait_until


def test_a_member_learns_the_replicas_and_what_others_have():
    async def play():
        network, (c1,), (m1, m2) = fleet(coordinators=1)
        m1.begin("r1")
        c1.begin("r2", 4_000)
        network.now += 1.0
        # A note is held while there is no news; the clock that it is held by is the loop's.
        await m1.follow()
        await m2.follow()
        return m2, network.now

    m2, now = asyncio.run(play())
    assert sorted(r.name for r in m2.directory.live("chat")) == ["r1", "r2"]
    assert m2.shared.at("r1", now).tokens == 9_000
    assert m2.shared.at("r2", now).tokens == 4_000


def test_between_whole_pictures_only_replicas_that_matter_are_told_again():
    async def play():
        network, (c1,), (m1, _) = fleet(coordinators=1)
        m1.begin("r1")
        c1.begin("r2", 4_000)
        await m1.follow()
        c1.begin("r1", 1_000)
        c1.begin("r2", 2_000)
        await m1.follow()
        between = [m1.shared.at(name, network.now).tokens for name in ("r1", "r2")]
        network.now += 1.0
        await m1.follow()
        return between, [m1.shared.at(name, network.now).tokens for name in ("r1", "r2")]

    between, later = asyncio.run(play())
    assert between == [1_000, 4_000]
    assert later == [1_000, 6_000]


def test_the_first_picture_is_not_waited_for():
    async def play():
        network, _, (m1, _) = fleet(coordinators=1)
        first = m1.member._wait_s(m1.selector.by_preference(network.now)[0])
        await m1.follow()
        return first, m1.member._wait_s(m1.selector.by_preference(network.now)[0])

    first, later = asyncio.run(play())
    assert first < 0.1 < later


def test_a_member_is_not_told_its_own_requests():
    async def play():
        network, _, (m1, _) = fleet(coordinators=1)
        m1.begin("r1")
        await m1.follow()
        await m1.follow()
        return m1.shared.at("r1", network.now)

    share = asyncio.run(play())
    assert (share.running, share.tokens) == (0, 0)


def test_what_was_just_placed_counts_before_the_member_tells_of_it():
    async def play():
        _, _, (m1, m2) = fleet(coordinators=1)
        placed = [(await m.member.ask(question(20_000))).replica for m in (m1, m2, m1)]
        return placed, m1.outcomes

    (first, second, third), outcomes = asyncio.run(play())
    assert {first.name, second.name} == {"r1", "r2"}
    assert third is None
    assert outcomes == ["placed", "no_room"]


def test_what_was_placed_counts_once_when_the_member_has_told_of_it():
    async def play():
        network, (c1,), (m1, _) = fleet(coordinators=1)
        answer = await m1.member.ask(question())
        m1.begin(answer.replica.name)
        await m1.follow()
        return c1.shared.at(answer.replica.name, network.now)

    share = asyncio.run(play())
    assert (share.running, share.tokens) == (1, 9_000)


def test_the_other_coordinator_is_asked_where_one_is_silent_and_not_the_silent_one_again():
    async def play():
        network, _, (m1, _) = fleet()
        first = m1.selector.by_preference(network.now)[0]
        network.silent.add(first.name)
        answers = [await m1.member.ask(question(4_000)) for _ in range(3)]
        asked = [address for address, _ in network.calls]
        return first.name, answers, asked

    first, answers, asked = asyncio.run(play())
    assert all(answer is not None and answer.replica is not None for answer in answers)
    assert asked.count(first) == 1


def test_without_any_coordinator_an_instance_decides_by_what_it_was_told_last():
    async def play():
        network, (c1, c2), (m1, _) = fleet()
        for coordinator in (c1, c2):
            coordinator.begin("r1", 30_000)
        await m1.follow()
        network.silent |= {"c1", "c2"}
        answer = await m1.member.ask(question())
        return answer, m1.placing.decide(SERVICE, question())

    answer, replica = asyncio.run(play())
    assert answer is None
    assert replica.name == "r2"


def test_one_that_has_just_started_decides_only_where_no_other_does():
    async def play():
        network, (c1, c2), (m1, _) = fleet()
        first = m1.selector.by_preference(network.now)[0]
        fresh, other = (c1, c2) if first.name == "c1" else (c2, c1)
        fresh.coordinator.set_coordinating(False)
        fresh.coordinator.set_coordinating(True)
        other.begin("r1", 30_000)
        by_other = await m1.member.ask(question())
        network.silent.add(other.record.name)
        insisted = await m1.member.ask(question())
        return by_other, insisted

    by_other, insisted = asyncio.run(play())
    assert by_other.replica.name == "r2"
    assert insisted.replica is not None


def test_failures_at_several_members_are_one_replica_that_fails():
    async def play():
        network, (c1,), (m1, m2) = fleet(coordinators=1)
        for member in (m1, m2):
            member.book.keep_outcome(ReplicaOutcome("r1", good=False, answered=False))
            await member.follow()
        answers = [await m1.member.ask(question(1_000)) for _ in range(4)]
        await m2.follow()
        return answers, m2.book.state("r1").allowance_told(network.now)

    answers, allowance = asyncio.run(play())
    assert {answer.replica.name for answer in answers} == {"r2"}
    assert allowance == 0.0


def test_a_member_that_moves_is_counted_at_one_coordinator_at_a_time_after_a_bound():
    async def play():
        network, (c1, c2), (m1, _) = fleet()
        m1.begin("r1")
        first = m1.selector.by_preference(network.now)[0].name
        old, new = (c1, c2) if first == "c1" else (c2, c1)
        await m1.follow()
        network.silent.add(first)
        await m1.follow()
        network.silent.clear()
        await m1.follow()
        network.now += 3.1
        await m1.follow()
        return old.coordinator.add_member_shares([]), new.coordinator.add_member_shares([])

    at_old, at_new = asyncio.run(play())
    assert at_old == [] or at_new == []
    assert [share.tokens for share in at_old + at_new] == [9_000]


def test_members_are_told_at_once_when_a_replica_leaves():
    async def play():
        network, (c1,), (m1, _) = fleet(coordinators=1)
        m1.begin("r1")
        waiting = asyncio.create_task(m1.follow())
        await wait_until(lambda: c1.coordinator.members)
        c1.directory.mark_leaving("r1", LeavingSource.CLOSING, network.now)
        c1.coordinator.notify_members()
        await waiting
        return m1

    m1 = asyncio.run(play())
    assert not m1.directory.may_get_work("r1")


def test_a_replica_known_here_to_leave_is_not_taken_whatever_a_coordinator_says():
    async def play():
        network, _, (m1, _) = fleet(coordinators=1)
        await m1.follow()
        m1.directory.mark_leaving("r1", LeavingSource.CLOSING, network.now)
        return [await place_copy(m1) for _ in range(4)]

    async def place_copy(instance: Instance):
        answer = await instance.member.ask(question(1_000, Purpose.RESCUE))
        assert answer is not None
        return instance.placing._replica_of(answer)

    found = asyncio.run(play())
    assert {r.name for r in found if r is not None} <= {"r2"}


def test_a_coordinator_tells_the_others_the_sum_of_its_members():
    async def play():
        _, (c1,), (m1, m2) = fleet(coordinators=1)
        c1.begin("r1", 1_000)
        m1.begin("r1", 2_000)
        m2.begin("r1", 4_000)
        await m1.follow()
        await m2.follow()
        return c1.coordinator.add_member_shares(c1.book.shares(c1.clock()))

    (share,) = asyncio.run(play())
    assert (share.running, share.tokens) == (3, 7_000)


def test_connections_to_former_coordinators_are_closed():
    async def play():
        network, (c1, c2), (m1, _) = fleet()
        m1.update_roster(c2)
        return network.forgotten

    assert asyncio.run(play()) == ["c1"]
