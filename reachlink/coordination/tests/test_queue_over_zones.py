"""All zones that reach each other share one queue, or each zone has its own."""

import asyncio

import pytest

from reachlink.coordination.tests.test_queue import make_queued_query
from reachlink.coordination.tests.world import Instance, Network
from reachlink.testing import run_virtually

ZONES = ("a", "b", "c")


class Region:
    """A coordinator and a member in each of three zones, without room."""

    def __init__(self, over_zones: bool) -> None:
        self.network = Network()
        self.coordinators = [
            Instance(self.network, f"c-{zone}", zone, True, over_zones) for zone in ZONES
        ]
        self.members = [
            Instance(self.network, f"m-{zone}", zone, True, over_zones) for zone in ZONES
        ]
        for instance in self.coordinators + self.members:
            instance.update_roster(*self.coordinators)
            instance.set_replica_list()
        self.network.now += 10.0
        for coordinator in self.coordinators:
            for replica in ("r1", "r2"):
                coordinator.start_request(replica, 30_000)

    async def stand(self) -> list[int]:
        """Queue one request of each zone; return the length of each zone's queue."""
        tasks = [
            asyncio.ensure_future(
                m.member.ask(make_queued_query(f"id-{m.record.name}", hold_s=1.0))
            )
            for m in self.members
        ]
        await asyncio.sleep(0.3)
        lengths = [
            c.queue_owner.waiting_counts.get("chat", 0)
            for c in self.coordinators
            if c.queue_owner is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.1)
        return lengths

    def cut(self, zone: str) -> None:
        """Cut off a zone, after all instances have noticed it."""
        for instance in self.coordinators + self.members:
            inside = instance.record.availability_zone == zone
            instance.silent_zones = set(ZONES) - {zone} if inside else {zone}


@pytest.mark.parametrize("over_zones,lengths", [(False, [1, 1, 1]), (True, [0, 0, 3])])
def test_queue_is_per_zone_or_shared_by_all_zones(over_zones, lengths):
    async def scenario():
        return await Region(over_zones).stand()

    assert sorted(run_virtually(scenario())) == lengths


@pytest.mark.parametrize("zone", ZONES)
def test_zone_that_is_cut_off_has_own_queue(zone):
    async def scenario():
        region = Region(over_zones=True)
        region.cut(zone)
        return await region.stand()

    lengths = run_virtually(scenario())
    assert lengths[ZONES.index(zone)] == 1
    assert sorted(lengths) == [0, 1, 2]


def test_all_zones_use_next_owner_after_owner_is_lost():
    async def scenario():
        region = Region(over_zones=True)
        before = await region.stand()
        lost = before.index(3)
        region.network.silent.add(region.coordinators[lost].record.name)
        first = await region.stand()
        return lost, first, await region.stand()

    lost, first, then = run_virtually(scenario())
    # The queries that found the owner lost were repeated at an owner in their own zone.
    assert first[lost] == 0
    assert sorted(then) == [0, 0, 3]
    assert then[lost] == 0
