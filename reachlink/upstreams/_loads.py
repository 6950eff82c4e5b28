"""Decoding of the load that replicas report with their answers."""

import math
from collections import OrderedDict
from typing import Any

from reachlink.kernel import steady_time
from reachlink.telemetry import get_logger
from reachlink.upstreams._base import LoadSample

# Number of counts that every load starts with: running requests, waiting requests, slots.
COUNT_FIELDS = 3
# Longest field that is parsed, in characters.
MAX_FIELD_CHARACTERS = 12
# Nominal pace as sent in the field, in percent, and the bounds of a valid pace as multiples of
# the nominal pace.
NOMINAL_PACE_PERCENT = 100.0
MIN_PACE = 0.01
MAX_PACE = 100.0
# Shortest time between two log lines about the same replica, in seconds, and the number of
# replicas for which the time of the last one is kept.
LOG_INTERVAL_S = 30.0
MAX_LOGGED_REPLICAS = 1000
# Number of characters of an unreadable load that are logged.
MAX_LOGGED_CHARACTERS = 60


class LoadDecoder:
    """Decodes loads and counts those that are unreadable.

    A load is a comma-separated list: running requests, waiting requests, slots and,
    optionally, the pace in percent of the nominal pace. Further fields are ignored, so that
    fields can be added later. An unreadable field fails no request and does not affect the
    fields before it.
    """

    def __init__(self) -> None:
        self._unreadable_count = 0
        # Monotonic time in seconds of the last log line about each replica, oldest first.
        self._last_logged: OrderedDict[str, float] = OrderedDict()
        self._log: Any = get_logger()

    @property
    def unreadable(self) -> int:
        """Number of loads so far with a field that could not be parsed."""
        return self._unreadable_count

    def decode(self, text: str | None, replica: str) -> LoadSample | None:
        """Return the load in a header field.

        None if the field is missing, has fewer than three values or its first one is invalid.

        Parameters
        ----------
        text : str, optional
            Value of the header field; None if the answer does not have it.
        replica : str
            Name of the replica that sent the answer, for the log.
        """
        if not text:
            return None
        fields = [field.strip() for field in text.split(",")]
        counts = _parse_counts(fields[:COUNT_FIELDS])
        counts_valid = len(counts) == COUNT_FIELDS
        pace = (
            _parse_pace(fields[COUNT_FIELDS])
            if counts_valid and len(fields) > COUNT_FIELDS
            else None
        )
        if not counts_valid or (len(fields) > COUNT_FIELDS and pace is None):
            self._record_unreadable(text, replica)
        if not counts or len(fields) < COUNT_FIELDS:
            return None
        running, waiting, slots = (*counts, 0, 0)[:COUNT_FIELDS]
        return LoadSample(running, waiting, slots, pace)

    def _record_unreadable(self, text: str, replica: str) -> None:
        self._unreadable_count += 1
        now = steady_time()
        if now - self._last_logged.get(replica, float("-inf")) < LOG_INTERVAL_S:
            return
        self._last_logged[replica] = now
        self._last_logged.move_to_end(replica)
        if len(self._last_logged) > MAX_LOGGED_REPLICAS:
            self._last_logged.popitem(last=False)
        self._log.warning(
            "load_unreadable",
            replica=replica,
            load=text[:MAX_LOGGED_CHARACTERS],
            unreadable=self._unreadable_count,
        )


def _parse_counts(fields: list[str]) -> list[int]:
    """Return the values of the fields before the first that is not a count."""
    found: list[int] = []
    for field in fields:
        if not (field.isascii() and field.isdigit() and len(field) <= MAX_FIELD_CHARACTERS):
            break
        found.append(int(field))
    return found


def _parse_pace(field: str) -> float | None:
    """Return a pace as a multiple of the nominal pace; None if the field is not valid."""
    if len(field) > MAX_FIELD_CHARACTERS:
        return None
    try:
        pace = float(field) / NOMINAL_PACE_PERCENT
    except ValueError:
        return None
    if not math.isfinite(pace) or not MIN_PACE <= pace <= MAX_PACE:
        return None
    return pace
