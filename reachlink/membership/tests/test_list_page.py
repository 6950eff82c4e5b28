"""Tests of list pages: an unreadable entry must not hide the readable ones."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from reachlink.membership import ListedInstance, PageReader, PlatformUnavailableError

GOOD = b'{"name": "r1", "upstream": "chat", "availability_zone": "a", "address": "r1:1"}'


@pytest.mark.parametrize(
    "foreign",
    [b'{"name": "r2"}', GOOD.replace(b'"r1"', b"7"), b"null", b"[", b"\xff", b'{"name": "'],
)
def test_unreadable_entry_leaves_the_others_readable(foreign):
    check_others_are_read(foreign)


def check_others_are_read(foreign: bytes) -> None:
    """Check that the entries around some bytes are read, and nothing else."""
    other = GOOD.replace(b'"name": "r1"', b'"name": "r3"')
    raw = b'{"instances": [' + GOOD + b", " + foreign + b", " + other + b'], "next_token": "t"}'
    page = PageReader(ListedInstance).read(raw)
    assert [instance.name for instance in page.entries] == ["r1", "r3"]
    assert page.next_token == "t"


# Entries that other decoders take, or that none can descend into.
UNUSUAL = [
    b"NaN",
    b"-Infinity",
    rb'"\ud83d"',
    b'{"next_token": "other", "x": NaN}',
    b"[" * 2000 + b"]" * 2000,
    b'{"a":' * 2000 + b"1" + b"}" * 2000,
]


@pytest.mark.parametrize("value", UNUSUAL, ids=range(len(UNUSUAL)))
def test_entry_with_a_value_that_no_strict_decoder_reads_leaves_the_others_readable(value):
    check_others_are_read(GOOD[:-1].replace(b'"r1"', b'"r2"') + b', "more": ' + value + b"}")


def test_entry_with_bytes_that_are_no_text_leaves_the_others_readable():
    check_others_are_read(GOOD.replace(b'"a"', b'"\xed\xa0\xbd"'))


@pytest.mark.parametrize("value", [b"NaN", b"[" * 2000 + b"]" * 2000])
def test_entry_within_an_unreadable_one_is_not_used(value):
    inner = GOOD.replace(b'"name": "r1"', b'"name": "r2"')
    check_others_are_read(b'{"more": ' + value + b', "inner": ' + inner + b"}")


@given(st.binary(max_size=40) | st.text('{}[]":, \\u12aNtrue', max_size=40).map(str.encode))
@example(b'{"a": [1')
@example(b'{"')
def test_any_bytes_as_an_entry_leave_the_others_readable(foreign):
    check_others_are_read(foreign)


def test_entry_with_unknown_state_is_skipped():
    raw = b'{"instances": [' + GOOD[:-1] + b', "state": "resting"}]}'
    assert PageReader(ListedInstance).read(raw).entries == []


@pytest.mark.parametrize("raw", [b"", b"down for maintenance", b"[1, 2]"])
def test_unreadable_page_raises(raw):
    with pytest.raises(PlatformUnavailableError):
        PageReader(ListedInstance).read(raw)
