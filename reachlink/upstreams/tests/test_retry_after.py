"""How long a replica wants to be left alone, as its refusal says."""

import pytest

from reachlink.upstreams._retry_after import MAX_BACKOFF_S, requested_backoff_s

NOW = 1_000_000_000.0
DATE = "Sun, 09 Sep 2001 01:46:40 GMT"
LATER = "Sun, 09 Sep 2001 01:46:43 GMT"


def asked(text: str, status: int = 503, **headers: str) -> float | None:
    return requested_backoff_s(status, {"Retry-After": text, **headers}, NOW)


@pytest.mark.parametrize("text,wait_s", [("3", 3.0), (" 2.5 ", 2.5), ("0.25", 0.25)])
def test_seconds_and_their_fractions(text, wait_s):
    assert asked(text) == wait_s


@pytest.mark.parametrize("text", ["", "0", "-1", "-0.5"])
def test_no_time_is_no_backoff(text):
    assert asked(text) is None


def test_an_absurd_time_is_bounded():
    assert asked("1e300") == asked("86400") == MAX_BACKOFF_S


def test_a_date_counts_from_the_answers_own_clock():
    assert asked(LATER) == 3.0
    # That clock is two seconds ahead of the one here.
    assert asked(LATER, Date="Sun, 09 Sep 2001 01:46:42 GMT") == 1.0
    assert asked(DATE, Date=LATER) is None


@pytest.mark.parametrize("text", ["nan", "inf", "-inf", "soon", "Sun, 99 Sep 2001", "3 s"])
def test_what_cannot_be_read_says_so(text):
    with pytest.raises(ValueError):
        asked(text)


@pytest.mark.parametrize("status,wait_s", [(503, 3.0), (429, 3.0), (200, None), (500, None)])
def test_only_a_refusal_asks(status, wait_s):
    assert asked("3", status) == wait_s
