"""State of replicas and instances that are gone is dropped, so that memory stays bounded."""

from reachlink.requests import Allocation, LoadUpdate, PeerLoad, ReplicaTracker, ReplicaUsage


def test_gone_replicas_are_dropped_unless_they_have_allocations():
    tracker = ReplicaTracker()
    allocation = Allocation("id-1", 100)
    tracker.add("r1", allocation)
    for name in ("r2", "r3"):
        tracker.state(name)
    state = tracker.state("r3")
    tracker.forget_gone({"r3"})
    assert tracker.occupied_replicas() == ["r1"]
    assert tracker.state("r3") is state
    tracker.remove("r1", allocation)
    old = tracker.state("r1")
    tracker.forget_gone({"r3"})
    assert tracker.state("r1") is not old


def test_instances_that_are_silent_for_long_are_dropped():
    load = PeerLoad()
    load.update(LoadUpdate("e1", [ReplicaUsage("r1", 1, 100)]), 0.0)
    load.update(LoadUpdate("e2", []), 500.0)
    load.forget_silent(700.0)
    assert load.last_heard("e1") == float("-inf")
    assert load.last_heard("e2") == 500.0
