"""Estimate of the pace of one replica until it restarts; free of I/O and clocks."""

from dataclasses import dataclass

from reachlink.scheduling._observation_windows import WINDOW_S, ObservationWindows
from reachlink.scheduling._pace import Pace

# Bounds of an estimate, as multiples of the nominal pace: a replica that reports a false pace
# must neither attract nor lose all requests.
MIN_PACE = 0.25
MAX_PACE = 8.0
# Multiple of the steady pace from which an observation belongs to a slow phase.
SLOW_FROM = 1.5
# Quantiles of the windows that are taken as the steady pace: below the median, since slow
# phases only make work longer. Measured durations also grow with other work at the replica.
REPORTED_QUANTILE = 0.4
MEASURED_QUANTILE = 0.25
# Number of windows below which all of them may lie in one slow phase.
MIN_WINDOWS = 4
# Prior estimate of slow phases: a long answer runs through several of them, so their effect
# must be estimated before the first one is observed.
PRIOR_SLOW_FACTOR = 2.5
PRIOR_SLOW_SHARE = 0.1
# Maximum factor between the paces of two machines of the same kind.
SAME_KIND_FACTOR = 1.12
# Half-life of `Pace.momentary`, in seconds.
MOMENTARY_HALF_LIFE_S = 0.25
# Age after which `Pace.momentary` is 1, in seconds.
MOMENTARY_EXPIRY_S = 2.0
# Factor between the measured and the reported pace from which the measured one counts more,
# and from which it replaces the reported one.
CORRECT_FROM = 1.5
REPLACE_FROM = 2.0
# Age difference from which another instance's estimate replaces older own windows, in seconds.
PEER_NEWER_S = 5.0
# Maximum difference of two observation times that may be the same observation, received by
# two paths, in seconds.
SAME_OBSERVATION_S = 0.05
# Weights of the combined estimate for the service against a replica's own windows: of the factor
# of slow phases, in slow windows, and of their share of the time, in windows.
PRIOR_SLOW_WINDOWS = 2.0
PRIOR_WINDOWS = 16.0
# Number of counted windows at which the counts are halved, so that old windows decay.
MAX_COUNTED_WINDOWS = 400.0


@dataclass(slots=True, frozen=True)
class ServicePace:
    """Combined estimate for all replicas of one service.

    Attributes
    ----------
    steady_paces : tuple of float
        Distinct steady paces that the replicas reported.
    slow_factor : float
        Factor on the steady pace that slow phases reach on average.
    slow_share : float
        Share of the time, from 0 to 1, that slow phases take.
    measured_scale : float
        Ratio of the measured to the reported steady pace; median of the replicas.
    """

    steady_paces: tuple[float, ...] = ()
    slow_factor: float = PRIOR_SLOW_FACTOR
    slow_share: float = PRIOR_SLOW_SHARE
    measured_scale: float = 1.0


@dataclass(slots=True, frozen=True)
class PeerPace:
    """Another instance's estimate of a replica's pace.

    Attributes
    ----------
    pace : Pace
        Estimate, with the age as of `received_at`.
    received_at : float
        Monotonic time at which it was received, in seconds.
    """

    pace: Pace
    received_at: float

    @property
    def observed_at(self) -> float:
        """Monotonic time of the newest observation of the replica, in seconds."""
        return self.received_at - self.pace.age_s


