"""Tells operators of beliefs in replicas' pace that have changed."""

from collections.abc import Callable
from typing import Any

from reachlink.kernel import steady_time
from reachlink.scheduling import PaceChange, PaceSource, differ_by_factor
from reachlink.telemetry import LogLines, get_logger

# By which factor what lasts must change to be logged.
LOGGED_FACTOR = 1.15
# Log lines a second at the most, some 150 B each; those beyond are counted in the next one.
LINES_PER_S = 20


class PaceLog:
    """Logs each change of what lasts at a replica, a few a second.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = steady_time) -> None:
        self._lines = LogLines(LINES_PER_S, clock)
        self._log: Any = get_logger()

    def note(self, change: PaceChange) -> None:
        """Log a change, if it is one of what lasts."""
        pace = change.pace
        if change.before is not None and not differ_by_factor(
            pace.steady, change.before, LOGGED_FACTOR
        ):
            return
        if not self._lines.admit():
            return
        self._log.info(
            "pace_changed",
            replica=change.replica,
            service=change.service,
            steady=round(pace.steady, 3),
            before=round(change.before, 3) if change.before is not None else None,
            moment=round(pace.momentary, 2),
            source=_word(change.source),
            age_ms=round(1000.0 * pace.age_s),
            unlogged=self._lines.skipped(),
        )


def _word(source: PaceSource) -> str:
    """Return whether a belief comes from the replica, from what was seen, or from a note."""
    own = (PaceSource.REPORTED, PaceSource.MEASURED)
    return source.value if source in own else "note"
