"""Roster of entry instances, kept by control instances from watch requests; does no I/O."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from reachlink.membership._spreading import InstanceRecord

# Time in seconds without a watch request at any control instance after which an instance
# counts as absent. Instances repeat their watch requests about once a second.
ABSENCE_TIMEOUT_S = 4.0
# The same timeout in seconds if the control instance that reported the entry instance is
# silent itself; longer than most network partitions. Its watchers are more likely behind a
# partition than stopped: if only the control instance has stopped, they watch another one
# within seconds. With the shorter timeout, the instances of a zone that is cut off would
# form a fleet of their own and treat the zones as connected.
SILENT_REPORTER_TIMEOUT_S = 30.0
# Time in seconds for which the list of coordinators is cached while no new instance
# appears: every watch request reads it, dozens a second at a control instance that serves
# a hundred instances.
SUMMARY_KEPT_S = 0.25


@dataclass(slots=True, frozen=True)
class CoordinationLimits:
    """Limits on the number of entry instances that coordinate placement.

    Attributes
    ----------
    all_up_to : int
        Number of instances up to which all are coordinators. Each one sends its load to
        all others: with 24 instances, 24 updates of 0.1 to 1 KB a second, more when busy.
    per_zone : int
        Coordinators in each zone if there are more instances than ``all_up_to``. The
        default of two leaves one in place when the other is lost.
    """

    all_up_to: Annotated[int, msgspec.Meta(ge=0)] = 24
    per_zone: Annotated[int, msgspec.Meta(ge=1)] = 2


@dataclass(slots=True)
class _Report:
    """Last report of an instance: its time and the control instance that sent it."""

    record: InstanceRecord
    at: float
    reporter: str


@dataclass(slots=True, frozen=True)
class _Summary:
    """Coordinators and number of all instances at a monotonic time in seconds."""

    coordinators: list[InstanceRecord]
    count: int
    at: float


class Roster:
    """The entry instances, by name.

    Parameters
    ----------
    limits : CoordinationLimits, optional
        Limits on the number of coordinators.

    Examples
    --------
    >>> roster = Roster()
    >>> roster.note([InstanceRecord("e1", "10.0.0.1:7201", "a")], 0.0)
    >>> [r.name for r in roster.present(1.0)]
    ['e1']
    >>> roster.present(9.0)
    []
    """

    def __init__(self, limits: CoordinationLimits | None = None) -> None:
        self._limits = limits or CoordinationLimits()
        self._heard: dict[str, _Report] = {}
        # Time of the last report of each control instance; monotonic, in seconds.
        self._reported_at: dict[str, float] = {}
        self._summary: _Summary | None = None

    def note(self, records: Iterable[InstanceRecord], now: float, reporter: str = "") -> None:
        """Record instances that were reported just now.

        Parameters
        ----------
        records : iterable of InstanceRecord
            Instances that exist.
        now : float
            Monotonic time in seconds.
        reporter : str
            Name of the control instance that reported them; empty if they sent watch
            requests to this one.
        """
        self._reported_at[reporter] = now
        for record in records:
            if record.name not in self._heard:
                self._summary = None
            self._heard[record.name] = _Report(record, now, reporter)

    def present(self, now: float) -> list[InstanceRecord]:
        """Return the instances that are present, sorted by name."""
        for name in [n for n, h in self._heard.items() if self._is_absent(h, now)]:
            del self._heard[name]
        return [self._heard[name].record for name in sorted(self._heard)]

    def _is_absent(self, heard: _Report, now: float) -> bool:
        is_silent = (
            bool(heard.reporter) and now - self._reported_at[heard.reporter] > ABSENCE_TIMEOUT_S
        )
        kept_s = SILENT_REPORTER_TIMEOUT_S if is_silent else ABSENCE_TIMEOUT_S
        return now - heard.at > kept_s

    def coordinators(self, now: float) -> list[InstanceRecord]:
        """Return the instances that coordinate placement, sorted by name.

        Up to `CoordinationLimits.all_up_to` instances all coordinate. Of more, those with the
        highest hashes of their names in each zone do (rendezvous hashing), so that an
        instance that joins or leaves changes at most one coordinator.
        """
        return self._summarize(now).coordinators

    def count(self, now: float) -> int:
        """Return the number of instances that are present."""
        return self._summarize(now).count

    def _summarize(self, now: float) -> "_Summary":
        summary = self._summary
        if summary is None or now - summary.at > SUMMARY_KEPT_S:
            present = self.present(now)
            summary = self._summary = _Summary(self._choose(present), len(present), now)
        return summary

    def _choose(self, present: list[InstanceRecord]) -> list[InstanceRecord]:
        if len(present) <= self._limits.all_up_to:
            return present
        by_zone: dict[str, list[InstanceRecord]] = {}
        for record in present:
            by_zone.setdefault(record.availability_zone, []).append(record)
        chosen: list[InstanceRecord] = []
        for records in by_zone.values():
            chosen += sorted(records, key=_hash, reverse=True)[: self._limits.per_zone]
        return sorted(chosen, key=lambda record: record.name)


def _hash(record: InstanceRecord) -> bytes:
    return hashlib.blake2b(record.name.encode(), digest_size=8).digest()
