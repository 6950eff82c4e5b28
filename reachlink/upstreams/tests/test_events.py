"""Splitting of a body into events."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reachlink.upstreams import EventSplitter

BODY = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 30))


@given(st.lists(st.integers(1, len(BODY) - 1), max_size=40))
def test_events_do_not_depend_on_chunk_boundaries(cuts):
    splitter = EventSplitter()
    edges = [0, *sorted(set(cuts)), len(BODY)]
    events = [e for a, b in zip(edges, edges[1:], strict=False) for e in splitter.feed(BODY[a:b])]
    assert [e.number for e in events] == list(range(1, 30))
    assert b"".join(e.data for e in events) == BODY
    assert splitter.rest == b""


def test_event_without_id_has_number_minus_one():
    assert EventSplitter().feed(b"data: a\r\n\r\n")[0].number == -1


def test_too_large_event_raises_value_error():
    splitter = EventSplitter()
    with pytest.raises(ValueError, match="too large"):
        splitter.feed(b"x" * (300 << 10))


def feed_time_s(events: int) -> float:
    """Return the processor time in seconds that events without content take together."""
    data = b": a\n\n" * events
    times = []
    for _ in range(3):
        started_at = time.process_time()
        assert len(EventSplitter().feed(data)) == events
        times.append(time.process_time() - started_at)
    return min(times)


def test_many_small_events_do_not_hold_the_event_loop_for_the_square_of_their_number():
    assert feed_time_s(32_000) < 24 * feed_time_s(4_000)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"], ids=["lf", "crlf"])
def test_empty_lines_without_end_are_no_events_each(line_end):
    splitter = EventSplitter()
    first, *more = splitter.feed(b"id: 1" + line_end * (64 << 10))
    assert first.number == 1 and not more
    assert len(splitter.feed(line_end * (64 << 10) + b"id: 2" + line_end * 2)) <= 2


@given(st.lists(st.sampled_from([b"\n", b"\r\n", b"id: 1", b"data: a"]), max_size=30))
def test_no_byte_of_a_body_is_lost_whatever_ends_its_lines(parts):
    splitter = EventSplitter()
    events = [event for part in parts for event in splitter.feed(part)]
    assert b"".join(event.data for event in events) + splitter.rest == b"".join(parts)