class PaceEstimate:
    """Estimate of the pace of one replica until it restarts.

    Parameters
    ----------
    service_pace : ServicePace
        Combined estimate for all replicas of its service.

    Examples
    --------
    >>> estimate = PaceEstimate()
    >>> estimate.record_reported(0.5, now=1.0)
    >>> estimate.record_reported(1.25, now=1.5)
    >>> estimate.pace(now=1.5).steady, estimate.pace(now=1.5).momentary
    (0.5, 2.5)
    >>> estimate.pace(now=4.0).momentary
    1.0
    """

    __slots__ = (
        "_slow_windows",
        "_slow_share",
        "_slow_factor_sum",
        "_slow_time",
        "_peer",
        "_service_pace",
        "_windows",
        "_rough",
        "_measured",
        "_steady",
        "_reported",
        "_reported_steady",
        "_slow_factor",
    )

    def __init__(self, service_pace: ServicePace = ServicePace()) -> None:  # noqa: B008 - frozen
        self._service_pace = service_pace
        self._reported = ObservationWindows(REPORTED_QUANTILE, self._count_reported)
        self._measured = ObservationWindows(MEASURED_QUANTILE, self._count_measured)
        self._peer: PeerPace | None = None
        # Whether the last measurement was rough.
        self._rough = False
        # Counted windows, slow windows, the sum of the slow windows' factors, and the time in
        # slow phases, in windows.
        self._windows = 0.0
        self._slow_windows = 0.0
        self._slow_factor_sum = 0.0
        self._slow_time = 0.0
        self._reported_steady = 1.0
        self._steady = 1.0
        self._slow_factor = service_pace.slow_factor
        self._slow_share = service_pace.slow_share

    @property
    def steady(self) -> float:
        """Steady pace, as a multiple of the nominal one."""
        return self._steady

    @property
    def slow_factor(self) -> float:
        """Factor on the steady pace that slow phases reach on average."""
        return self._slow_factor

    @property
    def slow_share(self) -> float:
        """Share of the time, from 0 to 1, that slow phases take."""
        return self._slow_share

    @property
    def reported_steady(self) -> float | None:
        """Steady pace by the replica's reports to this instance; None without reports."""
        return self._reported_steady if self._reported.count else None

    @property
    def knows_slow_phases(self) -> bool:
        """Whether enough slow windows of this replica itself were observed."""
        return self._slow_windows >= PRIOR_SLOW_WINDOWS

    @property
    def has_enough_reports(self) -> bool:
        """Whether there are too many reported windows for all to lie in one slow phase."""
        return self._reported.count >= MIN_WINDOWS

    @property
    def measured_steady(self) -> float | None:
        """Steady pace by measurements here, not yet scaled; None with too few windows."""
        return self._measured.steady if self._measured.count >= MIN_WINDOWS - 1 else None

    @property
    def slow_counts(self) -> tuple[float, float, float, float]:
        """Windows, slow windows, sum of the latter's factors, and slow time in windows."""
        return self._windows, self._slow_windows, self._slow_factor_sum, self._slow_time

    @property
    def observed_at(self) -> float:
        """Monotonic time of the newest observation at this instance, in seconds."""
        return max(self._reported.newest_at, self._measured.newest_at)

    def set_service_pace(self, service_pace: ServicePace) -> None:
        """Set the combined estimate for the service, used from the next observation on."""
        self._service_pace = service_pace

    def record_reported(self, pace: float, now: float) -> None:
        """Record a pace that the replica reported, as a multiple of the nominal one."""
        self._reported.add(_within_bounds(pace), now)
        self._update()

    def record_measured(self, pace: float, now: float, rough: bool = False) -> None:
        """Record a measured duration of work, as a multiple of the expected one.

        Parameters
        ----------
        pace : float
            Measured duration divided by the expected one.
        now : float
            Monotonic time in seconds.
        rough : bool
            Whether durations of such work vary by more than paces do. Such a measurement is
            used if the replica reports nothing, and does not overrule its reports.
        """
        self._rough = rough
        self._measured.add(pace, now)
        self._update()

    def record_peer(self, peer: PeerPace) -> bool:
        """Record another instance's estimate; return whether it is newer than the last one."""
        if (
            self._peer is not None
            and peer.observed_at <= self._peer.observed_at + SAME_OBSERVATION_S
        ):
            return False
        self._peer = peer
        self._update()
        return True

    def pace(self, now: float) -> Pace:
        """Return the estimate at a monotonic time in seconds."""
        momentary, at = self._newest_momentary()
        age_s = now - at
        if momentary != 1.0:
            momentary = _decayed(momentary, age_s)
        return Pace(self._steady, momentary, self._slow_factor, self._slow_share, age_s)

    def observed(self, now: float) -> Pace:
        """Return the estimate without decay of `Pace.momentary`."""
        momentary, at = self._newest_momentary()
        return Pace(self._steady, momentary, self._slow_factor, self._slow_share, now - at)

    def _newest_momentary(self) -> tuple[float, float]:
        """Return the newest momentary factor and its monotonic time in seconds."""
        momentary, at = 1.0, self._reported.newest_at
        if self._reported.count:
            momentary = self._reported.newest / self._reported_steady
        # A measurement covers the whole window before it.
        if self._measured.newest_at > at + WINDOW_S:
            at = self._measured.newest_at
            ratio = self._measured.newest / self._measured.steady
            # Smaller ratios may come from prompts that are processed beside a stream.
            momentary = ratio if ratio >= SLOW_FROM else 1.0
        peer = self._peer
        if peer is not None and peer.observed_at > at + SAME_OBSERVATION_S:
            return peer.pace.momentary, peer.observed_at
        return momentary, at

    def _update(self) -> None:
        """Recompute the steady pace and the slow phases."""
        peer = self._peer
        if self._reported.count:
            self._reported_steady = self._steady_by_reports()
        if peer is not None and peer.observed_at > self.observed_at + PEER_NEWER_S:
            self._steady = _within_bounds(peer.pace.steady)
        elif self._reported.count:
            self._steady = _within_bounds(self._reported_steady * self._correction())
        elif self._measured.count >= MIN_WINDOWS - 1 or peer is None:
            self._steady = _within_bounds(self._steady_by_measurements())
        else:
            self._steady = _within_bounds(peer.pace.steady)
        self._update_slow_phases()

    def _steady_by_reports(self) -> float:
        steady = self._reported.steady
        if self._reported.count >= MIN_WINDOWS:
            return steady
        if self._peer is not None:
            return likely_steady_pace(
                steady, (self._peer.pace.steady,), self._service_pace.slow_factor
            )
        return likely_steady_pace(
            steady, self._service_pace.steady_paces, self._service_pace.slow_factor
        )

    def _steady_by_measurements(self) -> float:
        """Return the steady pace by measurements; closer to 1 with few windows."""
        if not self._measured.count:
            return 1.0
        weight = min(1.0, self._measured.count / (MIN_WINDOWS - 1))
        return float((self._measured.steady / self._service_pace.measured_scale) ** weight)

    def _correction(self) -> float:
        """Return the correction of the reported pace by contradicting measurements."""
        if self._rough or self._measured.count < MIN_WINDOWS - 1:
            return 1.0
        ratio = self._steady_by_measurements() / self._reported_steady
        deviation = max(ratio, 1.0 / ratio)
        if deviation <= CORRECT_FROM:
            return 1.0
        share = min(1.0, (deviation - CORRECT_FROM) / (REPLACE_FROM - CORRECT_FROM))
        return float(ratio**share)

    def _update_slow_phases(self) -> None:
        service_pace, peer = self._service_pace, self._peer
        slow_factor, share = service_pace.slow_factor, service_pace.slow_share
        if peer is not None and not self._windows:
            slow_factor, share = peer.pace.slow_factor, peer.pace.slow_share
        slow_windows = self._slow_windows
        if slow_windows and slow_factor > 1.0:
            slow_factor = (self._slow_factor_sum + PRIOR_SLOW_WINDOWS * slow_factor) / (
                slow_windows + PRIOR_SLOW_WINDOWS
            )
        elif slow_windows:
            slow_factor = self._slow_factor_sum / slow_windows
        self._slow_factor = min(MAX_PACE, slow_factor)
        self._slow_share = (self._slow_time + PRIOR_WINDOWS * share) / (
            self._windows + PRIOR_WINDOWS
        )

    def _count_reported(self, low: float, high: float) -> None:
        self._count(low / self._reported_steady, high / self._reported_steady)

    def _count_measured(self, low: float, high: float) -> None:
        if not self._reported.count:
            self._count(low / self._measured.steady, high / self._measured.steady)

    def _count(self, low: float, high: float) -> None:
        """Count a window by its lowest and highest multiple of the steady pace."""
        if self._windows >= MAX_COUNTED_WINDOWS:
            self._windows /= 2.0
            self._slow_windows /= 2.0
            self._slow_factor_sum /= 2.0
            self._slow_time /= 2.0
        self._windows += 1.0
        if high < SLOW_FROM:
            return
        self._slow_windows += 1.0
        # A single extreme value would outweigh those of all replicas of the service.
        self._slow_factor_sum += min(MAX_PACE, high)
        self._slow_time += 1.0 if low >= SLOW_FROM else 0.5


