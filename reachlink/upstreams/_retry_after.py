"""What a replica's refusal says of when to come back; pure."""

import math
from collections.abc import Mapping
from email.utils import parsedate_to_datetime

# Statuses whose `Retry-After` asks for a backoff: turned away for load (RFC 6585, section 4)
# and for the time being (RFC 9110, section 15.6.4).
BACKOFF_STATUSES = frozenset({429, 503})
# Longest backoff that is kept to, in seconds: longer than any that a sound replica needs. A
# number that is wrong by orders of magnitude takes its replica out for an hour.
MAX_BACKOFF_S = 3600.0


def requested_backoff_s(status: int, headers: Mapping[str, str], wall_s: float) -> float | None:
    """Return for how long a replica wants nothing more, as its answer says.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    headers : mapping of str to str
        Its header fields, by names in any case.
    wall_s : float
        Seconds since 1970-01-01 UTC here, for a date in an answer that names no time
        of its own.

    Returns
    -------
    float or None
        Seconds, above 0 and bounded; None where it asks for none.

    Raises
    ------
    ValueError
        If the field can be read neither as seconds nor as a date.
    """
    text = headers.get("Retry-After", "").strip()
    if status not in BACKOFF_STATUSES or not text:
        return None
    requested_s = _parse_seconds(text)
    if requested_s is None:
        requested_s = _parse_date(text) - _response_time(headers, wall_s)
    return min(requested_s, MAX_BACKOFF_S) if requested_s > 0.0 else None


def _parse_seconds(text: str) -> float | None:
    """Return a finite number of seconds, fractions too; None for what is no number.

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
    """Return when an answer was given, by its own clock where it tells, in seconds since 1970.

    The difference of two times of one clock holds however wrong that clock is.
    """
    date = headers.get("Date", "")
    return _parse_date(date) if date else wall_s


def _parse_date(text: str) -> float:
    """Return a date of RFC 9110, section 5.6.7, in seconds since 1970-01-01 UTC."""
    try:
        return parsedate_to_datetime(text).timestamp()
    except (TypeError, OverflowError) as error:
        raise ValueError(f"no date: {text}") from error
