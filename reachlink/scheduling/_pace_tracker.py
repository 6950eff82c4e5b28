"""Estimates of the pace of all replicas; free of I/O and clocks."""

import math
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass
from enum import Enum
from statistics import median

from reachlink.scheduling._pace import NOMINAL_PACE, Pace
from reachlink.scheduling._pace_estimate import (
    MAX_PACE,
    PRIOR_SLOW_FACTOR,
    PRIOR_SLOW_SHARE,
    PRIOR_SLOW_WINDOWS,
    PaceEstimate,
    PeerPace,
    ServicePace,
)

# Maximum number of replicas, at some 2 KB each: well above the 710 of the largest fleet.
MAX_REPLICAS = 2000
# Interval between updates of the estimate for all replicas of a service, in seconds.
SERVICE_UPDATE_S = 1.0
# Lifetime of a cached pace, in seconds: slow phases last half a second, and a decision reads
# the paces of some hundred replicas.
PACE_CACHE_S = 0.02
# Minimum factor between the paces of two kinds of machines that are distinguished.
DISTINCT_FACTOR = 1.03
# Weight of the prior, in windows of all replicas of a service: half a minute of one
# instance's traffic.
PRIOR_SERVICE_WINDOWS = 100.0
# Factors by which the steady pace, or the slow phases, must change to be published.
STEADY_CHANGE_FACTOR = 1.15
SLOW_CHANGE_FACTOR = 1.5
# Difference by which the share of slow phases must change to be published.
SLOW_SHARE_CHANGE = 0.15
# Maximum number of services; it suffices for each replica to be of another service.
MAX_SERVICES = MAX_REPLICAS
# Maximum number of kinds of calls whose typical duration is tracked.
MAX_CALL_KINDS = 500
# Weight of each new call in the moving average of its kind's duration.
CALL_WEIGHT = 0.05
# Maximum deviation from that average with which a call counts, as a logarithm: a single
# extremely long call would make all others look fast.
MAX_LOG_DEVIATION = math.log(MAX_PACE)


class PaceSource(Enum):
    """Source of an estimate: the replica's reports, measurements here, or another instance."""

    REPORTED = "told"
    MEASURED = "seen"
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
    estimate: PaceEstimate
    # Pace published last, the number of that change, its source, and the instance it came from.
    published: Pace = NOMINAL_PACE
    number: int = 0
    source: PaceSource = PaceSource.REPORTED
    sender: str = ""
    # Cached pace, and the monotonic time at which it expires, in seconds.
    cached: Pace = NOMINAL_PACE
    cached_until: float = float("-inf")

    def pace(self, now: float) -> Pace:
        """Return the estimate, at most `PACE_CACHE_S` old."""
        if now >= self.cached_until:
            self.cached, self.cached_until = self.estimate.pace(now), now + PACE_CACHE_S
        return self.cached


@dataclass(slots=True)
class _Service:
    """Estimate for all replicas of one service."""

    service_pace: ServicePace = ServicePace()
    updated_at: float = float("-inf")
    reports: bool = False


