"""Published routing tables in the replicated state."""

import msgspec

from reachlink.agreement import Member  # noqa: F401  (the state machine's own types)
from reachlink.control import (
    ControlMachine,
    EditCommand,
    EditStatus,
    PublishCommand,
    PublishStatus,
)
from reachlink.membership import SettingsAnswer, SettingsHolder
from reachlink.messaging import encode
from reachlink.routing import NATIVE_FORMAT, PublishedTable
from reachlink.settings import ROUTING_PATH, Change


def publish(machine: ControlMachine, number: int, text: str = "{}"):
    table = PublishedTable(number, NATIVE_FORMAT, text)
    return machine.apply(1, 1, encode(PublishCommand(table, "op", "here", 1.0)))


def test_the_highest_number_wins():
    machine = ControlMachine()
    assert publish(machine, 4, "four").status is PublishStatus.ACCEPTED
    assert publish(machine, 9, "nine").status is PublishStatus.ACCEPTED
    late = publish(machine, 7, "seven")
    assert (late.status, late.number) == (PublishStatus.OVERTAKEN, 9)
    assert machine.tree.routing.document == "nine"


def test_a_number_held_keeps_its_content():
    machine = ControlMachine()
    publish(machine, 4, "first")
    revision = machine.tree.revision
    assert publish(machine, 4, "other").status is PublishStatus.HELD
    assert machine.tree.routing.document == "first"
    assert machine.tree.revision == revision


def test_a_table_is_not_edited():
    machine = ControlMachine()
    edit = EditCommand("e1", 0, [Change(ROUTING_PATH, {"number": 1})], "op", "here", 1.0)
    result = machine.apply(1, 1, encode(edit))
    assert result.status is EditStatus.INVALID
    assert result.problems[0].path == ROUTING_PATH


def test_snapshots_hold_the_table():
    machine = ControlMachine()
    publish(machine, 4, "four")
    other = ControlMachine()
    other.restore(machine.snapshot())
    assert other.tree.routing == machine.tree.routing
    assert publish(other, 4, "other").status is PublishStatus.HELD


def test_only_the_newest_table_is_remembered_for_those_behind():
    machine = ControlMachine()
    for number in range(1, 40):
        publish(machine, number, f"table {number}" * 100)
    assert len(machine.deltas_since(machine.tree.revision - 1)) == 1
    assert machine.deltas_since(3) is None
    assert len(machine.snapshot()) < 20_000


def test_the_audit_trail_names_tables_without_holding_them():
    machine = ControlMachine()
    publish(machine, 4, "x" * 10_000)
    record = machine.audit.records[-1]
    assert record.action == "publish" and record.accepted
    assert "number 4, 10000 characters" in record.changes[0].new
    assert len(msgspec.json.encode(record)) < 1000


def test_daemons_get_the_table_like_any_setting():
    machine = ControlMachine()
    publish(machine, 4, "four")
    holder = SettingsHolder()
    tree = machine.tree
    assert holder.take(SettingsAnswer(tree.revision, True, values=dict(tree.values)))
    publish(machine, 6, "six")
    deltas = machine.deltas_since(holder.tree.revision)
    assert holder.take(SettingsAnswer(machine.tree.revision, True, deltas))
    assert holder.tree.routing == PublishedTable(6, NATIVE_FORMAT, "six")
    assert not holder.take(SettingsAnswer(1, True, values={}))
    assert holder.tree.routing.number == 6


def test_a_restored_state_leads_on_from_the_same_revisions():
    machine, other = ControlMachine(), ControlMachine()
    routes = ",".join(f'{{"r":{i}}}' for i in range(50))
    for number in range(1, 6):
        publish(machine, number, f'{{"n":{number}}},{routes}')
    other.restore(machine.snapshot())
    assert other.deltas_since(3) is not None
    assert other.deltas_since(3) == machine.deltas_since(3)
    holder = SettingsHolder()
    values = {
        ROUTING_PATH: {"number": 3, "format": NATIVE_FORMAT, "document": f'{{"n":3}},{routes}'}
    }
    assert holder.take(SettingsAnswer(3, True, values=values))
    assert holder.take(SettingsAnswer(5, True, other.deltas_since(3)))
    assert holder.tree.routing == machine.tree.routing
