"""Parsing of the backoff that a replica requests with ``Retry-After``."""

import pytest

from reachlink.upstreams._retry_after import MAX_BACKOFF_S, requested_backoff_s

NOW = 1_000_000_000.0
DATE = "Sun, 09 Sep 2001 01:46:40 GMT"
LATER = "Sun, 09 Sep 2001 01:46:43 GMT"


def parse(text: str, status: int = 503, **headers: str) -> float | None:
    return requested_backoff_s(status, {"Retry-After": text, **headers}, NOW)


@pytest.mark.parametrize("text,wait_s", [("3", 3.0), (" 2.5 ", 2.5), ("0.25", 0.25)])
def test_seconds_may_be_fractional(text, wait_s):
    assert parse(text) == wait_s


@pytest.mark.parametrize("text", ["", "0", "-1", "-0.5"])
def test_empty_or_non_positive_time_is_no_backoff(text):
    assert parse(text) is None


def test_backoff_is_bounded():
    assert parse("1e300") == parse("86400") == MAX_BACKOFF_S


def test_date_is_relative_to_the_date_of_the_answer():
    assert parse(LATER) == 3.0
    # The clock of the replica is two seconds ahead of the local clock.
    assert parse(LATER, Date="Sun, 09 Sep 2001 01:46:42 GMT") == 1.0
    assert parse(DATE, Date=LATER) is None


@pytest.mark.parametrize("text", ["nan", "inf", "-inf", "soon", "Sun, 99 Sep 2001", "3 s"])
def test_unreadable_field_raises_value_error(text):
    with pytest.raises(ValueError):
        parse(text)


@pytest.mark.parametrize("status,wait_s", [(503, 3.0), (429, 3.0), (200, None), (500, None)])
def test_only_statuses_429_and_503_request_a_backoff(status, wait_s):
    assert parse("3", status) == wait_s
