"""What entry instances tell each other about once a second; pure."""

from dataclasses import dataclass, field

import msgspec

from reachlink.pacing import LimitUpdate
from reachlink.placement import MemoryProfile
from reachlink.quarantine import QuarantineNote

# A digest this old says nothing any more: its sender is dead or cut off.
DIGEST_LIFETIME_S = 4.0


class ReplicaLoad(msgspec.Struct, array_like=True, frozen=True):
    """What one entry instance has placed on one replica, in whole tokens."""

    replica: str
    count: int
    mean: list[int]
    deviation: list[int]

    @classmethod
    def of_profile(cls, replica: str, profile: MemoryProfile) -> "ReplicaLoad":
        """Return the rounded form of a profile."""
        mean = [round(value) for value in profile.mean]
        deviation = [round(value**0.5) for value in profile.variance]
        return cls(replica, round(profile.count), mean, deviation)

    def profile(self) -> MemoryProfile:
        """Return the profile that this stands for."""
        mean = [float(value) for value in self.mean]
        variance = [float(value) ** 2 for value in self.deviation]
        return MemoryProfile(mean, variance, float(self.count))


class Digest(msgspec.Struct, array_like=True, frozen=True):
    """State of one entry instance.

    ``demands`` are those of limited workspaces, ``ready`` tells whether the
    instance serves, ``quarantine`` what it learned of crashes lately, ``limits`` what replicas
    take from all instances together.
    """

    instance: str
    availability_zone: str
    revision: int
    ready: bool
    loads: list[ReplicaLoad]
    demands: dict[str, float]
    quarantine: QuarantineNote = QuarantineNote()
    limits: list[LimitUpdate] = []


class PlacementNote(msgspec.Struct, array_like=True, frozen=True):
    """One placement, told at once: a digest a second is too late for a burst."""

    instance: str
    load: ReplicaLoad


@dataclass(slots=True)
class _Held:
    digest: Digest
    at: float
    notes: list[ReplicaLoad] = field(default_factory=list)


class DigestBook:
    """The latest digest of each other entry instance.

    An availability zone whose instances all fall silent is taken for cut off,
    not for dead: it keeps its part of the limits until it is heard again.

    Parameters
    ----------
    zone : str
        The own availability zone, which is never taken for cut off.
    """

    def __init__(self, zone: str = "") -> None:
        self._zone = zone
        self._held: dict[str, _Held] = {}
        self._cut: dict[str, list[Digest]] = {}

    def take(self, digest: Digest, now: float) -> None:
        """Take a digest that just arrived."""
        self._held[digest.instance] = _Held(digest, now)
        self._cut.pop(digest.availability_zone, None)

    def take_note(self, note: PlacementNote) -> bool:
        """Take a placement that its instance's next digest will include."""
        held = self._held.get(note.instance)
        if held is None:
            return False
        held.notes.append(note.load)
        return True

    def drop_old(self, now: float) -> list[str]:
        """Forget silent instances and return their names."""
        silent = [n for n, h in self._held.items() if now - h.at > DIGEST_LIFETIME_S]
        gone = [self._held.pop(name).digest for name in silent]
        alive = {h.digest.availability_zone for h in self._held.values()} | {self._zone}
        for digest in gone:
            zone = digest.availability_zone
            if zone not in alive:
                self._cut.setdefault(zone, []).append(digest)
        return silent

    def last_heard(self, instance: str) -> float:
        """Return when an instance told something last, in monotonic seconds."""
        held = self._held.get(instance)
        return held.at if held is not None else float("-inf")

    def limit_instances(self) -> int:
        """Return how many entry instances share a limit, this one included."""
        return len(self._held) + sum(len(cut) for cut in self._cut.values()) + 1

    def digests(self) -> list[Digest]:
        """Return the digests of all live instances."""
        return [held.digest for held in self._held.values()]

    def newest_revision(self) -> int:
        """Return the newest settings revision that any instance has told of."""
        return max((h.digest.revision for h in self._held.values()), default=0)

    def others_load(self) -> dict[str, MemoryProfile]:
        """Return the sum of what the others have placed, by replica."""
        loads: dict[str, MemoryProfile] = {}
        for held in self._held.values():
            for load in (*held.digest.loads, *held.notes):
                loads.setdefault(load.replica, MemoryProfile()).add(load.profile())
        return loads

    def others_demand(self) -> dict[str, float]:
        """Return the sum of what the others see or saw when cut off, by limited workspace."""
        demands: dict[str, float] = {}
        cut = [digest for digests in self._cut.values() for digest in digests]
        for digest in (*self.digests(), *cut):
            for key, demand in digest.demands.items():
                demands[key] = demands.get(key, 0.0) + demand
        return demands
