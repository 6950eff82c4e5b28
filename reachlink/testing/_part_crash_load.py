"""Requests that share a prompt part under which replicas crash, in simulated time.

Sound requests and requests with the part arrive at a steady rate and share a first part and
others. A replica crashes as it begins to answer a request with the part, ends all that runs
there, and is back after some seconds. What one instance finds out is known to the others after
a delay. What is held is decided in one of several ways.
"""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from reachlink.quarantine import EARLY_CRASH_S, CrashNote, Quarantine, QuarantineNote, Verdict
from reachlink.upstreams import RequestFeatures

# Length of a run in seconds.
LENGTH_S = 60.0
# Time that a replica is away after a crash, in seconds.
BACK_AFTER_S = 3.0
# Longest time until a replica begins an answer, and mean length of an answer, in seconds.
MAX_BEGIN_S = 0.6
ANSWER_S = 4.0
# Time after the fifth crash from which on requests with the part at replicas are counted, and
# time after the fifth from which on sound requests that are refused are, in seconds.
CONTACT_S = 3.0
RECOVERED_S = 6.0
FIFTH = 5
# Sound requests per second and replica.
SOUND_PER_REPLICA_S = 1.0
# Numbers of first parts and of further parts that requests share.
FIRST_PARTS = 3
OTHER_PARTS = 40
_FIRST, _OTHER, _DEADLY, _OWN = 1_000, 2_000, 3_000, 10_000


@dataclass(slots=True, frozen=True)
class PartLoad:
    """What is played.

    Attributes
    ----------
    replicas : int
        Number of replicas.
    told_after_s : float
        Time until all instances know what one found out, in seconds.
    deadly_per_s : float
        Requests with the part per second; 0 for none.
    deadly : int
        Number of such parts; each request has one.
    crashes_per_s : float
        Crashes of replicas for other reasons per second.
    deadly_from_s : float
        Time from which on requests with the part come, in seconds.
    """

    replicas: int
    told_after_s: float
    deadly_per_s: float
    deadly: int = 1
    crashes_per_s: float = 0.0
    deadly_from_s: float = 5.0


@dataclass(slots=True, frozen=True)
class PartWay:
    """A way to decide what is held.

    Attributes
    ----------
    parts : bool
        Whether parts of prompts are looked at, besides whole requests.
    sound : bool
        Whether sound answers clear what they have in common with crashed requests.
    trust : bool
        Whether crashes weigh less against parts with sound answers not long before.
    beside : bool
        Whether a verdict names all digests that stood beside the blamed one in each crash, rather
        than the blamed one alone.
    crashes_to_hold : float
        Weight of the crashes from which on something is held.
    """

    parts: bool = True
    sound: bool = True
    trust: bool = True
    beside: bool = True
    crashes_to_hold: float = 3.0


@dataclass(slots=True, eq=False)
class _Run:
    features: RequestFeatures
    # The part under which replicas crash, if the request has one.
    deadly: int | None
    sent_at: float
    begun_at: float


