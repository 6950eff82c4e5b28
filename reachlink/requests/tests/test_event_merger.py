"""Streams that go on are told from those that only send."""

import pytest

from reachlink.requests._event_merger import MAX_IDLE_BYTES, EventMerger
from reachlink.upstreams import StreamEvent

FIRST = StreamEvent(1, b"id: 1\ndata: a\n\n")
REPEATED = StreamEvent(1, b"id: 1\ndata: %b\n\n" % (b"a" * 1000))
COMMENT = StreamEvent(-1, b": %b\n\n" % (b"a" * 1000))
UNNUMBERED = StreamEvent(-1, b"data: %b\n\n" % (b"a" * 1000))
MANY = MAX_IDLE_BYTES // 1000 + 1


@pytest.mark.parametrize("event", [REPEATED, COMMENT, UNNUMBERED])
def test_a_stream_without_a_new_event_is_given_up(event):
    merger = EventMerger()
    merger.merge([FIRST])
    with pytest.raises(ValueError, match="no new event"):
        merger.merge([event] * MANY)


def test_a_stream_that_begins_with_comments_without_end_is_given_up():
    with pytest.raises(ValueError, match="no new event"):
        EventMerger().merge([COMMENT] * MANY)


@pytest.mark.parametrize("event", [REPEATED, COMMENT])
def test_what_stands_between_new_events_does_not_add_up(event):
    merger = EventMerger()
    for number in range(1, 10):
        merger.merge([StreamEvent(number, b"id: %d\n\n" % number)])
        merger.merge([event] * (MANY // 2))
    assert merger.last_event_number == 9


def test_a_body_without_event_numbers_is_passed_on():
    merger = EventMerger()
    assert merger.merge([UNNUMBERED] * 4 * MANY) == UNNUMBERED.data * 4 * MANY
