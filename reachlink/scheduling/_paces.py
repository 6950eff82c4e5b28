"""Estimate of the pace of one replica in one lifetime; free of I/O and clocks."""

from dataclasses import dataclass

from reachlink.scheduling._looks import LOOK_S, Looks
from reachlink.scheduling._pace import Pace

# Bounds of an estimate, as multiples of the nominal pace: a replica that reports a false pace
# must neither attract nor lose all requests.
LEAST = 0.25
MOST = 8.0
# Multiple of the steady pace from which an observation belongs to a slow phase.
BAD_FROM = 1.5
# Quantiles of the windows that are taken as the steady pace: below the median, since slow
# phases only make work longer. Measured durations also grow by the work that runs beside.
LASTING_TOLD = 0.4
LASTING_SEEN = 0.25
# Number of windows below which all of them may be of one slow phase.
SURE_LOOKS = 4
# Prior estimate of slow phases: a long answer runs through several of them, so their effect
# must be estimated before the first one is observed.
PRIOR_WORST = 2.5
PRIOR_BAD_SHARE = 0.1
# Maximum factor between the paces of two machines of the same kind.
SAME_KIND = 1.12
# Half-life of `Pace.moment`, in seconds.
MOMENT_HALF_S = 0.25
# Age after which `Pace.moment` is 1, in seconds.
MOMENT_KEPT_S = 2.0
# Factor between the measured and the reported pace from which the measured one counts more,
# and from which it replaces the reported one.
DOUBT_FROM = 1.5
DOUBT_WHOLLY = 2.0
# Age difference from which another instance's estimate replaces older own windows, in seconds.
OWN_FIRST_S = 5.0
# Maximum difference of two observation times that may be the same observation, received by
# two ways, in seconds.
SAME_S = 0.05
# Weight of the estimate for the whole service: a replica's own slow phases weigh as much with
# this number of slow windows, and their share of the time with this number of windows.
PRIOR_MOMENTS = 2.0
PRIOR_LOOKS = 16.0
# Number of counted windows at which the counts are halved, so that old windows decay.
COUNTED_LOOKS = 400.0


@dataclass(slots=True, frozen=True)
class Kin:
    """Combined estimate for all replicas of one service.

    Attributes
    ----------
    steadies : tuple of float
        Distinct steady paces that the replicas reported.
    worst : float
        Factor on the steady pace that slow phases reach on average.
    bad_share : float
        Share of the time, from 0 to 1, that slow phases take.
    seen_scale : float
        Ratio of the measured to the reported steady pace; median of the replicas.
    """

    steadies: tuple[float, ...] = ()
    worst: float = PRIOR_WORST
    bad_share: float = PRIOR_BAD_SHARE
    seen_scale: float = 1.0


@dataclass(slots=True, frozen=True)
class HeardPace:
    """Another instance's estimate of a replica's pace.

    Attributes
    ----------
    pace : Pace
        Estimate, with the age as of `heard_at`.
    heard_at : float
        Monotonic time at which it was received, in seconds.
    """

    pace: Pace
    heard_at: float

    @property
    def observed_at(self) -> float:
        """Monotonic time of the newest observation of the replica, in seconds."""
        return self.heard_at - self.pace.age_s