def likely_steady_pace(pace: float, steady_paces: tuple[float, ...], slow_factor: float) -> float:
    """Return the likely steady pace of a replica with only a few observations.

    The first reports may fall into a slow phase; the known paces tell which of the two is
    more likely.

    Parameters
    ----------
    pace : float
        Reported pace, as a multiple of the nominal one.
    steady_paces : tuple of float
        Steady paces of the replicas of its service, or other instances' estimates for it.
    slow_factor : float
        Factor on the steady pace that slow phases reach on average; 1 if unknown.

    Examples
    --------
    >>> likely_steady_pace(0.55, (1.2, 0.55), 2.5), likely_steady_pace(3.0, (1.2, 0.55), 2.5)
    (0.55, 1.2)
    """
    if not steady_paces or any(_is_same_kind(pace, steady) for steady in steady_paces):
        return pace
    if slow_factor > 1.0 and any(
        _is_same_kind(pace / slow_factor, steady) for steady in steady_paces
    ):
        return pace / slow_factor
    slowest = max(steady_paces)
    return slowest if pace >= SLOW_FROM * slowest else pace


def _is_same_kind(pace: float, other: float) -> bool:
    return other / SAME_KIND_FACTOR <= pace <= other * SAME_KIND_FACTOR


def _within_bounds(pace: float) -> float:
    return min(MAX_PACE, max(MIN_PACE, pace))


def _decayed(momentary: float, age_s: float) -> float:
    """Return a momentary factor after some time, in seconds, of decay to 1."""
    if age_s >= MOMENTARY_EXPIRY_S:
        return 1.0
    left = 0.5 ** (max(0.0, age_s) / MOMENTARY_HALF_LIFE_S)
    return min(MAX_PACE, max(MIN_PACE, 1.0 + (momentary - 1.0) * left))
