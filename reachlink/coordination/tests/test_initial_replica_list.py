"""A coordinator without a complete replica list sends none and refuses no request."""

import asyncio

import pytest
from msgspec import structs

from reachlink.coordination.tests.world import REPLICAS, SERVICE, Instance, Network, make_query
from reachlink.membership import ReplicaDirectory
from reachlink.scheduling import Need


def partial_list_network(queues: bool = False) -> tuple[Network, Instance, Instance]:
    """Return a network, a coordinator that only knows one of the replicas, and a member."""
    network = Network()
    coordinator = Instance(network, "c1", queues=queues)
    member = Instance(network, "m1", queues=queues)
    for instance in (coordinator, member):
        instance.update_roster(coordinator)
    coordinator.directory.apply_peer_list(REPLICAS[:1], network.now)
    network.now += 10.0
    return network, coordinator, member


def live_names(instance: Instance) -> list[str]:
    return sorted(replica.name for replica in instance.directory.live("chat"))


def test_member_keeps_its_list_until_coordinator_has_complete_one():
    async def scenario():
        _, coordinator, member = partial_list_network()
        member.set_replica_list()
        await member.poll_coordinator()
        kept, had_list = live_names(member), member.member.has_replica_list
        coordinator.set_replica_list()
        await member.poll_coordinator()
        return kept, had_list, live_names(member), member.member.has_replica_list

    kept, had_list, later, has_list = asyncio.run(scenario())
    assert kept == later == ["r1", "r2"]
    assert not had_list and has_list


def test_member_keeps_its_list_after_coordinator_restart():
    async def scenario():
        network, coordinator, member = partial_list_network()
        coordinator.set_replica_list()
        await member.poll_coordinator()
        before = live_names(member)
        fresh = ReplicaDirectory()
        fresh.apply_peer_list(REPLICAS[:1], network.now)
        coordinator.coordinator._directory = fresh
        await member.poll_coordinator()
        return before, live_names(member)

    assert asyncio.run(scenario()) == (["r1", "r2"], ["r1", "r2"])


def test_starting_member_is_not_ready_with_partial_list_of_coordinator():
    async def scenario():
        _, coordinator, member = partial_list_network()
        await member.poll_coordinator()
        before = member.member.has_replica_list, member.directory.is_whole
        coordinator.set_replica_list()
        await member.poll_coordinator()
        return (
            before,
            (member.member.has_replica_list, member.directory.is_whole),
            live_names(member),
        )

    before, after, found = asyncio.run(scenario())
    assert before == (False, False) and after == (True, True) and found == ["r1", "r2"]


@pytest.mark.parametrize("queues,hold_s", [(False, None), (True, 0.0)])
def test_coordinator_without_list_does_not_reply_no_room(queues, hold_s):
    """The member has a list and decides itself instead."""

    async def scenario():
        _, coordinator, member = partial_list_network(queues)
        member.set_replica_list()
        coordinator.start_request("r1", 30_000)
        need = Need(tokens=9_000, prompt_tokens=3_000, give_up_in_s=30.0)
        asked = structs.replace(make_query(), hold_s=hold_s, need=need)
        answer = await member.member.ask(asked)
        decided = member.placer.decide(SERVICE, asked)
        coordinator.set_replica_list()
        return answer, decided, await member.member.ask(asked)

    answer, decided, later = asyncio.run(scenario())
    assert answer is None and decided is not None
    assert later is not None and later.replica is not None and later.replica.name == "r2"
