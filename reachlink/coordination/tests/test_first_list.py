"""Coordinators that start tell no list before they have a whole one, and refuse nobody by it."""

import asyncio

import pytest
from msgspec import structs

from reachlink.coordination.tests.world import REPLICAS, SERVICE, Instance, Network, question
from reachlink.membership import ReplicaDirectory
from reachlink.scheduling import Need


def two(lines: bool = False) -> tuple[Network, Instance, Instance]:
    """Return a coordinator that has only heard of one replica so far, and a member."""
    network = Network()
    coordinator = Instance(network, "c1", lines=lines)
    member = Instance(network, "m1", lines=lines)
    for instance in (coordinator, member):
        instance.update_roster(coordinator)
    coordinator.directory.hear(REPLICAS[:1], network.now)
    network.now += 10.0
    return network, coordinator, member


def names(instance: Instance) -> list[str]:
    return sorted(replica.name for replica in instance.directory.live("chat"))


def test_a_member_keeps_its_list_until_its_coordinator_has_a_whole_one():
    async def play():
        _, coordinator, member = two()
        member.list_replicas()
        await member.follow()
        kept, had_list = names(member), member.member.has_replica_list
        coordinator.list_replicas()
        await member.follow()
        return kept, had_list, names(member), member.member.has_replica_list

    kept, had_list, later, has_list = asyncio.run(play())
    assert kept == later == ["r1", "r2"]
    assert not had_list and has_list


def test_a_member_keeps_its_list_where_its_coordinator_starts_again():
    async def play():
        network, coordinator, member = two()
        coordinator.list_replicas()
        await member.follow()
        before = names(member)
        fresh = ReplicaDirectory()
        fresh.hear(REPLICAS[:1], network.now)
        coordinator.coordinator._directory = fresh
        await member.follow()
        return before, names(member)

    assert asyncio.run(play()) == (["r1", "r2"], ["r1", "r2"])


def test_a_member_that_starts_too_is_not_ready_by_what_its_coordinator_has_heard_of():
    async def play():
        _, coordinator, member = two()
        await member.follow()
        before = member.member.has_replica_list, member.directory.is_whole
        coordinator.list_replicas()
        await member.follow()
        return before, (member.member.has_replica_list, member.directory.is_whole), names(member)

    before, after, found = asyncio.run(play())
    assert before == (False, False) and after == (True, True) and found == ["r1", "r2"]


@pytest.mark.parametrize("lines,hold_s", [(False, None), (True, 0.0)])
def test_no_coordinator_without_a_list_says_that_there_is_no_room(lines, hold_s):
    """The member, which has a list, decides by itself."""

    async def play():
        _, coordinator, member = two(lines)
        member.list_replicas()
        coordinator.begin("r1", 30_000)
        need = Need(tokens=9_000, prompt_tokens=3_000, give_up_in_s=30.0)
        asked = structs.replace(question(), hold_s=hold_s, need=need)
        answer = await member.member.ask(asked)
        decided = member.placing.decide(SERVICE, asked)
        coordinator.list_replicas()
        return answer, decided, await member.member.ask(asked)

    answer, decided, later = asyncio.run(play())
    assert answer is None and decided is not None
    assert later is not None and later.replica is not None and later.replica.name == "r2"
