"""What is known of replicas is bounded by those that are there."""

from reachlink.requests import Flight, LoadNote, ReplicaBook, ReplicaShare, SharedLoad


def test_replicas_that_are_gone_are_forgotten_unless_they_carry_something():
    book = ReplicaBook()
    flight = Flight("id-1", 100)
    book.add("r1", flight)
    for name in ("r2", "r3"):
        book.state(name)
    state = book.state("r3")
    book.forget_gone({"r3"})
    assert book.carrying() == ["r1"]
    assert book.state("r3") is state
    book.remove("r1", flight)
    old = book.state("r1")
    book.forget_gone({"r3"})
    assert book.state("r1") is not old


def test_instances_that_are_silent_for_long_are_forgotten():
    load = SharedLoad()
    load.take(LoadNote("e1", [ReplicaShare("r1", 1, 100)]), 0.0)
    load.take(LoadNote("e2", []), 500.0)
    load.forget_silent(700.0)
    assert load.last_heard("e1") == float("-inf")
    assert load.last_heard("e2") == 500.0
