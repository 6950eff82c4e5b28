"""Paces reach all instances, once, and never as newer than they are."""

import asyncio

import pytest

from reachlink.coordination import CoordinatorSnapshot
from reachlink.coordination._pace_exchange import MAX_NOTES, MAX_RECIPIENTS, RESEND_INTERVAL_S
from reachlink.coordination.tests.world import REPLICAS, Instance, Network, fleet
from reachlink.membership import ListedInstance
from reachlink.messaging import decode, encode
from reachlink.requests import LoadNote
from reachlink.scheduling import PaceUpdate

SERVICE = "chat"


def tell(instance: Instance, replica: str, pace: float) -> None:
    instance.book.paces.record_reported(SERVICE, replica, pace, instance.clock())


def steady(instance: Instance, replica: str) -> float:
    return instance.book.paces.pace(replica, instance.clock()).steady


def to_peer(teller: Instance, listener: Instance) -> list[PaceUpdate]:
    """Pass on over the wire what one coordinator tells another."""
    note = LoadNote(teller.record.name, [], paces=teller.paces.updates_for_peers())
    note = decode(encode(note), LoadNote)
    listener.paces.apply_from_coordinator(note.instance, note.paces)
    return note.paces


def alone(*replicas: ListedInstance) -> Instance:
    instance = Instance(Network(), "c1")
    instance.directory.update(replicas or REPLICAS, instance.clock())
    return instance


def test_what_one_member_was_told_reaches_all_and_ages_on_its_way():
    async def play():
        network, (c1, c2), (m1, m2) = fleet()
        for member, coordinator in ((m1, c1), (m2, c2)):
            member.update_roster(coordinator)
            await member.follow()
        tell(m1, "r1", 0.55)
        network.now += 1.0
        await m1.follow()
        network.now += 1.0
        to_peer(c1, c2)
        network.now += 1.0
        await m2.follow()
        return network, c1, c2, m1, m2

    network, *instances = asyncio.run(play())
    for instance in instances:
        pace = instance.book.paces.pace_if_reported(SERVICE, "r1", network.now)
        assert (pace.steady, pace.age_s) == (0.55, pytest.approx(3.0))
        assert instance.book.paces.is_reported(SERVICE)


def test_what_has_not_changed_is_told_once_and_not_to_who_told_it():
    async def play():
        network, (c1,), (m1, m2) = fleet(coordinators=1)
        await m1.follow()
        await m2.follow()
        told = []
        for _ in range(5):
            tell(m1, "r1", 1.2)
            network.now += 0.1
            told.append(
                (len(c1.paces.updates_for_member("m2")), len(c1.paces.updates_for_member("m1")))
            )
            await m1.follow()
        return told, c1.paces.updates_for_member("m2")

    told, later = asyncio.run(play())
    assert told == [(0, 0), (1, 0), (0, 0), (0, 0), (0, 0)]
    assert later == []


def test_coordinators_pass_on_only_what_their_own_side_observed():
    _, (c1, c2), _ = fleet()
    tell(c1, "r1", 0.55)
    assert [note.replica for note in to_peer(c1, c2)] == ["r1"]
    assert to_peer(c2, c1) == []
    assert [note.replica for note in c2.paces.updates_for_member("m1")] == ["r1"]


def test_a_pace_that_changes_is_told_again():
    network, (c1, c2), _ = fleet()
    tell(c1, "r1", 0.55)
    to_peer(c1, c2)
    for _ in range(40):
        network.now += 0.3
        tell(c1, "r1", 1.2)
    to_peer(c1, c2)
    assert steady(c2, "r1") == 1.2


def test_a_lost_note_is_made_up_for():
    network, (c1, c2), _ = fleet()
    tell(c1, "r1", 0.55)
    c1.paces.updates_for_peers()
    assert to_peer(c1, c2) == []
    network.now += RESEND_INTERVAL_S
    to_peer(c1, c2)
    assert steady(c2, "r1") == 0.55


def test_notes_that_overtake_each_other_leave_the_newest():
    network, (c1, c2), _ = fleet()
    for pace, age_ms in ((55, 1_000), (120, 5_000), (55, 1_000)):
        c2.paces.apply_from_coordinator("c1", [PaceUpdate("r1", pace, age_ms=age_ms)])
    assert steady(c2, "r1") == 0.55
    network.now += 3.0
    c2.paces.apply_from_coordinator("c3", [PaceUpdate("r1", 200, age_ms=9_000)])
    assert c2.book.paces.pace("r1", network.now).age_s == pytest.approx(4.0)