class PaceBelief:
    """Estimate of the pace of one replica in one lifetime.

    Parameters
    ----------
    kin : Kin
        Combined estimate for all replicas of its service.

    Examples
    --------
    >>> belief = PaceBelief()
    >>> belief.note_told(0.5, now=1.0)
    >>> belief.note_told(1.25, now=1.5)
    >>> belief.pace(now=1.5).steady, belief.pace(now=1.5).moment
    (0.5, 2.5)
    >>> belief.pace(now=4.0).moment
    1.0
    """

    __slots__ = (
        "_bad_looks",
        "_bad_share",
        "_bad_sum",
        "_bad_time",
        "_heard",
        "_kin",
        "_looks",
        "_rough",
        "_seen",
        "_steady",
        "_told",
        "_told_steady",
        "_worst",
    )

    def __init__(self, kin: Kin = Kin()) -> None:  # noqa: B008 - frozen
        self._kin = kin
        self._told = Looks(LASTING_TOLD, self._count_told)
        self._seen = Looks(LASTING_SEEN, self._count_seen)
        self._heard: HeardPace | None = None
        # Whether what was seen last says little by itself.
        self._rough = False
        # Moments that were counted: looks, bad ones, what these reached in sum, and the
        # time that they took, in looks.
        self._looks = 0.0
        self._bad_looks = 0.0
        self._bad_sum = 0.0
        self._bad_time = 0.0
        self._told_steady = 1.0
        self._steady = 1.0
        self._worst = kin.worst
        self._bad_share = kin.bad_share

    @property
    def steady(self) -> float:
        """Steady pace, as a multiple of the nominal one."""
        return self._steady

    @property
    def worst(self) -> float:
        """Factor on the steady pace that slow phases reach on average."""
        return self._worst

    @property
    def bad_share(self) -> float:
        """Share of the time, from 0 to 1, that slow phases take."""
        return self._bad_share

    @property
    def told_steady(self) -> float | None:
        """Steady pace by the replica's reports to this instance; None without reports."""
        return self._told_steady if self._told.count else None

    @property
    def knows_moments(self) -> bool:
        """Whether enough slow windows of this replica itself were observed."""
        return self._bad_looks >= PRIOR_MOMENTS

    @property
    def is_sure(self) -> bool:
        """Whether there are too many reported windows for all to be of one slow phase."""
        return self._told.count >= SURE_LOOKS

    @property
    def seen_steady(self) -> float | None:
        """Steady pace by measurements here, not yet scaled; None with too few windows."""
        return self._seen.steady if self._seen.count >= SURE_LOOKS - 1 else None

    @property
    def bad_moments(self) -> tuple[float, float, float, float]:
        """Windows, slow windows, sum of the latter's factors, and slow time in windows."""
        return self._looks, self._bad_looks, self._bad_sum, self._bad_time

    @property
    def observed_at(self) -> float:
        """Monotonic time of the newest observation at this instance, in seconds."""
        return max(self._told.newest_at, self._seen.newest_at)

    def take_kin(self, kin: Kin) -> None:
        """Set the combined estimate for the service, used from the next observation on."""
        self._kin = kin

    def note_told(self, pace: float, now: float) -> None:
        """Record a pace that the replica reported, as a multiple of the nominal one."""
        self._told.add(_bounded(pace), now)
        self._renew()

    def note_seen(self, pace: float, now: float, rough: bool = False) -> None:
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
        self._seen.add(pace, now)
        self._renew()

    def hear(self, heard: HeardPace) -> bool:
        """Record another instance's estimate; return whether it is newer than the last one."""
        if self._heard is not None and heard.observed_at <= self._heard.observed_at + SAME_S:
            return False
        self._heard = heard
        self._renew()
        return True

    def pace(self, now: float) -> Pace:
        """Return the estimate at a monotonic time in seconds."""
        moment, at = self._newest_moment()
        age_s = now - at
        if moment != 1.0:
            moment = _faded(moment, age_s)
        return Pace(self._steady, moment, self._worst, self._bad_share, age_s)

    def observed(self, now: float) -> Pace:
        """Return the estimate without decay of `Pace.moment`."""
        moment, at = self._newest_moment()
        return Pace(self._steady, moment, self._worst, self._bad_share, now - at)

    def _newest_moment(self) -> tuple[float, float]:
        """Return the newest momentary factor and its monotonic time in seconds."""
        moment, at = 1.0, self._told.newest_at
        if self._told.count:
            moment = self._told.newest / self._told_steady
        # A measurement covers the whole window before it.
        if self._seen.newest_at > at + LOOK_S:
            at = self._seen.newest_at
            ratio = self._seen.newest / self._seen.steady
            # Prompts that are processed beside a stream also delay its events.
            moment = ratio if ratio >= BAD_FROM else 1.0
        heard = self._heard
        if heard is not None and heard.observed_at > at + SAME_S:
            return heard.pace.moment, heard.observed_at
        return moment, at

    def _renew(self) -> None:
        """Recompute the steady pace and the slow phases."""
        heard = self._heard
        if self._told.count:
            self._told_steady = self._lasting_told()
        if heard is not None and heard.observed_at > self.observed_at + OWN_FIRST_S:
            self._steady = _bounded(heard.pace.steady)
        elif self._told.count:
            self._steady = _bounded(self._told_steady * self._doubt())
        elif self._seen.count >= SURE_LOOKS - 1 or heard is None:
            self._steady = _bounded(self._seen_pace())
        else:
            self._steady = _bounded(heard.pace.steady)
        self._renew_moments()

    def _lasting_told(self) -> float:
        steady = self._told.steady
        if self._told.count >= SURE_LOOKS:
            return steady
        if self._heard is not None:
            return likely_steady(steady, (self._heard.pace.steady,), self._kin.worst)
        return likely_steady(steady, self._kin.steadies, self._kin.worst)

    def _seen_pace(self) -> float:
        """Return the steady pace by measurements; few windows count in part."""
        if not self._seen.count:
            return 1.0
        sure = min(1.0, self._seen.count / (SURE_LOOKS - 1))
        return float((self._seen.steady / self._kin.seen_scale) ** sure)

    def _doubt(self) -> float:
        """Return the correction of the reported pace by contradicting measurements."""
        if self._rough or self._seen.count < SURE_LOOKS - 1:
            return 1.0
        ratio = self._seen_pace() / self._told_steady
        apart = max(ratio, 1.0 / ratio)
        if apart <= DOUBT_FROM:
            return 1.0
        share = min(1.0, (apart - DOUBT_FROM) / (DOUBT_WHOLLY - DOUBT_FROM))
        return float(ratio**share)

    def _renew_moments(self) -> None:
        kin, heard = self._kin, self._heard
        worst, share = kin.worst, kin.bad_share
        if heard is not None and not self._looks:
            worst, share = heard.pace.worst, heard.pace.bad_share
        bad = self._bad_looks
        if bad and worst > 1.0:
            worst = (self._bad_sum + PRIOR_MOMENTS * worst) / (bad + PRIOR_MOMENTS)
        elif bad:
            worst = self._bad_sum / bad
        self._worst = min(MOST, worst)
        self._bad_share = (self._bad_time + PRIOR_LOOKS * share) / (self._looks + PRIOR_LOOKS)

    def _count_told(self, low: float, high: float) -> None:
        self._count(low / self._told_steady, high / self._told_steady)

    def _count_seen(self, low: float, high: float) -> None:
        if not self._told.count:
            self._count(low / self._seen.steady, high / self._seen.steady)

    def _count(self, low: float, high: float) -> None:
        """Count a window by its lowest and highest multiple of the steady pace."""
        if self._looks >= COUNTED_LOOKS:
            self._looks /= 2.0
            self._bad_looks /= 2.0
            self._bad_sum /= 2.0
            self._bad_time /= 2.0
        self._looks += 1.0
        if high < BAD_FROM:
            return
        self._bad_looks += 1.0
        # A single extreme value would outweigh those of all replicas of the service.
        self._bad_sum += min(MOST, high)
        self._bad_time += 1.0 if low >= BAD_FROM else 0.5


