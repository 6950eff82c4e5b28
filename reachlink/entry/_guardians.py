"""Generations of an entry instance that died are cancelled by another one; pure.

Each instance tells one other, its guardian, which generations it carries. A
guardian that no longer hears its ward waits for the grace to reconnect and
then cancels what nobody reads: engines refuse to cancel a generation that
somebody does, so that a ward that was only cut off loses nothing, nor does a
caller who went on elsewhere.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec


class CarriedGeneration(msgspec.Struct, array_like=True, frozen=True):
    """One generation, where it runs, and the grace to reconnect in seconds."""

    generation: str
    replica: str
    service: str
    grace_s: float


class CarriedReport(msgspec.Struct, array_like=True, frozen=True):
    """What an instance tells its guardian: everything (`whole`), or what changed."""

    instance: str
    whole: bool
    started: list[CarriedGeneration]
    ended: list[str]


@dataclass(slots=True)
class CarriedBook:
    """Generations that this instance carries."""

    instance: str
    _held: dict[str, CarriedGeneration] = field(default_factory=dict)
    _started: dict[str, CarriedGeneration] = field(default_factory=dict)
    _ended: list[str] = field(default_factory=list)
    _guardian: str = ""

    def add(self, carried: CarriedGeneration) -> None:
        """A generation begins here."""
        self._held[carried.generation] = carried
        self._started[carried.generation] = carried

    def remove(self, generation: str) -> None:
        """A generation has ended, or is cancelled, or goes on elsewhere."""
        if self._held.pop(generation, None) is None:
            return
        if self._started.pop(generation, None) is None:
            self._ended.append(generation)

    def report_to(self, guardian: str) -> CarriedReport | None:
        """Return what the guardian must hear now, or None for nothing."""
        whole = guardian != self._guardian
        self._guardian = guardian
        started = list(self._held.values() if whole else self._started.values())
        ended = [] if whole else list(self._ended)
        self._started.clear()
        self._ended.clear()
        if not (whole or started or ended):
            return None
        return CarriedReport(self.instance, whole, started, ended)


@dataclass(slots=True)
class Wards:
    """Generations of the instances that this one guards."""

    _held: dict[str, dict[str, CarriedGeneration]] = field(default_factory=dict)

    def take(self, report: CarriedReport) -> None:
        """Take a report of a ward."""
        held = {} if report.whole else self._held.get(report.instance, {})
        held.update((carried.generation, carried) for carried in report.started)
        for generation in report.ended:
            held.pop(generation, None)
        self._held[report.instance] = held

    def orphans(self, silent: Iterable[str]) -> list[CarriedGeneration]:
        """Take out and return the generations of wards that have gone silent."""
        return [c for name in silent for c in self._held.pop(name, {}).values()]


def choose_guardian(own: str, own_zone: str, peers: Sequence[tuple[str, str]]) -> str:
    """Return the living peer that guards an instance, or an empty string.

    Parameters
    ----------
    own, own_zone : str
        The instance and its availability zone.
    peers : sequence of (str, str)
        Name and availability zone of each living peer.

    Returns
    -------
    str
        The next name in the own zone, in order and round; else in any zone.
    """
    near = sorted(name for name, zone in peers if zone == own_zone)
    names = near or sorted(name for name, _ in peers)
    later = [name for name in names if name > own]
    return (later or names or [""])[0]
