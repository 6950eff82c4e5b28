"""Paces reach all instances, once, and with their real age."""

import asyncio

import pytest

from reachlink.coordination import CoordinatorSnapshot
from reachlink.coordination._pace_exchange import (
    MAX_PACES_PER_UPDATE,
    MAX_RECIPIENTS,
    RESEND_INTERVAL_S,
)
from reachlink.coordination.tests.world import REPLICAS, Instance, Network, make_fleet
from reachlink.membership import ListedInstance
from reachlink.messaging import decode, encode
from reachlink.requests import LoadUpdate
from reachlink.scheduling import PaceUpdate

SERVICE = "chat"


def report_pace(instance: Instance, replica: str, pace: float) -> None:
    instance.tracker.paces.record_reported(SERVICE, replica, pace, instance.clock())


def steady(instance: Instance, replica: str) -> float:
    return instance.tracker.paces.pace(replica, instance.clock()).steady


def send_to_peer(teller: Instance, listener: Instance) -> list[PaceUpdate]:
    """Encode, decode and apply the update of one coordinator to another."""
    note = LoadUpdate(teller.record.name, [], paces=teller.paces.updates_for_peers())
    note = decode(encode(note), LoadUpdate)
    listener.paces.apply_from_coordinator(note.instance, note.paces)
    return note.paces


def single_coordinator(*replicas: ListedInstance) -> Instance:
    instance = Instance(Network(), "c1")
    instance.directory.update(replicas or REPLICAS, instance.clock())
    return instance


def test_reported_pace_reaches_all_instances_with_its_age():
    async def scenario():
        network, (c1, c2), (m1, m2) = make_fleet()
        for member, coordinator in ((m1, c1), (m2, c2)):
            member.update_roster(coordinator)
            await member.poll_coordinator()
        report_pace(m1, "r1", 0.55)
        network.now += 1.0
        await m1.poll_coordinator()
        network.now += 1.0
        send_to_peer(c1, c2)
        network.now += 1.0
        await m2.poll_coordinator()
        return network, c1, c2, m1, m2

    network, *instances = asyncio.run(scenario())
    for instance in instances:
        pace = instance.tracker.paces.pace_if_reported(SERVICE, "r1", network.now)
        assert (pace.steady, pace.age_s) == (0.55, pytest.approx(3.0))
        assert instance.tracker.paces.is_reported(SERVICE)


def test_unchanged_pace_is_sent_once_and_not_to_its_sender():
    async def scenario():
        network, (c1,), (m1, m2) = make_fleet(coordinators=1)
        await m1.poll_coordinator()
        await m2.poll_coordinator()
        told = []
        for _ in range(5):
            report_pace(m1, "r1", 1.2)
            network.now += 0.1
            told.append(
                (len(c1.paces.updates_for_member("m2")), len(c1.paces.updates_for_member("m1")))
            )
            await m1.poll_coordinator()
        return told, c1.paces.updates_for_member("m2")

    told, later = asyncio.run(scenario())
    assert told == [(0, 0), (1, 0), (0, 0), (0, 0), (0, 0)]
    assert later == []


def test_coordinators_forward_only_paces_of_themselves_and_members():
    _, (c1, c2), _ = make_fleet()
    report_pace(c1, "r1", 0.55)
    assert [note.replica for note in send_to_peer(c1, c2)] == ["r1"]
    assert send_to_peer(c2, c1) == []
    assert [note.replica for note in c2.paces.updates_for_member("m1")] == ["r1"]


def test_changed_pace_is_sent_again():
    network, (c1, c2), _ = make_fleet()
    report_pace(c1, "r1", 0.55)
    send_to_peer(c1, c2)
    for _ in range(40):
        network.now += 0.3
        report_pace(c1, "r1", 1.2)
    send_to_peer(c1, c2)
    assert steady(c2, "r1") == 1.2


def test_pace_in_lost_update_is_sent_again():
    network, (c1, c2), _ = make_fleet()
    report_pace(c1, "r1", 0.55)
    c1.paces.updates_for_peers()
    assert send_to_peer(c1, c2) == []
    network.now += RESEND_INTERVAL_S
    send_to_peer(c1, c2)
    assert steady(c2, "r1") == 0.55


def test_newest_pace_is_kept_if_updates_arrive_out_of_order():
    network, (c1, c2), _ = make_fleet()
    for pace, age_ms in ((55, 1_000), (120, 5_000), (55, 1_000)):
        c2.paces.apply_from_coordinator("c1", [PaceUpdate("r1", pace, age_ms=age_ms)])
    assert steady(c2, "r1") == 0.55
    network.now += 3.0
    c2.paces.apply_from_coordinator("c3", [PaceUpdate("r1", 200, age_ms=9_000)])
    assert c2.tracker.paces.pace("r1", network.now).age_s == pytest.approx(4.0)


