"""Requests of members are placed by the load of all instances, also if a coordinator is lost."""

import asyncio

from reachlink.coordination.tests.world import SERVICE, Instance, make_fleet, make_query
from reachlink.membership import LeavingSource
from reachlink.requests import PlacementPurpose, ReplicaOutcome
from reachlink.requests.tests.world import wait_until


def test_snapshot_contains_replicas_and_load_of_others():
    async def scenario():
        network, (c1,), (m1, m2) = make_fleet(coordinators=1)
        m1.start_request("r1")
        c1.start_request("r2", 4_000)
        network.now += 1.0
        # Replies are held while there is no news, by the clock of the loop.
        await m1.poll_coordinator()
        await m2.poll_coordinator()
        return m2, network.now

    m2, now = asyncio.run(scenario())
    assert sorted(r.name for r in m2.directory.live("chat")) == ["r1", "r2"]
    assert m2.peer_load.usage_at("r1", now).tokens == 9_000
    assert m2.peer_load.usage_at("r2", now).tokens == 4_000


def test_partial_snapshot_contains_only_replicas_with_own_requests():
    async def scenario():
        network, (c1,), (m1, _) = make_fleet(coordinators=1)
        m1.start_request("r1")
        c1.start_request("r2", 4_000)
        await m1.poll_coordinator()
        c1.start_request("r1", 1_000)
        c1.start_request("r2", 2_000)
        await m1.poll_coordinator()
        between = [m1.peer_load.usage_at(name, network.now).tokens for name in ("r1", "r2")]
        network.now += 1.0
        await m1.poll_coordinator()
        return between, [m1.peer_load.usage_at(name, network.now).tokens for name in ("r1", "r2")]

    between, later = asyncio.run(scenario())
    assert between == [1_000, 4_000]
    assert later == [1_000, 6_000]


def test_first_snapshot_is_not_long_polled():
    async def scenario():
        network, _, (m1, _) = make_fleet(coordinators=1)
        first = m1.member._wait_s(m1.selector.by_preference(network.now)[0])
        await m1.poll_coordinator()
        return first, m1.member._wait_s(m1.selector.by_preference(network.now)[0])

    first, later = asyncio.run(scenario())
    assert first < 0.1 < later


def test_snapshot_excludes_load_of_its_receiver():
    async def scenario():
        network, _, (m1, _) = make_fleet(coordinators=1)
        m1.start_request("r1")
        await m1.poll_coordinator()
        await m1.poll_coordinator()
        return m1.peer_load.usage_at("r1", network.now)

    share = asyncio.run(scenario())
    assert (share.running, share.tokens) == (0, 0)


def test_placed_request_counts_before_member_reports_it():
    async def scenario():
        _, _, (m1, m2) = make_fleet(coordinators=1)
        placed = [(await m.member.ask(make_query(20_000))).replica for m in (m1, m2, m1)]
        return placed, m1.outcomes

    (first, second, third), outcomes = asyncio.run(scenario())
    assert {first.name, second.name} == {"r1", "r2"}
    assert third is None
    assert outcomes == ["placed", "no_room"]


def test_placed_request_counts_once_after_member_reports_it():
    async def scenario():
        network, (c1,), (m1, _) = make_fleet(coordinators=1)
        answer = await m1.member.ask(make_query())
        m1.start_request(answer.replica.name)
        await m1.poll_coordinator()
        return c1.peer_load.usage_at(answer.replica.name, network.now)

    share = asyncio.run(scenario())
    assert (share.running, share.tokens) == (1, 9_000)


def test_coordinator_that_does_not_reply_is_skipped_afterwards():
    async def scenario():
        network, _, (m1, _) = make_fleet()
        first = m1.selector.by_preference(network.now)[0]
        network.silent.add(first.name)
        answers = [await m1.member.ask(make_query(4_000)) for _ in range(3)]
        asked = [address for address, _ in network.calls]
        return first.name, answers, asked

    first, answers, asked = asyncio.run(scenario())
    assert all(answer is not None and answer.replica is not None for answer in answers)
    assert asked.count(first) == 1


def test_member_decides_by_last_snapshot_if_no_coordinator_replies():
    async def scenario():
        network, (c1, c2), (m1, _) = make_fleet()
        for coordinator in (c1, c2):
            coordinator.start_request("r1", 30_000)
        await m1.poll_coordinator()
        network.silent |= {"c1", "c2"}
        answer = await m1.member.ask(make_query())
        return answer, m1.placer.decide(SERVICE, make_query())

    answer, replica = asyncio.run(scenario())
    assert answer is None
    assert replica.name == "r2"


