"""Estimates of when leaving replicas are shut down.

A replica announces its shutdown in advance. The length of this shutdown notice varies. A
load report may contain the remaining time as of its creation. The usual length of a notice
and the usual age of a report are learned from observed shutdowns. This module does no input
or output.
"""

from dataclasses import dataclass

# Expected length of a shutdown notice before the first shutdown was observed, in seconds.
NOTICE_S = 1.8
# Expected age of a report when it is read, before the first shutdown was observed, in seconds.
REPORT_AGE_S = 0.5
# Weight of the latest shutdown in the moving averages, from 0 to 1: about four shutdowns count.
NEWEST = 0.25
# Maximum deviation of a shutdown from its expected time, in seconds. Beyond it, the replica
# crashed or the connection to it failed, and nothing is learned.
PLAUSIBLE_S = 1.0
# How long a leaving replica is remembered, in seconds.
KEPT_S = 30.0


@dataclass(slots=True)
class _Departure:
    """One leaving replica; times are monotonic, in seconds.

    Attributes
    ----------
    noticed_at : float
        Time at which the replica was first found to be leaving.
    told_at : float, optional
        Time of its shutdown, as if its report had been created when it was read.
    gone : bool
        Whether the replica is gone and the estimates have been updated.
    """

    noticed_at: float
    told_at: float | None = None
    gone: bool = False


class Departures:
    """Estimates when each leaving replica is shut down.

    Examples
    --------
    >>> departures = Departures()
    >>> departures.notice("r1", 100.0)
    >>> departures.expected("r1")
    101.8
    >>> departures.report("r1", 100.6, leaves_in_s=1.7)
    >>> departures.expected("r1")
    101.8
    >>> departures.gone("r1", 101.6)
    >>> departures.notice("r2", 200.0)
    >>> round(departures.expected("r2"), 3)
    201.75
    """

    def __init__(self) -> None:
        self._known: dict[str, _Departure] = {}
        self._notice_s = NOTICE_S
        self._report_age_s = REPORT_AGE_S

    def notice(self, name: str, now: float) -> None:
        """Record that a replica is leaving, unless that is known already."""
        if name in self._known:
            return
        self._known = {n: d for n, d in self._known.items() if now - d.noticed_at < KEPT_S}
        self._known[name] = _Departure(now)

    def report(self, name: str, read_at: float, leaves_in_s: float) -> None:
        """Record the remaining time in a report, which counts from the report's creation."""
        self.notice(name, read_at)
        self._known[name].told_at = read_at + leaves_in_s

    def forget(self, name: str) -> None:
        """Forget the shutdown notice of a replica that has restarted."""
        self._known.pop(name, None)

    def told(self, name: str) -> bool:
        """Return whether a report of the replica contained its shutdown time."""
        departure = self._known.get(name)
        return departure is not None and departure.told_at is not None

    def expected(self, name: str) -> float | None:
        """Return the expected monotonic time in seconds of a shutdown; None if not leaving."""
        departure = self._known.get(name)
        if departure is None:
            return None
        if departure.told_at is not None:
            return departure.told_at - self._report_age_s
        return departure.noticed_at + self._notice_s

    def gone(self, name: str, now: float) -> None:
        """Record that a replica is gone, and update the estimates with the time."""
        departure = self._known.get(name)
        expected = self.expected(name)
        if departure is None or departure.gone or expected is None:
            return
        departure.gone = True
        if abs(now - expected) > PLAUSIBLE_S:
            return
        self._notice_s += NEWEST * (now - departure.noticed_at - self._notice_s)
        if departure.told_at is not None:
            self._report_age_s += NEWEST * (departure.told_at - now - self._report_age_s)
