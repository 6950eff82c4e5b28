"""Crashes that one instance has found become known to all coordinators and members."""

import asyncio

import pytest

from reachlink.coordination import CoordinatorSnapshot
from reachlink.coordination import _quarantine_exchange as exchange
from reachlink.coordination._quarantine_exchange import RESYNC_DELAY_S
from reachlink.coordination.tests.world import Instance, Network
from reachlink.messaging import decode, encode
from reachlink.quarantine import QuarantineNote
from reachlink.upstreams import RequestFeatures

GUILTY = RequestFeatures(7)


def crash(instance: Instance, number: int) -> None:
    now = instance.clock()
    instance.quarantine.note_crash(GUILTY, f"r{number}", now - 0.1, now, False, now)


def holds(instance: Instance) -> bool:
    return instance.quarantine.verdict(GUILTY, instance.clock()) is not None


def test_crashes_spread_between_members_of_one_coordinator():
    async def scenario():
        network = Network()
        coordinator = Instance(network, "e1")
        members = [Instance(network, name) for name in ("e2", "e3", "e4")]
        for one in (coordinator, *members):
            one.set_replica_list()
            one.update_roster(coordinator)
        network.now += 5.0
        for number, member in enumerate(members):
            crash(member, number)
            await member.poll_coordinator()
        for member in members:
            await member.poll_coordinator()
        assert [holds(one) for one in (coordinator, *members)] == [True] * 4

    asyncio.run(scenario())


def test_update_just_after_news_is_not_held():
    async def scenario():
        network = Network()
        coordinator, member = Instance(network, "e1"), Instance(network, "e2")
        for one in (coordinator, member):
            one.set_replica_list()
            one.update_roster(coordinator)
        network.now += 5.0
        await member.poll_coordinator()
        for number in range(3):
            crash(coordinator, number)
        asking = network.handlers["e1"]["member"](
            "e2", encode(member.member._make_update("e1", 30.0))
        )
        picture = decode(await asyncio.wait_for(asking, 5.0), CoordinatorSnapshot)
        assert len(picture.quarantine.crashes) == 3

    asyncio.run(scenario())


def test_synchronization_is_repeated_less_often_if_digests_keep_differing(monkeypatch):
    """In a flood of crashes each instance keeps different ones: the digests stay different."""
    monkeypatch.setattr(exchange, "CHECK_INTERVAL_S", 0.01)

    async def scenario():
        network = Network()
        Instance(network, "e1")
        other = Instance(network, "e2")
        other.crash_news.set_peers(["e1"], alone=False)
        running = asyncio.create_task(other.crash_news.run())
        unlike = QuarantineNote(digest=12345)
        for _ in range(40):
            other.crash_news.apply_update(unlike)
            network.now += 1.5
            await asyncio.sleep(0.02)
        running.cancel()
        asked = [call for call in network.calls if call[1] == "quarantine"]
        # One at the start, then after 1, 2, 4, 8, 16 and 30 s.
        assert len(asked) <= 7

    asyncio.run(scenario())


def test_starting_instance_synchronizes_before_it_is_ready():
    async def scenario():
        network = Network()
        old, new = Instance(network, "e1"), Instance(network, "e2")
        for number in range(3):
            crash(old, number)
        assert not new.crash_news.initial_sync_done
        running = asyncio.create_task(new.crash_news.run())
        new.crash_news.set_peers(["e1"], alone=False)
        async with asyncio.timeout(5.0):
            while not new.crash_news.initial_sync_done:
                await asyncio.sleep(0.01)
        running.cancel()
        assert holds(new)

    asyncio.run(scenario())


def test_instance_that_missed_updates_synchronizes():
    """It was cut off while the crashes were sent: the digests in later updates differ."""

    async def scenario():
        network = Network()
        one, other = Instance(network, "e1"), Instance(network, "e2")
        other.crash_news.set_peers(["e1"], alone=False)
        running = asyncio.create_task(other.crash_news.run())
        for number in range(3):
            crash(one, number)
        # The crashes are no longer news: updates only have the digest from here on.
        network.now += 10.0
        while not holds(other):
            assert one.crash_news.make_update().crashes == []
            other.crash_news.apply_update(one.crash_news.make_update())
            network.now += RESYNC_DELAY_S / 2.0
            await asyncio.sleep(0.05)
        running.cancel()
        assert one.quarantine.digest() == other.quarantine.digest()

    async def bounded():
        async with asyncio.timeout(10.0):
            await scenario()

    asyncio.run(bounded())


@pytest.mark.parametrize("peers", [[], ["e9"]])
def test_start_without_reply_is_not_blocked_forever(peers):
    """No peer is known, or all instances start at once and none replies yet."""

    async def scenario():
        network = Network()
        network.silent.add("e9")
        alone = Instance(network, "e1")
        alone.crash_news.set_peers(peers, alone=False)
        running = asyncio.create_task(alone.crash_news.run())
        async with asyncio.timeout(5.0):
            while not alone.crash_news.initial_sync_done:
                network.now += 0.5
                await asyncio.sleep(0.05)
        running.cancel()

    asyncio.run(scenario())


def test_starting_coordinator_learns_crashes_from_its_members():
    """It knows no peer to ask and would send requests that its member holds in quarantine."""

    async def scenario():
        network = Network()
        coordinator, member = Instance(network, "e1"), Instance(network, "e2")
        for one in (coordinator, member):
            one.set_replica_list()
            one.update_roster(coordinator)
        member.crash_news.set_peers(["e1"], alone=False)
        coordinator.crash_news.set_peers([], alone=False)
        for number in range(3):
            crash(member, number)
        network.now += 10.0
        assert not coordinator.crash_news.initial_sync_done
        running = asyncio.create_task(member.crash_news.run())
        async with asyncio.timeout(5.0):
            while not holds(coordinator):
                await member.poll_coordinator()
                await asyncio.sleep(0.02)
        running.cancel()

    asyncio.run(scenario())


def test_update_of_member_that_knows_more_is_not_held():
    """A held reply would delay the synchronization of a coordinator that has just started."""

    async def scenario():
        network = Network()
        coordinator, member = Instance(network, "e1"), Instance(network, "e2")
        for one in (coordinator, member):
            one.set_replica_list()
            one.update_roster(coordinator)
        for number in range(3):
            crash(member, number)
        network.now += 10.0
        note = member.member._make_update("e1", 30.0)
        call = network.handlers["e1"]["member"]("e2", encode(note))
        assert decode(await asyncio.wait_for(call, 5.0), CoordinatorSnapshot).quarantine.digest == 0

    asyncio.run(scenario())


def test_single_coordinator_is_not_ready_before_digest_of_a_member_agrees():
    async def scenario():
        network = Network()
        coordinator, member = Instance(network, "e1"), Instance(network, "e2")
        for one in (coordinator, member):
            one.set_replica_list()
            one.update_roster(coordinator)
        crash(member, 1)
        network.now += 10.0
        coordinator.crash_news.set_peers([], alone=False)
        member.crash_news.set_peers(["e1"], alone=False)
        running = [asyncio.create_task(one.crash_news.run()) for one in (coordinator, member)]
        async with asyncio.timeout(5.0):
            while not coordinator.crash_news.initial_sync_done:
                await member.poll_coordinator()
                await asyncio.sleep(0.02)
        for task in running:
            task.cancel()
        assert coordinator.quarantine.digest() == member.quarantine.digest() != 0

    asyncio.run(scenario())
