"""Tests of the roster: which entry instances are present and which coordinate."""

from collections import Counter

from reachlink.membership import InstanceRecord, Roster


def record(name: str, zone: str = "a") -> InstanceRecord:
    return InstanceRecord(name, f"{name}:1", zone)


def test_silent_instances_are_absent():
    roster = Roster()
    roster.note([record("e1"), record("e2")], 0.0)
    roster.note([record("e2")], 3.0)
    assert [r.name for r in roster.present(5.0)] == ["e2"]


def test_a_few_instances_all_coordinate():
    roster = Roster()
    roster.note([record("e1"), record("e2", "b"), record("e3", "c")], 0.0)
    assert [r.name for r in roster.coordinators(0.0)] == ["e1", "e2", "e3"]


def test_among_many_instances_some_of_each_zone_coordinate():
    roster = Roster()
    roster.note([record(f"e{i:03d}", "abcde"[i % 5]) for i in range(400)], 0.0)
    chosen = roster.coordinators(0.0)
    assert Counter(r.availability_zone for r in chosen) == dict.fromkeys("abcde", 2)


def test_joining_or_leaving_instance_changes_at_most_one_coordinator():
    many = [record(f"e{i:03d}", "abc"[i % 3]) for i in range(60)]
    roster = Roster()
    roster.note(many, 0.0)
    before = {r.name for r in roster.coordinators(0.0)}
    for gone in many:
        others = Roster()
        others.note([r for r in many if r is not gone], 0.0)
        after = {r.name for r in others.coordinators(0.0)}
        assert len(before - after) == (1 if gone.name in before else 0)


def test_zone_with_one_instance_has_a_coordinator():
    roster = Roster()
    roster.note([record(f"e{i:03d}") for i in range(40)] + [record("f1", "b")], 0.0)
    assert "f1" in {r.name for r in roster.coordinators(0.0)}


def test_instances_behind_partition_stay_while_their_reporter_is_silent():
    roster = Roster()
    for now in (0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0):
        roster.note([record("e1")], now)
        if now <= 1.0:
            roster.note([record("f1", "b"), record("f2", "b")], now, reporter="c2")
    assert [r.name for r in roster.present(6.0)] == ["e1", "f1", "f2"]
    roster.note([record("e1")], 40.0)
    assert [r.name for r in roster.present(40.0)] == ["e1"]


def test_instance_no_longer_reported_by_active_reporter_is_absent():
    roster = Roster()
    roster.note([record("f1", "b"), record("f2", "b")], 0.0, reporter="c2")
    for now in (1.0, 2.0, 3.0, 4.0, 5.0):
        roster.note([record("f1", "b")], now, reporter="c2")
    assert [r.name for r in roster.present(5.0)] == ["f1"]


def test_coordinators_stay_the_same_during_partition():
    roster = Roster()
    near = [record(f"e{i:02d}", "a") for i in range(20)]
    roster.note([record(f"f{i:02d}", "bc"[i % 2]) for i in range(40)], 0.0, reporter="c2")
    roster.note(near, 0.0)
    before = roster.coordinators(0.0)
    roster.note(near, 8.0)
    assert roster.coordinators(8.0) == before
