"""One line over all zones that reach each other, or one a zone."""

import asyncio

import pytest

from reachlink.coordination.tests.test_line import asked
from reachlink.coordination.tests.world import Instance, Network
from reachlink.testing import run_virtually

ZONES = ("a", "b", "c")


class Region:
    """A coordinator and a member in each of three zones, and no room."""

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
            instance.list_replicas()
        self.network.now += 10.0
        for coordinator in self.coordinators:
            for replica in ("r1", "r2"):
                coordinator.begin(replica, 30_000)

    async def stand(self) -> list[int]:
        """Have one request of each zone wait; return how many stand in each zone's line."""
        tasks = [
            asyncio.ensure_future(m.member.ask(asked(f"id-{m.record.name}", hold_s=1.0)))
            for m in self.members
        ]
        await asyncio.sleep(0.3)
        lines = [
            c.line.waiting_counts.get("chat", 0) for c in self.coordinators if c.line is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.1)
        return lines

    def cut(self, zone: str) -> None:
        """Cut a zone off, as all have noticed."""
        for instance in self.coordinators + self.members:
            inside = instance.record.availability_zone == zone
            instance.silent_zones = set(ZONES) - {zone} if inside else {zone}


@pytest.mark.parametrize("over_zones,lines", [(False, [1, 1, 1]), (True, [0, 0, 3])])
def test_a_line_is_one_a_zone_or_one_over_all(over_zones, lines):
    async def scene():
        return await Region(over_zones).stand()

    assert sorted(run_virtually(scene())) == lines


@pytest.mark.parametrize("zone", ZONES)
def test_a_zone_that_is_cut_off_has_a_line_of_its_own(zone):
    async def scene():
        region = Region(over_zones=True)
        region.cut(zone)
        return await region.stand()

    lines = run_virtually(scene())
    assert lines[ZONES.index(zone)] == 1
    assert sorted(lines) == [0, 1, 2]


def test_where_the_owner_of_all_is_lost_all_have_the_next_one():
    async def scene():
        region = Region(over_zones=True)
        before = await region.stand()
        lost = before.index(3)
        region.network.silent.add(region.coordinators[lost].record.name)
        first = await region.stand()
        return lost, first, await region.stand()

    lost, first, then = run_virtually(scene())
    # The question that showed it went to the own zone's next, if there is one.
    assert first[lost] == 0
    assert sorted(then) == [0, 0, 3]
    assert then[lost] == 0