def likely_steady(pace: float, steadies: tuple[float, ...], worst: float) -> float:
    """Return the likely steady pace of a replica with only a few observations.

    The first reports may fall into a slow phase; the known paces tell which of the two is
    more likely.

    Parameters
    ----------
    pace : float
        Reported pace, as a multiple of the nominal one.
    steadies : tuple of float
        Steady paces of the replicas of its service, or other instances' estimates for it.
    worst : float
        Factor on the steady pace that slow phases reach on average; 1 if unknown.

    Examples
    --------
    >>> likely_steady(0.55, (1.2, 0.55), 2.5), likely_steady(3.0, (1.2, 0.55), 2.5)
    (0.55, 1.2)
    """
    if not steadies or any(_alike(pace, steady) for steady in steadies):
        return pace
    if worst > 1.0 and any(_alike(pace / worst, steady) for steady in steadies):
        return pace / worst
    slowest = max(steadies)
    return slowest if pace >= BAD_FROM * slowest else pace


def _alike(pace: float, other: float) -> bool:
    return other / SAME_KIND <= pace <= other * SAME_KIND


def _bounded(pace: float) -> float:
    return min(MOST, max(LEAST, pace))


def _faded(moment: float, age_s: float) -> float:
    """Return a momentary factor after some time, in seconds, of decay to 1."""
    if age_s >= MOMENT_KEPT_S:
        return 1.0
    left = 0.5 ** (max(0.0, age_s) / MOMENT_HALF_S)
    return min(MOST, max(LEAST, 1.0 + (moment - 1.0) * left))
