"""Parsing of the backoff that a replica requests with a refusal; pure."""

import math
from collections.abc import Mapping
from email.utils import parsedate_to_datetime

# Statuses whose `Retry-After` field requests a backoff: 429 Too Many Requests (RFC 6585,
# section 4) and 503 Service Unavailable (RFC 9110, section 15.6.4).
BACKOFF_STATUSES = frozenset({429, 503})
# Upper bound on a requested backoff in seconds, longer than any that a working replica needs.
# A number that is wrong by orders of magnitude takes its replica out of use for an hour only.
MAX_BACKOFF_S = 3600.0


def requested_backoff_s(status: int, headers: Mapping[str, str], wall_s: float) -> float | None:
    """Return the backoff that a replica requests with an answer.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    headers : mapping of str to str
        Header fields of the answer, with case-insensitive names.
    wall_s : float
        Local time in seconds since 1970-01-01 UTC. It is the start of the backoff if the
        ``Retry-After`` field has a date and the answer has no ``Date`` field.

    Returns
    -------
    float or None
        Backoff in seconds, above 0 and at most `MAX_BACKOFF_S`; None if none is requested.

    Raises
    ------
    ValueError
        If the field is neither a finite number of seconds nor a date.
    """
    text = headers.get("Retry-After", "").strip()
    if status not in BACKOFF_STATUSES or not text:
        return None
    requested_s = _parse_seconds(text)
    if requested_s is None:
        requested_s = _parse_date(text) - _response_time(headers, wall_s)
    return min(requested_s, MAX_BACKOFF_S) if requested_s > 0.0 else None


def _parse_seconds(text: str) -> float | None:
    """Return a finite, possibly fractional number of seconds; None if the text is no number.

    Raises
    ------
    ValueError
        If the number is not finite.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds):
        raise ValueError(f"not finite: {text}")
    return seconds


def _response_time(headers: Mapping[str, str], wall_s: float) -> float:
    """Return the time of an answer in seconds since 1970-01-01 UTC.

    It is taken from the ``Date`` field if there is one: the difference between two times of
    the replica's clock is correct even if that clock is wrong.
    """
    date = headers.get("Date", "")
    return _parse_date(date) if date else wall_s


def _parse_date(text: str) -> float:
    """Return an HTTP date (RFC 9110, section 5.6.7) in seconds since 1970-01-01 UTC."""
    try:
        return parsedate_to_datetime(text).timestamp()
    except (TypeError, OverflowError) as error:
        raise ValueError(f"not an HTTP date: {text}") from error
