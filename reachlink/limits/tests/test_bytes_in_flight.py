"""Request bytes in flight from one instance to a replica are bounded, except for short requests."""

from reachlink.limits import MAX_SHORT_BYTES, BytesInFlight

MB = 1 << 20
LONG = 3 * MB


def test_no_long_request_to_a_replica_at_its_share():
    sent = BytesInFlight(capacity=8 * MB, min_share=MB)
    sent.add("r1", LONG)
    sent.add("r1", LONG)
    sent.add("r2", LONG)
    assert sent.replicas_without_room(LONG, instances=1) == {"r1"}
    assert sent.replicas_without_room(MAX_SHORT_BYTES, instances=1) == frozenset()
    sent.remove("r1", LONG)
    assert sent.replicas_without_room(LONG, instances=1) == frozenset()


def test_replica_without_requests_accepts_any_size():
    sent = BytesInFlight(capacity=MB, min_share=MB)
    assert sent.replicas_without_room(LONG, instances=4) == frozenset()
    sent.add("r1", LONG)
    sent.remove("r1", LONG)
    assert sent.bytes_at("r1") == 0 and sent.replicas_without_room(LONG, instances=4) == frozenset()


def test_share_decreases_with_the_number_of_instances_to_a_minimum():
    sent = BytesInFlight(capacity=12 * MB, min_share=2 * MB)
    sent.add("r1", LONG)
    assert sent.replicas_without_room(LONG, instances=2) == frozenset()
    assert sent.replicas_without_room(LONG, instances=4) == {"r1"}
    sent.remove("r1", LONG)
    sent.add("r1", MB)
    assert sent.replicas_without_room(MB, instances=1000) == frozenset()
