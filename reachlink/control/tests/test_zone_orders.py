"""Orders that take a zone out of service: durable, in the order of their acknowledgement."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reachlink.control import (
    ControlMachine,
    ControlUnavailableError,
    EditCommand,
    EditStatus,
    Issuer,
    UnknownZoneError,
    ZoneCommand,
    ZoneOrders,
    ZoneStatus,
)
from reachlink.messaging import encode
from reachlink.settings import Change, zone_order_path

ISSUER = Issuer("op", "here", "power works")


def give(machine: ControlMachine, zone: str, out: bool, base: int):
    command = ZoneCommand(zone, out, base, "op", "here", "power works", 7.0)
    return machine.apply(1, 1, encode(command))


def test_an_order_tells_who_since_when_and_why():
    machine = ControlMachine()
    result = give(machine, "a", True, 0)
    order = machine.tree.zone_orders["a"]
    assert (result.status, result.revision) == (ZoneStatus.ACCEPTED, order.revision)
    assert (order.by, order.since, order.reason) == ("op", 7.0, "power works")
    record = machine.audit.records[-1]
    assert (record.action, record.changes[0].path) == ("zone", zone_order_path("a"))


def test_the_same_order_again_changes_nothing():
    machine = ControlMachine()
    first = give(machine, "a", True, 0)
    again = give(machine, "a", True, 0)
    assert (again.status, again.revision) == (ZoneStatus.HELD, first.revision)
    assert machine.tree.revision == first.revision


def test_an_order_that_comes_after_what_took_it_back_is_void():
    """A connection that was silent delivers an order seconds late, when it is over."""
    machine = ControlMachine()
    out = give(machine, "a", True, 0)
    back = give(machine, "a", False, out.revision)
    late = give(machine, "a", True, 0)
    assert (late.status, late.revision) == (ZoneStatus.OVERTAKEN, back.revision)
    assert not machine.tree.zones_out_of_service


def test_snapshots_hold_orders():
    machine, other = ControlMachine(), ControlMachine()
    give(machine, "a", True, 0)
    other.restore(machine.snapshot())
    assert other.tree.zone_orders == machine.tree.zone_orders
    assert other.tree.zones_out_of_service == {"a"}


def test_an_order_is_not_edited():
    machine = ControlMachine()
    edit = EditCommand("e1", 0, [Change(zone_order_path("a"), {})], "op", "here", 1.0)
    result = machine.apply(1, 1, encode(edit))
    assert result.status is EditStatus.INVALID
    assert result.problems[0].path == zone_order_path("a")


class Instances:
    """Control instances that share one log; their view of it may be old."""

    def __init__(self) -> None:
        self.machine = ControlMachine()
        self.now = 0.0
        self.takes_s = 0.0
        self.between: list[bool] = []

    async def propose(self, command):
        if self.between:
            out = self.between.pop(0)
            held = self.machine.tree.zone_orders.get("a")
            give(self.machine, "a", out, held.revision if held else 0)
        self.now += self.takes_s
        return self.machine.apply(1, 1, encode(command))

    def orders(self, known=("a", "b")) -> ZoneOrders:
        old = self.machine.tree
        return ZoneOrders(self.propose, lambda: old, known, lambda: self.now)


def test_an_instance_that_lags_gives_an_order_on_the_newest():
    world = Instances()
    lagging = world.orders()
    asyncio.run(world.orders().order("a", True, ISSUER))
    asyncio.run(lagging.order("a", False, ISSUER))
    assert not world.machine.tree.zones_out_of_service


def test_an_overtaken_order_is_not_given_again_once_its_operator_has_turned_elsewhere():
    world = Instances()
    lagging = world.orders()
    asyncio.run(world.orders().order("a", True, ISSUER))
    world.takes_s = 0.9
    with pytest.raises(ControlUnavailableError):
        asyncio.run(lagging.order("a", False, ISSUER))
    assert world.machine.tree.zones_out_of_service == {"a"}


def test_an_unknown_zone_is_named():
    with pytest.raises(UnknownZoneError, match="'c', only: a, b"):
        asyncio.run(Instances().orders().order("c", True, ISSUER))
    with pytest.raises(UnknownZoneError, match="'x/y'"):
        asyncio.run(Instances().orders(known=()).order("x/y", True, ISSUER))


# One step of a play: an order is given anew; or an order given before arrives once
# more, be it its first arrival (it was held up) or a repetition.
Steps = st.lists(
    st.one_of(
        st.tuples(st.just("give"), st.booleans()), st.tuples(st.just("late"), st.integers(0))
    ),
    max_size=25,
)


@given(Steps)
def test_what_was_acknowledged_last_is_in_force_whatever_arrives_late(steps):
    """An operator gives an order after the one before is acknowledged; copies float about."""
    machine = ControlMachine()
    sent: list[ZoneCommand] = []
    wanted = False
    for kind, value in steps:
        if kind == "give":
            wanted = value
            held = machine.tree.zone_orders.get("a")
            command = ZoneCommand("a", value, held.revision if held else 0, "op", "", "", 1.0)
            sent.append(command)
            assert machine.apply(1, 1, encode(command)).status is not ZoneStatus.OVERTAKEN
        elif sent:
            machine.apply(1, 1, encode(sent[value % len(sent)]))
        assert ("a" in machine.tree.zones_out_of_service) == wanted
