"""Estimates of when leaving replicas are shut down.

A replica announces its shutdown in advance. The length of this shutdown notice varies. A
load report may contain the remaining time as of its creation. The usual length of a notice
and the usual age of a report are learned from observed shutdowns. This module does no input
or output.
"""

from dataclasses import dataclass

# Expected length of a shutdown notice before the first shutdown was observed, in seconds.
SHUTDOWN_NOTICE_S = 1.8
# Expected age of a report when it is read, before the first shutdown was observed, in seconds.
INITIAL_REPORT_AGE_S = 0.5
# Weight of the latest shutdown in the moving averages, from 0 to 1: about four shutdowns count.
AVERAGING_WEIGHT = 0.25
# Maximum deviation of a shutdown from its expected time, in seconds. Beyond it, the replica
# crashed or the connection to it failed, and nothing is learned.
MAX_DEVIATION_S = 1.0
# How long a leaving replica is remembered, in seconds.
RETENTION_S = 30.0


@dataclass(slots=True)
class _LeavingReplica:
    """One leaving replica; times are monotonic, in seconds.

    Attributes
    ----------
    found_at : float
        Time at which the replica was first found to be leaving.
    reported_shutdown_at : float, optional
        Time of its shutdown, as if its report had been created when it was read.
    is_gone : bool
        Whether the replica is gone and the estimates have been updated.
    """

    found_at: float
    reported_shutdown_at: float | None = None
    is_gone: bool = False


class ShutdownTimes:
    """Estimates when each leaving replica is shut down.

    Examples
    --------
    >>> times = ShutdownTimes()
    >>> times.note_leaving("r1", 100.0)
    >>> times.expected_at("r1")
    101.8
    >>> times.note_reported_time("r1", 100.6, leaves_in_s=1.7)
    >>> times.expected_at("r1")
    101.8
    >>> times.note_gone("r1", 101.6)
    >>> times.note_leaving("r2", 200.0)
    >>> round(times.expected_at("r2"), 3)
    201.75
    """

    def __init__(self) -> None:
        self._leaving: dict[str, _LeavingReplica] = {}
        self._notice_s = SHUTDOWN_NOTICE_S
        self._report_age_s = INITIAL_REPORT_AGE_S

    def note_leaving(self, name: str, now: float) -> None:
        """Record that a replica is leaving, unless that is known already."""
        if name in self._leaving:
            return
        self._leaving = {n: d for n, d in self._leaving.items() if now - d.found_at < RETENTION_S}
        self._leaving[name] = _LeavingReplica(now)

    def note_reported_time(self, name: str, read_at: float, leaves_in_s: float) -> None:
        """Record the remaining time in a report, which counts from the report's creation."""
        self.note_leaving(name, read_at)
        self._leaving[name].reported_shutdown_at = read_at + leaves_in_s

    def forget(self, name: str) -> None:
        """Forget the shutdown notice of a replica that has restarted."""
        self._leaving.pop(name, None)

    def has_reported_time(self, name: str) -> bool:
        """Return whether a report of the replica contained its shutdown time."""
        leaving = self._leaving.get(name)
        return leaving is not None and leaving.reported_shutdown_at is not None

    def expected_at(self, name: str) -> float | None:
        """Return the expected monotonic time in seconds of a shutdown; None if not leaving."""
        leaving = self._leaving.get(name)
        if leaving is None:
            return None
        if leaving.reported_shutdown_at is not None:
            return leaving.reported_shutdown_at - self._report_age_s
        return leaving.found_at + self._notice_s

    def note_gone(self, name: str, now: float) -> None:
        """Record that a replica is gone, and update the estimates with the time."""
        leaving = self._leaving.get(name)
        expected = self.expected_at(name)
        if leaving is None or leaving.is_gone or expected is None:
            return
        leaving.is_gone = True
        if abs(now - expected) > MAX_DEVIATION_S:
            return
        self._notice_s += AVERAGING_WEIGHT * (now - leaving.found_at - self._notice_s)
        if leaving.reported_shutdown_at is not None:
            self._report_age_s += AVERAGING_WEIGHT * (
                leaving.reported_shutdown_at - now - self._report_age_s
            )