def test_pace_of_earlier_lifetime_is_ignored_and_of_new_lifetime_replaces_estimate():
    c1 = single_coordinator()
    started: list[str] = []
    c1.directory.set_restart_listener(
        lambda name: (started.append(name), c1.tracker.reset_replica(name))
    )
    c1.directory.record_start("r1", 2_000, c1.clock())
    c1.paces.apply_from_coordinator("c2", [PaceUpdate("r1", 55, born=1_000)])
    assert (steady(c1, "r1"), started) == (1.0, [])
    report_pace(c1, "r1", 0.55)
    c1.paces.apply_from_coordinator("c2", [PaceUpdate("r1", 120, age_ms=500, born=3_000)])
    assert (steady(c1, "r1"), started) == (1.2, ["r1"])


def test_own_measurements_take_precedence_over_updates():
    network, (c1, c2), _ = make_fleet()
    for _ in range(5):
        network.now += 0.3
        report_pace(c2, "r1", 1.2)
    c2.paces.apply_from_coordinator("c1", [PaceUpdate("r1", 55)])
    assert steady(c2, "r1") == 1.2


def test_steady_pace_of_peer_is_kept_and_momentary_pace_expires():
    network, (c1, c2), _ = make_fleet()
    report_pace(c1, "r1", 0.55)
    network.now += 0.3
    report_pace(c1, "r1", 1.375)
    send_to_peer(c1, c2)
    assert c2.tracker.paces.pace("r1", network.now).momentary == pytest.approx(2.5)
    network.now += 60.0
    pace = c2.tracker.paces.pace("r1", network.now)
    assert (pace.steady, pace.momentary, pace.age_s) == (0.55, 1.0, pytest.approx(60.0))


def test_update_has_bounded_number_of_paces_and_next_one_continues():
    replicas = [
        ListedInstance(f"r{n}", SERVICE, "a", f"r{n}:1") for n in range(MAX_PACES_PER_UPDATE + 5)
    ]
    c1 = single_coordinator(*replicas)
    for replica in replicas:
        report_pace(c1, replica.name, 1.2)
    first, second, third = (c1.paces.updates_for_peers() for _ in range(3))
    assert (len(first), len(second), len(third)) == (MAX_PACES_PER_UPDATE, 5, 0)
    assert len({note.replica for note in first + second}) == MAX_PACES_PER_UPDATE + 5
    assert len(encode(first[0])) < 20


def test_paces_of_unknown_replicas_are_ignored():
    c1 = single_coordinator()
    c1.paces.apply_from_member("m1", [PaceUpdate("r99", 55), PaceUpdate("r1", 55)])
    assert (c1.tracker.paces.count, steady(c1, "r1")) == (1, 0.55)


def test_values_out_of_range_are_clamped():
    c1 = single_coordinator()
    c1.paces.apply_from_member("m1", [PaceUpdate("r1", 10**9, 0, -100, -300, -5_000)])
    pace = c1.tracker.paces.pace("r1", c1.clock())
    assert (pace.steady, pace.slow_factor, pace.slow_share, pace.age_s) == (8.0, 1.0, 0.0, 0.0)


def test_number_of_kept_recipients_is_bounded():
    c1 = single_coordinator()
    for number in range(MAX_RECIPIENTS + 20):
        c1.paces.updates_for_member(f"m{number}")
    assert len(c1.paces._recipients) == MAX_RECIPIENTS


def test_updates_without_paces_are_decoded():
    assert decode(encode(["c1", []]), LoadUpdate).paces == []
    assert decode(encode(["c1", []]), CoordinatorSnapshot).paces == []


@pytest.mark.parametrize("replicas,every_s", [(710, 1.0), (2000, 0.25)])
def test_changes_are_sent_soon_and_all_paces_resent_for_any_number_of_replicas(replicas, every_s):
    listed = [ListedInstance(f"r{n}", SERVICE, "a", f"r{n}:1") for n in range(replicas)]
    c1 = single_coordinator(*listed)
    for replica in listed:
        report_pace(c1, replica.name, 1.2)

    def notes() -> list[str]:
        c1.network.now += every_s
        return [note.replica for note in c1.paces.updates_for_member("m1")]

    first = [name for _ in range(replicas // MAX_PACES_PER_UPDATE + 1) for name in notes()]
    assert set(first) == {replica.name for replica in listed}
    for number in range(5):
        # Changes while all paces are being sent again, and between two such resends.
        for _ in range(int(0.8 * RESEND_INTERVAL_S / every_s)):
            notes()
        c1.tracker.paces.reset_replica(f"r{number}")
        report_pace(c1, f"r{number}", 2.4)
        assert f"r{number}" in notes()
    told: set[str] = set()
    for _ in range(replicas // MAX_PACES_PER_UPDATE + 1 + int(RESEND_INTERVAL_S / every_s)):
        told.update(notes())
    assert told == {replica.name for replica in listed}
