"""A zone that hears nothing of the others is cut off, and serves what it can."""

import asyncio

import pytest

from reachlink.entry._isolation import SILENT_S, Isolation
from reachlink.membership import InstanceRecord
from reachlink.requests import LoadUpdate, PeerLoad, RequestFailedError
from reachlink.requests.tests.world import FakeAdapter, World, answering
from reachlink.routing import RequestKind

NEAR = InstanceRecord("e2", "10.0.0.2:1", "a")
FAR = InstanceRecord("e3", "10.0.0.3:1", "b")
FARTHER = InstanceRecord("e4", "10.0.0.4:1", "c")


def isolation(*peers: InstanceRecord) -> tuple[Isolation, PeerLoad]:
    peer_load = PeerLoad()
    made = Isolation("a", peer_load)
    made.take_peers(peers, 10.0)
    return made, peer_load


def test_a_zone_that_nobody_of_the_others_tells_anything_is_cut_off():
    made, peer_load = isolation(NEAR, FAR, FARTHER)
    peer_load.update(LoadUpdate("e3", []), 20.0)
    peer_load.update(LoadUpdate("e4", []), 20.5)
    peer_load.update(LoadUpdate("e2", []), 22.0)
    assert not made.cut_off(20.4 + SILENT_S)
    assert made.cut_off(20.6 + SILENT_S)
    peer_load.update(LoadUpdate("e3", []), 30.0)
    assert not made.cut_off(30.1)


def test_one_silent_zone_of_two_is_not_this_ones_fault():
    made, peer_load = isolation(FAR, FARTHER)
    peer_load.update(LoadUpdate("e3", []), 20.0)
    assert not made.cut_off(21.0)


def test_an_instance_has_time_to_be_heard_first():
    made, _ = isolation(FAR)
    assert not made.cut_off(10.0 + SILENT_S)
    # A new copy of the same roster does not begin that time again.
    made.take_peers([FAR], 11.0)
    assert made.cut_off(10.1 + SILENT_S)


def test_a_zone_of_which_nobody_is_heard_is_silent_while_the_others_are_not():
    made, peer_load = isolation(NEAR, FAR, FARTHER)
    peer_load.update(LoadUpdate("e3", []), 20.0)
    peer_load.update(LoadUpdate("e4", []), 25.0)
    assert made.silent_zones(25.0) == {"b"}
    assert not made.cut_off(25.0)


def test_a_zone_whose_replicas_answer_is_not_silent():
    made = Isolation("a", PeerLoad(), {"b": 24.0, "c": 0.0}.__getitem__)
    made.take_peers([FAR, FARTHER], 10.0)
    assert made.silent_zones(25.0) == {"c"}
    assert not made.cut_off(25.0)


def test_without_other_zones_nothing_is_cut_off():
    made, _ = isolation(NEAR)
    assert not made.cut_off(100.0)


def cut_off_world(zones: str) -> World:
    names = {f"m{i}": zone for i, zone in enumerate(zones.split(), 1)}
    world = World(names, FakeAdapter({name: [answering(200, b"")] for name in names}))
    world.runner._parts.cut_off = lambda: True
    return world


def test_a_cut_off_zone_uses_its_own_replicas():
    world = cut_off_world("b b a")
    for _ in range(5):
        asyncio.run(world.run(RequestKind.STREAM))
    assert {sent.replica for sent in world.adapter.sent} == {"m3"}
    assert not world.runner.is_service_unreachable("model")


def test_a_cut_off_zone_without_a_replica_refuses_at_once():
    world = cut_off_world("b b")
    assert world.runner.is_service_unreachable("model")
    with pytest.raises(RequestFailedError) as caught:
        # The wait for room would be longer than this.
        asyncio.run(asyncio.wait_for(world.run(RequestKind.STREAM, objective_s=100.0), 5.0))
    assert caught.value.status == 503
    assert caught.value.retry_after_s is not None and caught.value.retry_after_s >= 1.0
    assert world.adapter.sent == []


def test_a_roster_of_a_cut_off_control_instance_joins_nothing():
    """Found in logs: zones were taken for joined 2.5 s into a cut of 6.5 s.

    The control instance in this zone forgets the instances that no longer ask it.
    """
    made, peer_load = isolation(NEAR, FAR)
    peer_load.update(LoadUpdate("e3", []), 20.0)
    assert made.cut_off(22.0)
    made.take_peers([NEAR], 22.5)
    assert made.cut_off(23.0)
    peer_load.update(LoadUpdate("e3", []), 30.0)
    assert not made.cut_off(30.1)
    made.take_peers([NEAR], 30.2)
    assert not made.cut_off(60.0)


def test_a_silent_zone_gets_no_request():
    names = {"m1": "b", "m2": "c"}
    made = World(names, FakeAdapter({name: [answering(200, b"")] for name in names}))
    made.runner._parts.silent_zones = lambda: {"b"}
    for _ in range(5):
        asyncio.run(made.run(RequestKind.STREAM))
    assert {sent.replica for sent in made.adapter.sent} == {"m2"}
