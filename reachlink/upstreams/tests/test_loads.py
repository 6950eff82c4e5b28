"""Decoding of reported loads with optional, unknown and unreadable fields."""

import pytest
from structlog.testing import capture_logs

from reachlink.upstreams import LoadDecoder, LoadSample
from reachlink.upstreams._loads import MAX_LOGGED_REPLICAS


@pytest.mark.parametrize(
    "text,expected",
    [
        ("3,1,8", LoadSample(3, 1, 8)),
        ("3,1,8,55", LoadSample(3, 1, 8, 0.55)),
        (" 3, 1 ,8 , 137.5 ", LoadSample(3, 1, 8, 1.375)),
        ("3,1,8,250,7", LoadSample(3, 1, 8, 2.5)),
        ("3,1,8,250,what comes next,9", LoadSample(3, 1, 8, 2.5)),
    ],
)
def test_optional_and_unknown_fields(text, expected):
    decoder = LoadDecoder()
    assert decoder.decode(text, "r1") == expected
    assert decoder.unreadable == 0


@pytest.mark.parametrize(
    "text,expected",
    [
        *((f"3,1,8,{pace}", LoadSample(3, 1, 8)) for pace in ("", "x", "nan", "inf", "-inf")),
        *((f"3,1,8,{pace}", LoadSample(3, 1, 8)) for pace in ("0", "-55", "1e9", "0.5", "9" * 400)),
        ("3,1,x,55", LoadSample(3, 1, 0)),
        ("3,-1,8,55", LoadSample(3, 0, 0)),
        ("3,1,\u00b2,55", LoadSample(3, 1, 0)),
        (f"3,1,{'9' * 400},55", LoadSample(3, 1, 0)),
        ("1,2", None),
        ("x,1,8,55", None),
        (",,,", None),
    ],
)
def test_unreadable_field_is_counted_and_fields_before_it_are_kept(text, expected):
    decoder = LoadDecoder()
    assert decoder.decode(text, "r1") == expected
    assert decoder.unreadable == 1


def test_missing_load_is_not_counted_as_unreadable():
    decoder = LoadDecoder()
    assert (decoder.decode(None, "r1"), decoder.decode("", "r1")) == (None, None)
    assert decoder.unreadable == 0


def test_log_lines_are_limited_per_replica():
    decoder = LoadDecoder()
    with capture_logs() as lines:
        for number in range(60):
            decoder.decode("3,1,8,none", f"r{number % 2}")
    assert [(line["event"], line["replica"]) for line in lines] == [
        ("load_unreadable", "r0"),
        ("load_unreadable", "r1"),
    ]
    assert decoder.unreadable == 60


def test_number_of_remembered_log_times_is_bounded():
    decoder = LoadDecoder()
    with capture_logs():
        for number in range(MAX_LOGGED_REPLICAS + 50):
            decoder.decode("none", f"r{number}")
    assert len(decoder._last_logged) == MAX_LOGGED_REPLICAS
