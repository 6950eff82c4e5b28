"""Estimates of the pace of all replicas; free of I/O and clocks."""

import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from enum import Enum
from statistics import median

from reachlink.scheduling._pace import USUAL, Pace
from reachlink.scheduling._paces import (
    MOST,
    PRIOR_BAD_SHARE,
    PRIOR_MOMENTS,
    PRIOR_WORST,
    HeardPace,
    Kin,
    PaceBelief,
)

# Maximum number of replicas, at some 2 KB each: well above the 710 of the largest fleet.
MAX_REPLICAS = 2000
# Interval between updates of the estimate for all replicas of a service, in seconds.
KIN_S = 1.0
# Lifetime of a cached pace, in seconds: slow phases last half a second, and a decision reads
# the paces of some hundred replicas.
GIVEN_AGAIN_S = 0.02
# Minimum factor between the paces of two kinds of machines that are distinguished.
KIND_STEP = 1.03
# Weight of the prior, in windows of all replicas of a service: half a minute of one
# instance's traffic.
KIN_LOOKS = 100.0
# Factors by which the steady pace, or the slow phases, must change to be published.
NEWS_FACTOR = 1.15
WORST_NEWS_FACTOR = 1.5
# Difference by which the share of slow phases must change to be published.
NEWS_SHARE = 0.15
# Maximum number of services; it suffices for each replica to be of another service.
MAX_SERVICES = MAX_REPLICAS
# Maximum number of kinds of calls whose typical duration is tracked.
MAX_CALLS = 500
# Weight of each new call in the moving average of its kind's duration.
CALL_SHARE = 0.05
# Maximum deviation from that average with which a call counts, as a logarithm: a single
# extremely long call would make all others look fast.
MOST_APART = math.log(MOST)


class PaceSource(Enum):
    """Source of an estimate: the replica's reports, measurements here, or another instance."""

    TOLD = "told"
    SEEN = "seen"
    MEMBER = "member"
    COORDINATOR = "coordinator"


@dataclass(slots=True, frozen=True)
class PaceChange:
    """Significant change of an estimate.

    Attributes
    ----------
    replica, service : str
        Name of the replica, and the service that it belongs to.
    pace : Pace
        Present estimate.
    before : float, optional
        Steady pace published before; None if there was none.
    source : PaceSource
        Source of the change.
    """

    replica: str
    service: str
    pace: Pace
    before: float | None
    source: PaceSource


@dataclass(slots=True)
class _Entry:
    """State of one replica in one lifetime."""

    service: str
    belief: PaceBelief
    # Pace published last, the number of that change, its source, and the instance it came from.
    told: Pace = USUAL
    number: int = 0
    source: PaceSource = PaceSource.TOLD
    teller: str = ""
    # Cached pace, and the monotonic time at which it expires, in seconds.
    given: Pace = USUAL
    given_until: float = float("-inf")

    def pace(self, now: float) -> Pace:
        """Return the estimate, at most `GIVEN_AGAIN_S` old."""
        if now >= self.given_until:
            self.given, self.given_until = self.belief.pace(now), now + GIVEN_AGAIN_S
        return self.given


@dataclass(slots=True)
class _Service:
    """Estimate for all replicas of one service."""

    kin: Kin = Kin()
    looked_at: float = float("-inf")
    told: bool = False


