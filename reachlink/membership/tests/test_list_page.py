"""Tests of list pages: an unreadable entry must not hide the readable ones."""

import pytest

from reachlink.membership import ListedInstance, PageReader, PlatformUnavailableError

GOOD = b'{"name": "r1", "upstream": "chat", "availability_zone": "a", "address": "r1:1"}'


@pytest.mark.parametrize(
    "foreign",
    [b'{"name": "r2"}', GOOD.replace(b'"r1"', b"7"), b"null", b"[", b"\xff", b'{"name": "'],
)
def test_unreadable_entry_leaves_the_others_readable(foreign):
    other = GOOD.replace(b'"name": "r1"', b'"name": "r3"')
    raw = b'{"instances": [' + GOOD + b", " + foreign + b", " + other + b'], "next_token": "t"}'
    page = PageReader(ListedInstance).read(raw)
    assert [instance.name for instance in page.entries] == ["r1", "r3"]
    assert page.next_token == "t"


def test_entry_with_unknown_state_is_skipped():
    raw = b'{"instances": [' + GOOD[:-1] + b', "state": "resting"}]}'
    assert PageReader(ListedInstance).read(raw).entries == []


@pytest.mark.parametrize("raw", [b"", b"down for maintenance", b"[1, 2]"])
def test_unreadable_page_raises(raw):
    with pytest.raises(PlatformUnavailableError):
        PageReader(ListedInstance).read(raw)
