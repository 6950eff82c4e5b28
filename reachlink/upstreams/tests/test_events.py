"""Splitting of a body into events."""

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