def test_a_note_of_a_life_before_is_passed_over_and_one_of_a_new_life_begins_anew():
    c1 = alone()
    started: list[str] = []
    c1.directory.on_started_again(lambda name: (started.append(name), c1.book.start_again(name)))
    c1.directory.note_born("r1", 2_000, c1.clock())
    c1.paces.apply_from_coordinator("c2", [PaceUpdate("r1", 55, born=1_000)])
    assert (steady(c1, "r1"), started) == (1.0, [])
    tell(c1, "r1", 0.55)
    c1.paces.apply_from_coordinator("c2", [PaceUpdate("r1", 120, age_ms=500, born=3_000)])
    assert (steady(c1, "r1"), started) == (1.2, ["r1"])


def test_own_figures_go_before_what_is_told():
    network, (c1, c2), _ = fleet()
    for _ in range(5):
        network.now += 0.3
        tell(c2, "r1", 1.2)
    c2.paces.apply_from_coordinator("c1", [PaceUpdate("r1", 55)])
    assert steady(c2, "r1") == 1.2


def test_a_belief_outlives_its_teller_and_its_moment_does_not():
    network, (c1, c2), _ = fleet()
    tell(c1, "r1", 0.55)
    network.now += 0.3
    tell(c1, "r1", 1.375)
    to_peer(c1, c2)
    assert c2.book.paces.pace("r1", network.now).momentary == pytest.approx(2.5)
    network.now += 60.0
    pace = c2.book.paces.pace("r1", network.now)
    assert (pace.steady, pace.momentary, pace.age_s) == (0.55, 1.0, pytest.approx(60.0))


def test_a_note_holds_a_bounded_number_and_the_next_one_goes_on():
    replicas = [ListedInstance(f"r{n}", SERVICE, "a", f"r{n}:1") for n in range(MAX_NOTES + 5)]
    c1 = alone(*replicas)
    for replica in replicas:
        tell(c1, replica.name, 1.2)
    first, second, third = (c1.paces.updates_for_peers() for _ in range(3))
    assert (len(first), len(second), len(third)) == (MAX_NOTES, 5, 0)
    assert len({note.replica for note in first + second}) == MAX_NOTES + 5
    assert len(encode(first[0])) < 20


def test_replicas_that_are_not_known_here_are_passed_over():
    c1 = alone()
    c1.paces.apply_from_member("m1", [PaceUpdate("r99", 55), PaceUpdate("r1", 55)])
    assert (c1.book.paces.count, steady(c1, "r1")) == (1, 0.55)


def test_figures_out_of_bounds_are_taken_into_them():
    c1 = alone()
    c1.paces.apply_from_member("m1", [PaceUpdate("r1", 10**9, 0, -100, -300, -5_000)])
    pace = c1.book.paces.pace("r1", c1.clock())
    assert (pace.steady, pace.slow_factor, pace.slow_share, pace.age_s) == (8.0, 1.0, 0.0, 0.0)


def test_memory_of_who_was_told_is_bounded():
    c1 = alone()
    for number in range(MAX_RECIPIENTS + 20):
        c1.paces.updates_for_member(f"m{number}")
    assert len(c1.paces._recipients) == MAX_RECIPIENTS


def test_notes_of_instances_that_know_no_paces_are_read():
    assert decode(encode(["c1", []]), LoadNote).paces == []
    assert decode(encode(["c1", []]), CoordinatorSnapshot).paces == []


@pytest.mark.parametrize("replicas,every_s", [(710, 1.0), (2000, 0.25)])
def test_news_is_told_soon_and_all_is_told_again_whatever_the_number_of_replicas(replicas, every_s):
    listed = [ListedInstance(f"r{n}", SERVICE, "a", f"r{n}:1") for n in range(replicas)]
    c1 = alone(*listed)
    for replica in listed:
        tell(c1, replica.name, 1.2)

    def notes() -> list[str]:
        c1.network.now += every_s
        return [note.replica for note in c1.paces.updates_for_member("m1")]

    first = [name for _ in range(replicas // MAX_NOTES + 1) for name in notes()]
    assert set(first) == {replica.name for replica in listed}
    for number in range(5):
        # Until all notes there were to begin with are told again, and between.
        for _ in range(int(0.8 * RESEND_INTERVAL_S / every_s)):
            notes()
        c1.book.paces.reset_replica(f"r{number}")
        tell(c1, f"r{number}", 2.4)
        assert f"r{number}" in notes()
    told: set[str] = set()
    for _ in range(replicas // MAX_NOTES + 1 + int(RESEND_INTERVAL_S / every_s)):
        told.update(notes())
    assert told == {replica.name for replica in listed}
