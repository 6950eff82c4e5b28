"""Which entry instances exchange load."""

from reachlink.membership import InstanceRecord, Roster


def record(name: str, zone: str = "a") -> InstanceRecord:
    return InstanceRecord(name, f"{name}:1", zone)


def test_silent_instances_are_left_out():
    roster = Roster()
    roster.note([record("e1"), record("e2")], 0.0)
    roster.note([record("e2")], 3.0)
    assert [r.name for r in roster.present(5.0)] == ["e2"]


def test_a_few_instances_all_know_each_other():
    roster = Roster()
    roster.note([record("e1"), record("e2", "b"), record("e3", "c")], 0.0)
    assert [r.name for r in roster.peers_of(record("e2", "b"), 0.0)] == ["e1", "e3"]


def test_many_instances_know_a_bounded_number_of_neighbours_both_ways():
    roster = Roster()
    many = [record(f"e{i:03d}", "ab"[i % 2]) for i in range(400)]
    roster.note(many, 0.0)
    known = {r.name: {p.name for p in roster.peers_of(r, 0.0)} for r in many}
    assert all(len(peers) == 24 for peers in known.values())
    assert all(name in known[peer] for name, peers in known.items() for peer in peers)
    zones = {r.name: r.availability_zone for r in many}
    assert all(zones[n] == zones[p] for n, peers in known.items() for p in peers)
