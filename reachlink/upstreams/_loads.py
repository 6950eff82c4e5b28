"""The load that replicas tell along with their answers."""

import math
from collections import OrderedDict
from typing import Any

from reachlink.kernel import steady_time
from reachlink.telemetry import get_logger
from reachlink.upstreams._base import LoadSample

# Figures that every load has: requests running, requests waiting, slots.
COUNT_FIELDS = 3
# Longest field that is read, in characters.
MAX_FIELD_CHARACTERS = 12
# The usual pace, in the field's terms, and what is no pace at all, as multiples of it.
NOMINAL_PACE_PERCENT = 100.0
MIN_PACE = 0.01
MAX_PACE = 100.0
# Shortest time between two log lines of one replica, in seconds, and the replicas that
# are remembered for that.
LOG_INTERVAL_S = 30.0
MAX_LOGGED_REPLICAS = 1000
# Characters of an unreadable load that are logged.
MAX_LOGGED_CHARACTERS = 60


class LoadDecoder:
    """Decodes loads, and keeps account of those that cannot be read.

    A load is fields with commas between: requests running, requests waiting, slots, the
    pace in percent of the usual, and what may come to be told later.
    What cannot be read fails no request, and takes nothing from the fields before it.
    """

    def __init__(self) -> None:
        self._unreadable_count = 0
        # When each replica was logged last, in monotonic seconds; the oldest goes first.
        self._last_logged: OrderedDict[str, float] = OrderedDict()
        self._log: Any = get_logger()

    @property
    def unreadable(self) -> int:
        """Loads so far with a field that could not be read."""
        return self._unreadable_count

    def decode(self, text: str | None, replica: str) -> LoadSample | None:
        """Return the load that a field tells; None where it tells none.

        Parameters
        ----------
        text : str, optional
            Content of the field; None where the answer has none.
        replica : str
            Who tells it.
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
    """Return the fields up to the first that is no count."""
    found: list[int] = []
    for field in fields:
        if not (field.isascii() and field.isdigit() and len(field) <= MAX_FIELD_CHARACTERS):
            break
        found.append(int(field))
    return found


def _parse_pace(field: str) -> float | None:
    """Return a pace as a multiple of the usual; None where it cannot be one."""
    if len(field) > MAX_FIELD_CHARACTERS:
        return None
    try:
        pace = float(field) / NOMINAL_PACE_PERCENT
    except ValueError:
        return None
    if not math.isfinite(pace) or not MIN_PACE <= pace <= MAX_PACE:
        return None
    return pace