class PaceTracker:
    """Estimates of the pace of all replicas by name.

    Parameters
    ----------
    enabled : bool
        Whether paces are used; if not, nothing is recorded.

    Examples
    --------
    >>> tracker = PaceTracker()
    >>> tracker.record_reported("chat", "r1", 0.5, now=1.0)
    >>> tracker.pace("r1", now=1.0).steady, tracker.pace("r2", now=1.0).steady
    (0.5, 1.0)
    >>> tracker.is_reported("chat"), tracker.is_reported("app")
    (True, False)
    """

    def __init__(self, enabled: bool = True) -> None:
        self._enabled = enabled
        self._entries: dict[str, _Entry] = {}
        self._services: dict[str, _Service] = {}
        # Logarithm of the typical duration of each kind of calls, in seconds.
        self._call_durations: dict[tuple[str, str], float] = {}
        self._number = 0
        self._listeners: list[Callable[[PaceChange], None]] = []

    @property
    def is_enabled(self) -> bool:
        """Whether paces are recorded."""
        return self._enabled

    @property
    def count(self) -> int:
        """Number of replicas with an estimate."""
        return len(self._entries)

    def is_reported(self, service: str) -> bool:
        """Return whether a replica of a service has reported a pace, here or elsewhere."""
        found = self._services.get(service)
        return found is not None and found.reports

    def add_listener(self, listener: Callable[[PaceChange], None]) -> None:
        """Register a listener, which is called with each significant change."""
        self._listeners.append(listener)

    def pace(self, replica: str, now: float) -> Pace:
        """Return the estimate of a replica's pace at a monotonic time in seconds."""
        entry = self._entries.get(replica)
        return NOMINAL_PACE if entry is None else entry.pace(now)

    def pace_if_reported(self, service: str, replica: str, now: float) -> Pace | None:
        """Return the estimate, or None if the replicas of the service report no pace."""
        entry = self._entries.get(replica)
        if entry is not None:
            return entry.pace(now)
        return NOMINAL_PACE if self.is_reported(service) else None

    def record_reported(self, service: str, replica: str, pace: float, now: float) -> None:
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
        if not self._enabled:
            return
        self._service(service).reports = True
        entry = self._entry(service, replica, now)
        entry.estimate.record_reported(pace, now)
        self._publish_if_changed(replica, entry, PaceSource.REPORTED, now)

    def record_measured(
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
        if not self._enabled or not self.is_reported(service) or not 0.0 < ratio < math.inf:
            return
        entry = self._entry(service, replica, now)
        entry.estimate.record_measured(ratio, now, rough)
        self._publish_if_changed(replica, entry, PaceSource.MEASURED, now)

    def record_call(
        self, service: str, kind: str, replica: str, duration_s: float, now: float
    ) -> None:
        """Record the duration of a call relative to other calls of its kind.

        Parameters
        ----------
        service : str
            Service of the replica.
        kind : str
            Kind of the call; calls of one kind take similar times.
        replica : str
            Replica that answered it.
        duration_s : float
            Time from its dispatch to the end of its answer, in seconds.
        now : float
            Monotonic time in seconds.
        """
        if not self._enabled or not self.is_reported(service) or duration_s <= 0.0:
            return
        key, log_duration = (service, kind), math.log(duration_s)
        if key not in self._call_durations and len(self._call_durations) >= MAX_CALL_KINDS:
            self._call_durations.pop(next(iter(self._call_durations)))
        typical = self._call_durations.get(key, log_duration)
        deviation = min(MAX_LOG_DEVIATION, max(-MAX_LOG_DEVIATION, log_duration - typical))
        self._call_durations[key] = typical + CALL_WEIGHT * deviation
        self.record_measured(service, replica, math.exp(log_duration - typical), now, rough=True)

    def observed(self, replica: str, now: float) -> Pace:
        """Return the estimate without decay of `Pace.momentary`, to be sent to other instances."""
        entry = self._entries.get(replica)
        return NOMINAL_PACE if entry is None else entry.estimate.observed(now)

    def record_peer(
        self,
        service: str,
        replica: str,
        peer: PeerPace,
        source: PaceSource,
        sender: str,
        now: float,
    ) -> None:
        """Record another instance's estimate of a replica in its present lifetime.

        Parameters
        ----------
        service, replica : str
            Service of the replica, and its name.
        peer : PeerPace
            Estimate of the other instance.
        source : PaceSource
            Role of the other instance towards this one.
        sender : str
            Name of the other instance.
        now : float
            Monotonic time in seconds.
        """
        if not self._enabled:
            return
        self._service(service).reports = True
        entry = self._entry(service, replica, now)
        if entry.estimate.record_peer(peer):
            self._publish_if_changed(replica, entry, source, now, sender)

    def reset_replica(self, replica: str) -> None:
        """Discard the estimate of a replica that was restarted."""
        self._entries.pop(replica, None)

    def forget_gone(self, known: Container[str]) -> None:
        """Drop the estimates of all replicas but the known ones."""
        for name in [n for n in self._entries if n not in known]:
            del self._entries[name]

    def changed_since(
        self, number: int, sources: Iterable[PaceSource], limit: int, excluded_sender: str = ""
    ) -> tuple[int, list[str]]:
        """Return the replicas whose estimates changed, the oldest change first.

        Parameters
        ----------
        number : int
            Number of the last change that was returned before; 0 for none.
        sources : iterable of PaceSource
            Sources of the changes that are returned.
        limit : int
            Maximum number of replicas that are returned.
        excluded_sender : str
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
        changes = sorted(
            (entry.number, name)
            for name, entry in self._entries.items()
            if entry.number > number
            and entry.source in wanted
            and not (excluded_sender and entry.sender == excluded_sender)
        )
        if len(changes) > limit:
            return changes[limit - 1][0], [name for _, name in changes[:limit]]
        return self._number, [name for _, name in changes]

    def steady_paces(self) -> dict[str, list[float]]:
        """Return the steady paces of the replicas of each service that reports paces."""
        found: dict[str, list[float]] = {}
        for entry in self._entries.values():
            found.setdefault(entry.service, []).append(entry.estimate.steady)
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
            service_pace = self._service_pace(service, now, new=True)
            found = self._entries[replica] = _Entry(service, PaceEstimate(service_pace))
        else:
            found.estimate.set_service_pace(self._service_pace(service, now))
        return found

    def _service_pace(self, service: str, now: float, new: bool = False) -> ServicePace:
        """Return the estimate for all replicas of a service, updated at intervals."""
        state = self._service(service)
        if new or now - state.updated_at >= SERVICE_UPDATE_S:
            estimates = [e.estimate for e in self._entries.values() if e.service == service]
            state.service_pace, state.updated_at = _combined(estimates, state.service_pace), now
        return state.service_pace

    def _publish_if_changed(
        self, replica: str, entry: _Entry, source: PaceSource, now: float, sender: str = ""
    ) -> None:
        """Publish the estimate of a replica if it has changed significantly."""
        estimate, published = entry.estimate, entry.published
        entry.cached_until = now
        new = not entry.number
        if not new and not _has_changed(estimate, published):
            return
        self._number += 1
        entry.number, entry.source, entry.sender = self._number, source, sender
        entry.published = estimate.pace(now)
        before = None if new else published.steady
        change = PaceChange(replica, entry.service, entry.published, before, source)
        for listener in self._listeners:
            listener(change)


def _has_changed(estimate: PaceEstimate, published: Pace) -> bool:
    if differ_by_factor(estimate.steady, published.steady, STEADY_CHANGE_FACTOR):
        return True
    if not estimate.knows_slow_phases:
        return False
    share_changed = abs(estimate.slow_share - published.slow_share) > SLOW_SHARE_CHANGE
    return share_changed or differ_by_factor(
        estimate.slow_factor, published.slow_factor, SLOW_CHANGE_FACTOR
    )


def differ_by_factor(value: float, other: float, factor: float) -> bool:
    """Return whether two paces differ by more than a factor."""
    return value > other * factor or other > value * factor


def _distinct(steady_paces: Iterable[float]) -> tuple[float, ...]:
    """Return the paces without those that are close to a smaller one."""
    distinct: list[float] = []
    for steady in sorted(steady_paces):
        if not distinct or steady > distinct[-1] * DISTINCT_FACTOR:
            distinct.append(steady)
    return tuple(distinct)


def _combined(estimates: list[PaceEstimate], before: ServicePace) -> ServicePace:
    """Return the combined estimate; what the estimates lack is taken from the one before."""
    steady_paces = _distinct(
        {e.reported_steady for e in estimates if e.has_enough_reports and e.reported_steady}
    )
    sums = [sum(column) for column in zip(*(e.slow_counts for e in estimates), strict=True)]
    windows, slow_windows, factor_sum, slow_time = sums or (0.0, 0.0, 0.0, 0.0)
    scales = [
        e.measured_steady / e.reported_steady
        for e in estimates
        if e.measured_steady is not None and e.reported_steady is not None
    ]
    return ServicePace(
        steady_paces=steady_paces or before.steady_paces,
        slow_factor=(factor_sum + PRIOR_SLOW_WINDOWS * PRIOR_SLOW_FACTOR)
        / (slow_windows + PRIOR_SLOW_WINDOWS),
        slow_share=(slow_time + PRIOR_SERVICE_WINDOWS * PRIOR_SLOW_SHARE)
        / (windows + PRIOR_SERVICE_WINDOWS),
        measured_scale=median(scales) if scales else before.measured_scale,
    )