def test_coordinator_that_just_started_decides_only_if_no_other_does():
    async def scenario():
        network, (c1, c2), (m1, _) = make_fleet()
        first = m1.selector.by_preference(network.now)[0]
        fresh, other = (c1, c2) if first.name == "c1" else (c2, c1)
        fresh.coordinator.set_coordinating(False)
        fresh.coordinator.set_coordinating(True)
        other.start_request("r1", 30_000)
        by_other = await m1.member.ask(make_query())
        network.silent.add(other.record.name)
        insisted = await m1.member.ask(make_query())
        return by_other, insisted

    by_other, insisted = asyncio.run(scenario())
    assert by_other.replica.name == "r2"
    assert insisted.replica is not None


def test_failures_at_several_members_take_replica_out_for_all():
    async def scenario():
        network, (c1,), (m1, m2) = make_fleet(coordinators=1)
        for member in (m1, m2):
            member.tracker.buffer_outcome(ReplicaOutcome("r1", succeeded=False, answered=False))
            await member.poll_coordinator()
        answers = [await m1.member.ask(make_query(1_000)) for _ in range(4)]
        await m2.poll_coordinator()
        return answers, m2.tracker.state("r1").allowance_from_coordinator(network.now)

    answers, allowance = asyncio.run(scenario())
    assert {answer.replica.name for answer in answers} == {"r2"}
    assert allowance == 0.0


def test_member_that_changes_coordinator_is_counted_once_after_timeout():
    async def scenario():
        network, (c1, c2), (m1, _) = make_fleet()
        m1.start_request("r1")
        first = m1.selector.by_preference(network.now)[0].name
        old, new = (c1, c2) if first == "c1" else (c2, c1)
        await m1.poll_coordinator()
        network.silent.add(first)
        await m1.poll_coordinator()
        network.silent.clear()
        await m1.poll_coordinator()
        network.now += 3.1
        await m1.poll_coordinator()
        return old.coordinator.add_member_usages([]), new.coordinator.add_member_usages([])

    at_old, at_new = asyncio.run(scenario())
    assert at_old == [] or at_new == []
    assert [share.tokens for share in at_old + at_new] == [9_000]


def test_members_learn_of_leaving_replica_at_once():
    async def scenario():
        network, (c1,), (m1, _) = make_fleet(coordinators=1)
        m1.start_request("r1")
        waiting = asyncio.create_task(m1.poll_coordinator())
        await wait_until(lambda: c1.coordinator.members)
        c1.directory.mark_leaving("r1", LeavingSource.CLOSING, network.now)
        c1.coordinator.notify_members()
        await waiting
        return m1

    m1 = asyncio.run(scenario())
    assert not m1.directory.may_get_work("r1")


def test_replica_known_to_be_leaving_is_not_used_even_if_coordinator_chooses_it():
    async def scenario():
        network, _, (m1, _) = make_fleet(coordinators=1)
        await m1.poll_coordinator()
        m1.directory.mark_leaving("r1", LeavingSource.CLOSING, network.now)
        return [await place_copy(m1) for _ in range(4)]

    async def place_copy(instance: Instance):
        answer = await instance.member.ask(make_query(1_000, PlacementPurpose.DEPARTURE_COPY))
        assert answer is not None
        return instance.placer._replica_of(answer)

    found = asyncio.run(scenario())
    assert {r.name for r in found if r is not None} <= {"r2"}


def test_coordinator_sends_sum_of_its_members_to_other_coordinators():
    async def scenario():
        _, (c1,), (m1, m2) = make_fleet(coordinators=1)
        c1.start_request("r1", 1_000)
        m1.start_request("r1", 2_000)
        m2.start_request("r1", 4_000)
        await m1.poll_coordinator()
        await m2.poll_coordinator()
        return c1.coordinator.add_member_usages(c1.tracker.usages(c1.clock()))

    (share,) = asyncio.run(scenario())
    assert (share.running, share.tokens) == (3, 7_000)


def test_connections_to_former_coordinators_are_closed():
    async def scenario():
        network, (c1, c2), (m1, _) = make_fleet()
        m1.update_roster(c2)
        return network.forgotten

    assert asyncio.run(scenario()) == ["c1"]
