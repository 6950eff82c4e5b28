"""State of replicas and instances that are gone is dropped, so that memory stays bounded."""

from reachlink.requests import Allocation, LoadUpdate, PeerLoad, ReplicaTracker, ReplicaUsage


def test_gone_replicas_are_dropped_unless_they_have_allocations():
    book = ReplicaTracker()
    flight = Allocation("id-1", 100)
    book.add("r1", flight)
    for name in ("r2", "r3"):
        book.state(name)
    state = book.state("r3")
    book.forget_gone({"r3"})
    assert book.occupied_replicas() == ["r1"]
    assert book.state("r3") is state
    book.remove("r1", flight)
    old = book.state("r1")
    book.forget_gone({"r3"})
    assert book.state("r1") is not old


def test_instances_that_are_silent_for_long_are_dropped():
    load = PeerLoad()
    load.update(LoadUpdate("e1", [ReplicaUsage("r1", 1, 100)]), 0.0)
    load.update(LoadUpdate("e2", []), 500.0)
    load.forget_silent(700.0)
    assert load.last_heard("e1") == float("-inf")
    assert load.last_heard("e2") == 500.0
