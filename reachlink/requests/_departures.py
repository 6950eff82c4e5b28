"""When the replicas that leave will be gone; pure.

A replica that leaves gives a notice first. How long the notice is differs, and a
report may tell the time that is left, as of when the report was made. Both the
usual notice and the age of a report are learned from the departures seen.
"""

from dataclasses import dataclass

# Expected length of a notice before there was one, in seconds.
NOTICE_S = 1.8
# Expected age of a report when it is read, before it was learned, in seconds.
REPORT_AGE_S = 0.5
# Weight from 0 to 1 of the newest departure in what is learned: some four count.
NEWEST = 0.25
# A departure further than this from what was expected is none, in seconds: the
# replica crashed, or the connection to it was cut.
PLAUSIBLE_S = 1.0
# How long a departure is remembered, in seconds.
KEPT_S = 30.0


@dataclass(slots=True)
class _Departure:
    """One replica that leaves; times are monotonic, in seconds.

    Attributes
    ----------
    noticed_at : float
        When it was found to leave.
    told_at : float, optional
        When it will be gone, counted from the moment its report was read.
    gone : bool
        Whether it is gone, and what was learned from it.
    """

    noticed_at: float
    told_at: float | None = None
    gone: bool = False


class Departures:
    """Estimates when each leaving replica will be gone.

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
        """Note that a replica leaves, where that is news."""
        if name in self._known:
            return
        self._known = {n: d for n, d in self._known.items() if now - d.noticed_at < KEPT_S}
        self._known[name] = _Departure(now)

    def report(self, name: str, read_at: float, leaves_in_s: float) -> None:
        """Note the time left that a report told, as of when the report was made."""
        self.notice(name, read_at)
        self._known[name].told_at = read_at + leaves_in_s

    def forget(self, name: str) -> None:
        """Forget the departure of a replica that has started again."""
        self._known.pop(name, None)

    def told(self, name: str) -> bool:
        """Return whether a report has told when a replica will be gone."""
        departure = self._known.get(name)
        return departure is not None and departure.told_at is not None

    def expected(self, name: str) -> float | None:
        """Return when a replica will be gone, in monotonic seconds; None where it stays."""
        departure = self._known.get(name)
        if departure is None:
            return None
        if departure.told_at is not None:
            return departure.told_at - self._report_age_s
        return departure.noticed_at + self._notice_s

    def gone(self, name: str, now: float) -> None:
        """Note that a replica is gone, and learn from when."""
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
