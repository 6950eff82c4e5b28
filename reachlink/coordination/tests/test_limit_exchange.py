"""What instances ask and tell each other of limits, in memory."""

import asyncio

import pytest

from reachlink.coordination import _limit_exchange as exchange
from reachlink.coordination.tests.world import Instance, Network
from reachlink.pacing import PermitOptions, rendezvous_order
from reachlink.pacing import _sharing as sharing

REPLICA, ADDRESS = "r1", "r1:1"
PER_S = 2.0
NOW = PermitOptions()


@pytest.fixture
def fleet() -> list[Instance]:
    """Three instances that hear each other and have heard of a limit."""
    network = Network()
    made = [Instance(network, f"e{n}") for n in range(3)]
    for one in made:
        one.list_replicas()
        one.limits.update_roster([other.record for other in made], len(made))
    network.now += sharing.SETTLE_S
    hear(made)
    for one in made:
        one.pacing.limits.record(ADDRESS, PER_S, network.now)
    return made


def hear(fleet: list[Instance]) -> None:
    for one in fleet:
        for other in fleet:
            if other is not one and other.record.name not in one.network.silent:
                one.shared._last_heard[other.record.name] = one.network.now


def in_rank(fleet: list[Instance]) -> list[Instance]:
    """Return who hands out the replica's limit, and who takes over from whom."""
    order = rendezvous_order([one.record.name for one in fleet], REPLICA)
    return sorted(fleet, key=lambda one: order.index(one.record.name))


def ask(one: Instance, asked: PermitOptions = NOW) -> float:
    limit = one.pacing.limits.get(ADDRESS)
    assert limit is not None
    return asyncio.run(one.limits.acquire(ADDRESS, limit, asked))


def test_all_ask_the_same_instance_and_get_the_limit_together(fleet):
    waits = [ask(one, PermitOptions(max_wait_s=9.0)) for one in fleet * 2]
    assert waits == pytest.approx([0.0, 0.5, 1.0, 1.5, 2.0, 2.5])
    asked = {address for address, channel in fleet[0].network.calls}
    assert asked == {in_rank(fleet)[0].record.name}


def test_a_turn_beyond_the_patience_is_not_taken(fleet):
    assert [ask(one) for one in fleet] == pytest.approx([0.0, 0.5, 0.5])


def test_where_who_hands_out_is_silent_another_takes_over_once_it_hears_nothing(fleet):
    first, second, third = in_rank(fleet)
    network = first.network
    network.silent.add(first.record.name)
    # The second one still hears of the first: it could be only this way that is cut.
    sent = 0
    for _ in range(15):
        network.now += 0.1
        sent += ask(third) <= 0.0
    assert sent <= 1.5 * PER_S / 3 + 1
    network.now += sharing.PEER_SILENCE_TIMEOUT_S
    hear(fleet)
    waits = [ask(one, PermitOptions(max_wait_s=9.0)) for one in (second, third, second)]
    assert waits == pytest.approx([0.0, 0.5, 1.0])


def test_one_that_reaches_nobody_sends_its_part(fleet):
    first, second, third = in_rank(fleet)
    network = first.network
    network.silent |= {first.record.name, second.record.name}
    sent = 0
    for _ in range(300):
        network.now += 0.1
        sent += ask(third) <= 0.0
    # A third of what the replica takes; which no longer is the whole where a side has more.
    assert sent == pytest.approx(30.0 * PER_S / 3, abs=2)


def test_one_that_does_not_answer_is_not_asked_for_a_while(fleet):
    first, second, _ = in_rank(fleet)
    first.network.silent.add(first.record.name)
    first.network.calls.clear()
    for _ in range(5):
        ask(second)
    assert [a for a, _ in first.network.calls] == [first.record.name]
    first.network.now += exchange.RETRY_AFTER_SILENCE_S
    ask(second)
    assert len(first.network.calls) == 2


def test_a_limit_is_told_on_with_its_age(fleet):
    one, other, third = fleet
    network = one.network
    network.now += 3.0
    assert one.pacing.limits.record_absence(ADDRESS, network.now, network.now)
    # What the other has heard before is void here.
    one.limits.apply_updates(other.limits.updates())
    assert one.pacing.limits.get(ADDRESS) is None
    network.now += 1.0
    other.pacing.limits.record(ADDRESS, 5.0, network.now)
    network.now += 0.5
    for told in (one, third):
        told.limits.apply_updates(other.limits.updates())
        limit = told.pacing.limits.get(ADDRESS)
        assert (limit.requests_per_s, network.now - limit.advertised_at) == pytest.approx(
            (5.0, 0.5)
        )


def test_the_end_of_a_limit_is_told_on(fleet):
    """Who has no permit for long would hear of it late: the limit was a request in two seconds."""
    one, other, third = fleet
    network = one.network
    network.now += 1.0
    third.pacing.limits.record(ADDRESS, PER_S, network.now)
    sent_at = network.now = network.now + 1.0
    network.now += 0.1
    assert one.pacing.limits.record_absence(ADDRESS, sent_at, network.now)
    other.limits.apply_updates(one.limits.updates())
    assert other.pacing.limits.get(ADDRESS) is None
    # What was named since holds.
    third.pacing.limits.record(ADDRESS, PER_S, network.now)
    third.limits.apply_updates(one.limits.updates())
    assert third.pacing.limits.get(ADDRESS) is not None


def test_a_limit_that_was_not_named_for_long_is_not_told(fleet):
    one = fleet[0]
    one.network.now += exchange.MAX_NOTE_AGE_S
    assert one.limits.updates() == []


def test_members_and_coordinators_tell_each_other():
    network = Network()
    coordinator, member = Instance(network, "c"), Instance(network, "m")
    for one in (coordinator, member):
        one.list_replicas()
        one.update_roster(coordinator)
    member.pacing.limits.record(ADDRESS, PER_S, network.now)

    async def story():
        await member.follow()
        assert coordinator.pacing.limits.get(ADDRESS).requests_per_s == PER_S
        coordinator.pacing.limits.record("r2:1", 7.0, network.now)
        await member.follow()

    asyncio.run(story())
    assert member.pacing.limits.get("r2:1").requests_per_s == 7.0
