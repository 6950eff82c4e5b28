"""Which connections are closed when there is no room for all of them."""

import pytest

from reachlink.ingress import ConnectionPhase, ConnectionTable, IngressLimits
from reachlink.ingress._connection_table import CONNECTION_BYTES, MIN_IDLE_S, REQUEST_BYTES

MB = 1 << 20
LATER = MIN_IDLE_S


@pytest.fixture
def table() -> ConnectionTable:
    return ConnectionTable(IngressLimits(max_connections=4, connection_bytes=MB))


def test_connections_requests_and_what_arrived_count(table):
    table.add("a", 0.0)
    table.add("b", 0.0)
    assert table.used_bytes == 2 * CONNECTION_BYTES
    table.receive("a", 100, 0.0)
    assert table.used_bytes == 2 * CONNECTION_BYTES + 200
    table.begin("a", has_body=False, now=0.0)
    table.process("a", 0)
    assert table.used_bytes == 2 * CONNECTION_BYTES + REQUEST_BYTES
    table.rest("a", 0.0)
    table.remove("b")
    assert table.used_bytes == CONNECTION_BYTES
    table.remove("a")
    assert table.used_bytes == 0 and len(table) == 0


def test_too_many_connections_and_too_many_bytes_are_no_room(table):
    for name in "abcd":
        table.add(name, 0.0)
    assert not table.is_full
    table.add("e", 0.0)
    assert table.is_full
    table.remove("e")
    table.receive("a", MB, 0.0)
    assert table.is_full


def test_requests_are_refused_before_connections_are(table):
    table.add("a", 0.0)
    table.receive("a", int(0.46 * MB), 0.0)
    assert not table.admits_request and not table.is_full


def test_the_connection_of_least_use_goes_first(table):
    for name in ("head", "body", "fresh", "rested", "running", "ahead"):
        table.add(name, 0.0)
        if name != "fresh":
            table.receive(name, 1, 0.0)
        if name in ("rested", "running", "ahead"):
            table.begin(name, has_body=False, now=0.0)
            table.process(name, 0)
    table.begin("body", has_body=True, now=0.0)
    table.rest("rested", 0.0)
    table.receive("ahead", 1, 0.0)
    order = []
    while (found := table.least_useful(LATER)) is not None:
        order.append(found)
        table.remove(found)
    assert order == ["head", "body", "fresh", "rested", "ahead"]
    assert table.phase_of("running") is ConnectionPhase.RUNNING


def test_the_one_without_a_byte_for_longest_goes_first_and_none_that_has_just_sent(table):
    for name in ("a", "b"):
        table.add(name, 0.0)
        table.receive(name, 1, 0.0)
    table.receive("a", 1, 0.5)
    assert table.least_useful(LATER) == "b"
    table.remove("b")
    assert table.least_useful(LATER) is None


def test_a_head_is_late_however_often_a_byte_of_it_arrives(table):
    table.add("a", 0.0)
    for tenth in range(40):
        table.receive("a", 1, tenth / 10)
    assert table.late_heads(3.0, 3.0) == []
    assert table.late_heads(3.1, 3.0) == ["a"]
    table.begin("a", has_body=True, now=3.1)
    assert table.late_heads(9.0, 3.0) == []


def test_a_connection_that_is_closed_counts_no_more(table):
    table.add("a", 0.0)
    table.remove("a")
    table.receive("a", 5, 0.0)
    table.begin("a", has_body=True, now=0.0)
    table.body_ended("a", 0.0)
    table.process("a", 0)
    table.rest("a", 0.0)
    assert table.used_bytes == 0 and table.phase_of("a") is None