class PaceBook:
    """Estimates of the pace of all replicas by name.

    Parameters
    ----------
    on : bool
        Whether paces are used; if not, nothing is recorded.

    Examples
    --------
    >>> book = PaceBook()
    >>> book.note_told("chat", "r1", 0.5, now=1.0)
    >>> book.pace("r1", now=1.0).steady, book.pace("r2", now=1.0).steady
    (0.5, 1.0)
    >>> book.is_told("chat"), book.is_told("app")
    (True, False)
    """

    def __init__(self, on: bool = True) -> None:
        self._on = on
        self._entries: dict[str, _Entry] = {}
        self._services: dict[str, _Service] = {}
        # Logarithm of the typical duration of each kind of calls, in seconds.
        self._calls: dict[tuple[str, str], float] = {}
        self._number = 0
        self._listeners: list[Callable[[PaceChange], None]] = []

    @property
    def is_on(self) -> bool:
        """Whether paces are recorded."""
        return self._on

    @property
    def count(self) -> int:
        """Number of replicas with an estimate."""
        return len(self._entries)

    def is_told(self, service: str) -> bool:
        """Return whether a replica of a service has reported a pace, here or elsewhere."""
        found = self._services.get(service)
        return found is not None and found.told

    def listen(self, listener: Callable[[PaceChange], None]) -> None:
        """Register a listener, which is called with each significant change."""
        self._listeners.append(listener)

    def pace(self, replica: str, now: float) -> Pace:
        """Return the estimate of a replica's pace at a monotonic time in seconds."""
        entry = self._entries.get(replica)
        return USUAL if entry is None else entry.pace(now)

    def pace_in(self, service: str, replica: str, now: float) -> Pace | None:
        """Return the estimate, or None if the replicas of the service report no pace."""
        entry = self._entries.get(replica)
        if entry is not None:
            return entry.pace(now)
        return USUAL if self.is_told(service) else None

    def note_told(self, service: str, replica: str, pace: float, now: float) -> None:
        """Record a pace that a replica reported.

        Parameters
        ----------
        service, replica : str
            Service of the replica, and its name.
        pace : float
            Duration of work there, as a multiple of the nominal one.
        now : float
            Monotonic time in seconds.
        """
        if not self._on:
            return
        self._service(service).told = True
        entry = self._entry(service, replica, now)
        entry.belief.note_told(pace, now)
        self._look(replica, entry, PaceSource.TOLD, now)

    def note_seen(
        self, service: str, replica: str, ratio: float, now: float, rough: bool = False
    ) -> None:
        """Record a measured duration of work, as a multiple of the expected one.

        Parameters
        ----------
        service, replica : str
            Service of the replica, and its name.
        ratio : float
            Measured duration divided by the expected one.
        now : float
            Monotonic time in seconds.
        rough : bool
            Whether durations of such work vary by more than paces do.
        """
        if not self._on or not self.is_told(service) or not 0.0 < ratio < math.inf:
            return
        entry = self._entry(service, replica, now)
        entry.belief.note_seen(ratio, now, rough)
        self._look(replica, entry, PaceSource.SEEN, now)

    def note_call(self, service: str, kind: str, replica: str, took_s: float, now: float) -> None:
        """Record the duration of a call relative to other calls of its kind.

        Parameters
        ----------
        service : str
            Service of the replica.
        kind : str
            Kind of the call; calls of one kind take similar times.
        replica : str
            Replica that answered it.
        took_s : float
            Time from its dispatch to the end of its answer, in seconds.
        now : float
            Monotonic time in seconds.
        """
        if not self._on or not self.is_told(service) or took_s <= 0.0:
            return
        key, took = (service, kind), math.log(took_s)
        if key not in self._calls and len(self._calls) >= MAX_CALLS:
            self._calls.pop(next(iter(self._calls)))
        usual = self._calls.get(key, took)
        apart_by = min(MOST_APART, max(-MOST_APART, took - usual))
        self._calls[key] = usual + CALL_SHARE * apart_by
        self.note_seen(service, replica, math.exp(took - usual), now, rough=True)

    def observed(self, replica: str, now: float) -> Pace:
        """Return the estimate without decay of `Pace.moment`, to be sent to other instances."""
        entry = self._entries.get(replica)
        return USUAL if entry is None else entry.belief.observed(now)

    def hear(
        self,
        service: str,
        replica: str,
        heard: HeardPace,
        source: PaceSource,
        teller: str,
        now: float,
    ) -> None:
        """Record another instance's estimate of a replica in its present lifetime.

        Parameters
        ----------
        service, replica : str
            Service of the replica, and its name.
        heard : HeardPace
            Estimate of the other instance.
        source : PaceSource
            Role of the other instance towards this one.
        teller : str
            Name of the other instance.
        now : float
            Monotonic time in seconds.
        """
        if not self._on:
            return
        self._service(service).told = True
        entry = self._entry(service, replica, now)
        if entry.belief.hear(heard):
            self._look(replica, entry, source, now, teller)

    def start_again(self, replica: str) -> None:
        """Discard the estimate of a replica that was restarted."""
        self._entries.pop(replica, None)

    def forget_gone(self, known: Container[str]) -> None:
        """Drop the estimates of all replicas but the known ones."""
        for name in [n for n in self._entries if n not in known]:
            del self._entries[name]

    def changed_since(
        self, number: int, sources: Iterable[PaceSource], most: int, without: str = ""
    ) -> tuple[int, list[str]]:
        """Return the replicas whose estimates changed, the oldest change first.

        Parameters
        ----------
        number : int
            Number of the last change that was returned before; 0 for none.
        sources : iterable of PaceSource
            Sources of the changes that are returned.
        most : int
            Maximum number of replicas that are returned.
        without : str
            Instance whose changes are left out; empty for none.

        Returns
        -------
        int
            Number of the last change that is covered, for the next call.
        list of str
            Names of the replicas.
        """
        wanted = frozenset(sources)
        if number == self._number:
            return number, []
        told = sorted(
            (entry.number, name)
            for name, entry in self._entries.items()
            if entry.number > number
            and entry.source in wanted
            and not (without and entry.teller == without)
        )
        if len(told) > most:
            return told[most - 1][0], [name for _, name in told[:most]]
        return self._number, [name for _, name in told]

    def steadies(self) -> dict[str, list[float]]:
        """Return the steady paces of the replicas of each service that reports paces."""
        found: dict[str, list[float]] = {}
        for entry in self._entries.values():
            found.setdefault(entry.service, []).append(entry.belief.steady)
        return found

    def _service(self, name: str) -> _Service:
        found = self._services.get(name)
        if found is None:
            if len(self._services) >= MAX_SERVICES:
                self._forget_services()
            found = self._services[name] = _Service()
        return found

    def _forget_services(self) -> None:
        """Drop the services without replicas or, if there are none, the oldest one."""
        served = {entry.service for entry in self._entries.values()}
        oldest = next(iter(self._services))
        self._services = {name: s for name, s in self._services.items() if name in served}
        if len(self._services) >= MAX_SERVICES:
            del self._services[oldest]

    def _entry(self, service: str, replica: str, now: float) -> _Entry:
        found = self._entries.get(replica)
        if found is None:
            if len(self._entries) >= MAX_REPLICAS:
                del self._entries[next(iter(self._entries))]
            kin = self._kin(service, now, new=True)
            found = self._entries[replica] = _Entry(service, PaceBelief(kin))
        else:
            found.belief.take_kin(self._kin(service, now))
        return found

    def _kin(self, service: str, now: float, new: bool = False) -> Kin:
        """Return the estimate for all replicas of a service, updated at intervals."""
        shown = self._service(service)
        if new or now - shown.looked_at >= KIN_S:
            beliefs = [e.belief for e in self._entries.values() if e.service == service]
            shown.kin, shown.looked_at = _together(beliefs, shown.kin), now
        return shown.kin

    def _look(
        self, replica: str, entry: _Entry, source: PaceSource, now: float, teller: str = ""
    ) -> None:
        """Publish the estimate of a replica if it has changed significantly."""
        belief, told = entry.belief, entry.told
        entry.given_until = now
        new = not entry.number
        if not new and not _is_news(belief, told):
            return
        self._number += 1
        entry.number, entry.source, entry.teller = self._number, source, teller
        entry.told = belief.pace(now)
        before = None if new else told.steady
        change = PaceChange(replica, entry.service, entry.told, before, source)
        for listener in self._listeners:
            listener(change)