@dataclass
class _World:
    load: PartLoad
    way: PartWay
    random: Random
    queue: list[tuple[float, int, str, object]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=itertools.count)
    runs: dict[int, list[_Run]] = field(default_factory=dict)
    down: set[int] = field(default_factory=set)
    # Times of crashes under each part, and times at which requests with it were sent.
    crashed_at: dict[int, list[float]] = field(default_factory=dict)
    deadly_at: dict[int, list[float]] = field(default_factory=dict)
    # Times of sound requests, and whether they were held.
    sound: list[tuple[float, bool]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.quarantine = Quarantine(Random(1), self.way.crashes_to_hold)
        self.runs = {replica: [] for replica in range(self.load.replicas)}

    def at(self, when: float, what: str, about: object = None) -> None:
        """Have something happen."""
        heapq.heappush(self.queue, (when, next(self.order), what, about))

    def play(self) -> None:
        """Play the load to its end."""
        self.at(0.0, "sound")
        if self.load.deadly_per_s:
            self.at(self.load.deadly_from_s, "deadly")
        if self.load.crashes_per_s:
            self.at(self.random.expovariate(self.load.crashes_per_s), "crash")
        while self.queue and self.queue[0][0] < LENGTH_S:
            now, _, what, about = heapq.heappop(self.queue)
            getattr(self, f"_on_{what}")(now, about)

    def _on_sound(self, now: float, about: object) -> None:
        self._send(now, self._features(None), None)
        rate = SOUND_PER_REPLICA_S * self.load.replicas
        self.at(now + self.random.expovariate(rate), "sound")

    def _on_deadly(self, now: float, about: object) -> None:
        part = _DEADLY + self.random.randrange(self.load.deadly)
        self._send(now, self._features(part), part)
        self.at(now + self.random.expovariate(self.load.deadly_per_s), "deadly")

    def _features(self, deadly: int | None) -> RequestFeatures:
        own = _OWN + next(self.order)
        if not self.way.parts:
            return RequestFeatures(own)
        first = _FIRST + self.random.randrange(FIRST_PARTS)
        other = _OTHER + self.random.randrange(OTHER_PARTS)
        parts = (first, other) if deadly is None else (first, deadly, other)
        return RequestFeatures(own, (*parts, -own))

    def _send(self, now: float, features: RequestFeatures, deadly: int | None) -> None:
        held = self._is_held(features, now)
        if deadly is None:
            self.sound.append((now, held))
        up = [replica for replica in self.runs if replica not in self.down]
        if held or not up:
            return
        if deadly is not None:
            self.deadly_at.setdefault(deadly, []).append(now)
        replica = self.random.choice(up)
        run = _Run(features, deadly, now, now + MAX_BEGIN_S * self.random.random())
        self.runs[replica].append(run)
        self.at(run.begun_at, "begin", (replica, run))

    def _is_held(self, features: RequestFeatures, now: float) -> bool:
        digests = set(features.digests())
        return any(self._holds(v, digests) for v in self.quarantine.held(now))

    def _holds(self, verdict: Verdict, digests: set[int]) -> bool:
        held = verdict.digests if self.way.beside else {min(verdict.digests)}
        return digests.issuperset(held)

    def _on_begin(self, now: float, about: tuple[int, _Run]) -> None:
        replica, run = about
        if run not in self.runs[replica]:
            return
        if run.deadly is not None:
            if not self._is_held(run.features, now):
                self._crash(now, replica, run.deadly)
            return
        length_s = self.random.expovariate(1.0 / ANSWER_S)
        if length_s > EARLY_CRASH_S:
            self.at(now + EARLY_CRASH_S, "progress", about)
        self.at(now + length_s, "end", about)

    def _on_progress(self, now: float, about: tuple[int, _Run]) -> None:
        self._note_sound(now, about, complete=False)

    def _on_end(self, now: float, about: tuple[int, _Run]) -> None:
        self._note_sound(now, about, complete=True)
        replica, run = about
        if run in self.runs[replica]:
            self.runs[replica].remove(run)

    def _note_sound(self, now: float, about: tuple[int, _Run], complete: bool) -> None:
        replica, run = about
        if run in self.runs[replica]:
            self.at(now + self.load.told_after_s, "told_sound", (run, complete))

    def _on_told_sound(self, now: float, about: tuple[_Run, bool]) -> None:
        run, complete = about
        # An answer that began before all crashes clears none, and is remembered.
        begun_at = run.begun_at if self.way.sound else float("-inf")
        self.quarantine.note_sound(run.features, begun_at, complete, now)

    def _on_crash(self, now: float, about: object) -> None:
        replica = self.random.randrange(self.load.replicas)
        if replica not in self.down:
            self._crash(now, replica)
        self.at(now + self.random.expovariate(self.load.crashes_per_s), "crash")

    def _crash(self, now: float, replica: int, part: int | None = None) -> None:
        if part is not None:
            self.crashed_at.setdefault(part, []).append(now)
        self.down.add(replica)
        ended, self.runs[replica] = self.runs[replica], []
        self.at(now + BACK_AFTER_S, "back", replica)
        self.at(now + self.load.told_after_s, "told_crash", (replica, now, ended))

    def _on_told_crash(self, now: float, about: tuple[int, float, list[_Run]]) -> None:
        replica, at, ended = about
        for run in ended:
            late = at - run.begun_at > EARLY_CRASH_S
            if self.way.trust:
                self.quarantine.note_crash(run.features, str(replica), run.sent_at, at, late, now)
            else:
                self._note_untrusted(run, str(replica), at, late, now)

    def _note_untrusted(self, run: _Run, replica: str, at: float, late: bool, now: float) -> None:
        """Note a crash like another instance, whose sound answers are not known here."""
        features = run.features
        crash = CrashNote(
            next(self.order),
            features.fingerprint,
            replica,
            at - run.sent_at,
            now - at,
            late,
            features.parts,
        )
        self.quarantine.take(QuarantineNote(crashes=[crash]), now)

    def fifth(self, part: int) -> float:
        """Return the time of the fifth crash under a part, or of the last one if fewer."""
        return self.crashed_at[part][:FIFTH][-1]

    def late(self, part: int) -> int:
        """Return the number of requests with a part sent `CONTACT_S` after the fifth crash."""
        if len(self.crashed_at[part]) < FIFTH:
            return 0
        since = self.fifth(part) + CONTACT_S
        return sum(at > since for at in self.deadly_at[part])

    def _on_back(self, now: float, replica: int) -> None:
        self.down.discard(replica)


def measure_parts(load: PartLoad, way: PartWay, seeds: int) -> dict[str, float]:
    """Return the means over some seeds.

    Returns
    -------
    dict of str to float
        Replicas that crashed under each part, requests with the part that were sent later than
        `CONTACT_S` after the fifth crash, and the share of sound requests held: in all, and from
        `RECOVERED_S` after the fifth crash, or after the last one if there are fewer.
    """
    crashes = late = held = held_after = 0.0
    for seed in range(seeds):
        world = _World(load, way, Random(seed))
        world.play()
        crashes += sum(len(times) for times in world.crashed_at.values())
        late += sum(world.late(part) for part in world.crashed_at)
        held += _share([is_held for _, is_held in world.sound])
        fifth = max((world.fifth(part) for part in world.crashed_at), default=0.0)
        after = [is_held for at, is_held in world.sound if at > fifth + RECOVERED_S]
        held_after += _share(after)
    return {
        "crashes_a_part": round(crashes / seeds / max(1, load.deadly), 2),
        "late": round(late / seeds, 2),
        "sound_held": round(held / seeds, 4),
        "sound_held_after": round(held_after / seeds, 4),
    }


def _share(flags: list[bool]) -> float:
    return sum(flags) / len(flags) if flags else 0.0
