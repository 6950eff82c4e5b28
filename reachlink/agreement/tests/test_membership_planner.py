"""Automatic membership changes: one member at a time, and never too few voters."""

from random import Random

from reachlink.agreement import Candidate, Member, MemberHealth, next_membership

ZONES = {"a": "za", "b": "zb", "c": "zc", "d": "zc", "e": "za"}


def member(node: str, voting: bool = True, zone: str | None = None) -> Member:
    return Member(node, f"10.0.0.{node[0]}:7", zone if zone is not None else ZONES[node[0]], voting)


def candidate(node: str) -> Candidate:
    return Candidate(node, f"10.0.0.{node[0]}:7", ZONES[node[0]])


GOOD = MemberHealth(0.1, True)
SILENT = MemberHealth(3.0, False)
THREE_VOTERS = [member("a"), member("b"), member("c")]


def step(members, health, candidates, wanted=3):
    return next_membership(members, "a", health, candidates, wanted)


def voters(members) -> set[str]:
    return {m.node_id for m in members if m.voting}


def test_no_change_if_all_members_are_healthy():
    health = {"b": GOOD, "c": GOOD}
    assert step(THREE_VOTERS, health, [candidate(n) for n in "abc"]) is None


def test_a_founding_member_gets_its_announced_zone():
    members = [member("a"), member("b", zone=""), member("c")]
    changed = step(members, {"b": GOOD, "c": GOOD}, [candidate("b")])
    assert member("b") in changed


def test_a_new_replica_is_added_without_a_vote():
    changed = step(THREE_VOTERS, {"b": GOOD, "c": GOOD}, [candidate("d")])
    assert voters(changed) == set("abc") and member("d", voting=False) in changed


def test_a_silent_voter_stays_until_a_replacement_exists():
    assert step(THREE_VOTERS, {"b": GOOD, "c": SILENT}, []) is None


def test_a_lost_disk_is_replaced_step_by_step():
    """The old member is removed only once the new identity has caught up and votes."""
    announced = [candidate("c2")]
    health = {"b": GOOD, "c": SILENT}
    members = step(THREE_VOTERS, health, announced)
    assert voters(members) == set("abc")
    health["c2"] = MemberHealth(0.1, False)
    assert step(members, health, announced) is None
    health["c2"] = GOOD
    members = step(members, health, announced)
    assert voters(members) == {"a", "b", "c", "c2"}
    members = step(members, health, announced)
    assert voters(members) == {"a", "b", "c2"}


def test_a_spare_of_the_same_zone_replaces_a_silent_voter():
    members = [*THREE_VOTERS, member("d", voting=False)]
    changed = step(members, {"b": GOOD, "c": SILENT, "d": GOOD}, [])
    assert voters(changed) == set("abcd")


def test_a_spare_of_another_zone_waits_longer():
    members = [*THREE_VOTERS, member("e", voting=False)]
    health = {"b": GOOD, "c": SILENT, "e": GOOD}
    assert step(members, health, []) is None
    health["c"] = MemberHealth(12.0, False)
    assert "e" in voters(step(members, health, []))


def test_a_higher_voter_target_promotes_members_across_zones():
    members = [*THREE_VOTERS, member("d", voting=False), member("e", voting=False)]
    health = {n: GOOD for n in "bcde"}
    first = step(members, health, [], wanted=5)
    assert len(voters(first)) == 4
    assert voters(step(first, health, [], wanted=5)) == set("abcde")


def test_a_silent_non_voter_is_removed():
    members = [*THREE_VOTERS, member("d", voting=False)]
    health = {"b": GOOD, "c": GOOD, "d": MemberHealth(60.0, False)}
    assert step(members, health, []) == THREE_VOTERS


def test_the_leader_is_never_removed():
    members = [*THREE_VOTERS, member("d")]
    health = {n: SILENT for n in "bcd"}
    assert "a" in voters(step(members, health, [candidate("a")]))


def test_random_histories_change_one_member_at_a_time_and_keep_enough_voters():
    for seed in range(300):
        random = Random(seed)
        members = list(THREE_VOTERS)
        for _ in range(40):
            known = [m.node_id for m in members if m.node_id != "a"]
            states = [GOOD, GOOD, SILENT, MemberHealth(30.0, False)]
            health = {n: random.choice(states) for n in known}
            names = random.sample(["b", "c", "d", "e", "b2", "c2", "d2"], 3)
            changed = step(members, health, [candidate(n) for n in names])
            if changed is None:
                continue
            old = {m.node_id: m for m in members}
            new = {m.node_id: m for m in changed}
            differing = [n for n in old.keys() | new.keys() if old.get(n) != new.get(n)]
            assert len(differing) == 1
            assert len(voters(changed)) >= 3 and "a" in voters(changed)
            members = changed