def _is_news(belief: PaceBelief, told: Pace) -> bool:
    if apart(belief.steady, told.steady, NEWS_FACTOR):
        return True
    if not belief.knows_moments:
        return False
    more_often = abs(belief.bad_share - told.bad_share) > NEWS_SHARE
    return more_often or apart(belief.worst, told.worst, WORST_NEWS_FACTOR)


def apart(value: float, other: float, factor: float) -> bool:
    """Return whether two paces differ by more than a factor."""
    return value > other * factor or other > value * factor


def _kinds(steadies: Iterable[float]) -> tuple[float, ...]:
    """Return the paces without those that are close to a smaller one."""
    kinds: list[float] = []
    for steady in sorted(steadies):
        if not kinds or steady > kinds[-1] * KIND_STEP:
            kinds.append(steady)
    return tuple(kinds)


def _together(beliefs: list[PaceBelief], before: Kin) -> Kin:
    """Return the combined estimate; what the estimates lack is taken from the one before."""
    steadies = _kinds({b.told_steady for b in beliefs if b.is_sure and b.told_steady})
    sums = [sum(column) for column in zip(*(b.bad_moments for b in beliefs), strict=True)]
    looks, bad, reached, bad_time = sums or (0.0, 0.0, 0.0, 0.0)
    scales = [
        b.seen_steady / b.told_steady
        for b in beliefs
        if b.seen_steady is not None and b.told_steady is not None
    ]
    return Kin(
        steadies=steadies or before.steadies,
        worst=(reached + PRIOR_MOMENTS * PRIOR_WORST) / (bad + PRIOR_MOMENTS),
        bad_share=(bad_time + KIN_LOOKS * PRIOR_BAD_SHARE) / (looks + KIN_LOOKS),
        seen_scale=median(scales) if scales else before.seen_scale,
    )
