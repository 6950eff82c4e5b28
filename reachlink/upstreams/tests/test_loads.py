"""The load that replicas tell: any number of figures, and what cannot be read."""

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
def test_any_number_of_figures(text, expected):
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
def test_what_cannot_be_read_is_counted_and_takes_nothing_from_what_can(text, expected):
    decoder = LoadDecoder()
    assert decoder.decode(text, "r1") == expected
    assert decoder.unreadable == 1


def test_an_answer_without_a_load_is_no_fault():
    decoder = LoadDecoder()
    assert (decoder.decode(None, "r1"), decoder.decode("", "r1")) == (None, None)
    assert decoder.unreadable == 0


def test_each_replica_is_logged_once_in_a_while():
    decoder = LoadDecoder()
    with capture_logs() as lines:
        for number in range(60):
            decoder.decode("3,1,8,none", f"r{number % 2}")
    assert [(line["event"], line["replica"]) for line in lines] == [
        ("load_unreadable", "r0"),
        ("load_unreadable", "r1"),
    ]
    assert decoder.unreadable == 60


def test_memory_of_what_was_logged_is_bounded():
    decoder = LoadDecoder()
    with capture_logs():
        for number in range(MAX_LOGGED_REPLICAS + 50):
            decoder.decode("none", f"r{number}")
    assert len(decoder._last_logged) == MAX_LOGGED_REPLICAS
