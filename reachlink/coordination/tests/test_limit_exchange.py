"""Queries and updates about rate limits between instances in memory."""

import asyncio

import pytest

from reachlink.coordination import _limit_exchange as exchange
from reachlink.coordination.tests.world import Instance, Network
from reachlink.pacing import PermitOptions, rendezvous_order
from reachlink.pacing import _sharing as sharing

REPLICA, ADDRESS = "r1", "r1:1"
PER_S = 2.0
NO_WAIT = PermitOptions()


@pytest.fixture
def fleet() -> list[Instance]:
    """Three instances that reach each other and know a limit."""
    network = Network()
    made = [Instance(network, f"e{n}") for n in range(3)]
    for one in made:
        one.set_replica_list()
        one.limits.update_roster([other.record for other in made], len(made))
    network.now += sharing.SETTLE_S
    exchange_heartbeats(made)
    for one in made:
        one.pacing.limits.record(ADDRESS, PER_S, network.now)
    return made


def exchange_heartbeats(fleet: list[Instance]) -> None:
    for one in fleet:
        for other in fleet:
            if other is not one and other.record.name not in one.network.silent:
                one.peer_load._last_heard[other.record.name] = one.network.now


def by_rank(fleet: list[Instance]) -> list[Instance]:
    """Return the instances in the order in which they own the replica's limit."""
    order = rendezvous_order([one.record.name for one in fleet], REPLICA)
    return sorted(fleet, key=lambda one: order.index(one.record.name))


def acquire(one: Instance, asked: PermitOptions = NO_WAIT) -> float:
    limit = one.pacing.limits.get(ADDRESS)
    assert limit is not None
    return asyncio.run(one.limits.acquire(ADDRESS, limit, asked))


def test_all_instances_share_limit_through_one_owner(fleet):
    waits = [acquire(one, PermitOptions(max_wait_s=9.0)) for one in fleet * 2]
    assert waits == pytest.approx([0.0, 0.5, 1.0, 1.5, 2.0, 2.5])
    asked = {address for address, channel in fleet[0].network.calls}
    assert asked == {by_rank(fleet)[0].record.name}


def test_permit_beyond_max_wait_is_not_granted(fleet):
    assert [acquire(one) for one in fleet] == pytest.approx([0.0, 0.5, 0.5])


def test_successor_grants_limit_only_after_owner_timeout(fleet):
    first, second, third = by_rank(fleet)
    network = first.network
    network.silent.add(first.record.name)
    # The successor still hears of the owner: only one direction may be cut.
    sent = 0
    for _ in range(15):
        network.now += 0.1
        sent += acquire(third) <= 0.0
    assert sent <= 1.5 * PER_S / 3 + 1
    network.now += sharing.PEER_SILENCE_TIMEOUT_S
    exchange_heartbeats(fleet)
    waits = [acquire(one, PermitOptions(max_wait_s=9.0)) for one in (second, third, second)]
    assert waits == pytest.approx([0.0, 0.5, 1.0])


def test_isolated_instance_sends_its_share(fleet):
    first, second, third = by_rank(fleet)
    network = first.network
    network.silent |= {first.record.name, second.record.name}
    sent = 0
    for _ in range(300):
        network.now += 0.1
        sent += acquire(third) <= 0.0
    # A third of the limit. A larger side grants the whole limit besides: the total may exceed it.
    assert sent == pytest.approx(30.0 * PER_S / 3, abs=2)


def test_owner_that_does_not_reply_is_not_asked_for_a_while(fleet):
    first, second, _ = by_rank(fleet)
    first.network.silent.add(first.record.name)
    first.network.calls.clear()
    for _ in range(5):
        acquire(second)
    assert [a for a, _ in first.network.calls] == [first.record.name]
    first.network.now += exchange.RETRY_AFTER_SILENCE_S
    acquire(second)
    assert len(first.network.calls) == 2


def test_limit_update_keeps_age(fleet):
    one, other, third = fleet
    network = one.network
    network.now += 3.0
    assert one.pacing.limits.record_absence(ADDRESS, network.now, network.now)
    # The end is newer than the limit that the other instance knows.
    one.limits.apply_updates(other.limits.updates())
    assert one.pacing.limits.get(ADDRESS) is None
    network.now += 1.0
    other.pacing.limits.record(ADDRESS, 5.0, network.now)
    network.now += 0.5
    for receiver in (one, third):
        receiver.limits.apply_updates(other.limits.updates())
        limit = receiver.pacing.limits.get(ADDRESS)
        assert (limit.requests_per_s, network.now - limit.advertised_at) == pytest.approx(
            (5.0, 0.5)
        )


def test_end_of_limit_is_sent_to_others(fleet):
    """With a low limit an instance may wait long for a permit, and learn of the end late."""
    one, other, third = fleet
    network = one.network
    network.now += 1.0
    third.pacing.limits.record(ADDRESS, PER_S, network.now)
    sent_at = network.now = network.now + 1.0
    network.now += 0.1
    assert one.pacing.limits.record_absence(ADDRESS, sent_at, network.now)
    other.limits.apply_updates(one.limits.updates())
    assert other.pacing.limits.get(ADDRESS) is None
    # A limit that was advertised after the end stays in force.
    third.pacing.limits.record(ADDRESS, PER_S, network.now)
    third.limits.apply_updates(one.limits.updates())
    assert third.pacing.limits.get(ADDRESS) is not None


def test_old_limit_is_not_sent(fleet):
    one = fleet[0]
    one.network.now += exchange.MAX_LIMIT_AGE_S
    assert one.limits.updates() == []


def test_members_and_coordinators_exchange_limits():
    network = Network()
    coordinator, member = Instance(network, "c"), Instance(network, "m")
    for one in (coordinator, member):
        one.set_replica_list()
        one.update_roster(coordinator)
    member.pacing.limits.record(ADDRESS, PER_S, network.now)

    async def scenario():
        await member.poll_coordinator()
        assert coordinator.pacing.limits.get(ADDRESS).requests_per_s == PER_S
        coordinator.pacing.limits.record("r2:1", 7.0, network.now)
        await member.poll_coordinator()

    asyncio.run(scenario())
    assert member.pacing.limits.get("r2:1").requests_per_s == 7.0
