"""Crashes known to one instance, detected by itself or by peers; does no I/O."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from reachlink.quarantine._judging import CRASHES_TO_HOLD, Involvement, Verdict, judge
from reachlink.quarantine._notes import ClearanceNote, CrashNote, QuarantineNote
from reachlink.upstreams import RequestFeatures

# Time in seconds for which a crash counts. A crash has its cause in the weights or the
# program of the replica, which does not change within minutes, and each crash ends all
# requests at the replica. An hour after its first crash, a held request gets one more
# attempt; a further crash holds it again.
CRASH_RETENTION_S = 3600.0
# Time in seconds for which a new note is repeated to peers. Several messages carry it, so
# that one of them may be lost; further losses are detected by differing digests.
NOTE_REPEAT_S = 0.4
# Maximum number of involvements kept. A crash adds one for each request that ran at the replica.
# If there are too many, those whose digests are in the fewest crashes are dropped first, and held
# requests only after all others.
MAX_KEPT = 1000
# Time in seconds for which a sound answer speaks for the parts of its prompt at later crashes, and
# maximum number of digests for which it is remembered.
SOUND_MEMORY_S = 60.0
MAX_SOUND = 8192
# Stands for all digests of a request in the pairs of crash notes and digests that are cleared.
_ALL = 0


@dataclass(slots=True, frozen=True)
class _Clearance:
    """Crash notes that no longer count against digests; times are monotonic, in seconds."""

    void: tuple[int, ...]
    digests: tuple[int, ...]
    at: float

    def pairs(self) -> set[tuple[int, int]]:
        """Return the pairs of an id of a crash note and a digest."""
        return {(note_id, d) for note_id in self.void for d in self.digests or (_ALL,)}


class Quarantine:
    """Requests that are held and the crashes that they are held for.

    Parameters
    ----------
    random : random.Random
        Generator of the ids of notes.
    crashes_to_hold : float
        Total weight of crashes at which requests are held.
    kept_s : float
        Time in seconds for which a crash counts.

    Examples
    --------
    >>> from reachlink.upstreams import RequestFeatures
    >>> quarantine = Quarantine(Random(1))
    >>> for second in (1.0, 2.0, 3.0):
    ...     features = RequestFeatures(fingerprint=int(second), parts=(7,))
    ...     quarantine.note_crash(features, f"r{second}", second - 0.1, second, False, second)
    >>> quarantine.verdict(RequestFeatures(fingerprint=9, parts=(7, 8)), 3.0) is not None
    True
    >>> quarantine.verdict(RequestFeatures(fingerprint=9, parts=(8,)), 3.0) is None
    True
    """

    def __init__(
        self,
        random: Random,
        crashes_to_hold: float = CRASHES_TO_HOLD,
        kept_s: float = CRASH_RETENTION_S,
    ) -> None:
        self._random = random
        self._crashes_to_hold = crashes_to_hold
        self._kept_s = kept_s
        self._involvements: dict[int, Involvement] = {}
        # Ids of the crash notes that count against each digest; read at the end of every answer.
        self._crash_ids: dict[int, set[int]] = {}
        # Digests that enough crash notes count against to be held.
        self._frequent: set[int] = set()
        # Times and ids of recent notes, and the digest of all notes; both are read for
        # every message to peers.
        self._recent: deque[tuple[float, int]] = deque()
        self._digest = 0
        self._clearances: dict[int, _Clearance] = {}
        # Ids of crash notes, including notes not yet received, with digests against which they
        # no longer count.
        self._cleared: set[tuple[int, int]] = set()
        # Times of the last sound answers at this instance by digest of a part, the oldest first.
        self._sound_at: dict[int, float] = {}
        # Verdicts by fingerprint, and whether crashes or answers have become known since.
        self._held: dict[int, Verdict] = {}
        self._outdated = False
        self._listeners: list[Callable[[], None]] = []

    @property
    def suspects(self) -> set[int]:
        """Digests that a crash counts against."""
        return set(self._crash_ids)

    @property
    def crashes_to_hold(self) -> float:
        """Total weight of crashes at which requests are held."""
        return self._crashes_to_hold

    def held(self, now: float) -> list[Verdict]:
        """Return all verdicts."""
        self._forget_old(now)
        return list(self._verdicts().values())

    def crash_count(self, digest: int) -> int:
        """Return the number of crash notes that count against a digest."""
        return len(self._crash_ids.get(digest, ()))

    def verdict(self, features: RequestFeatures, now: float) -> Verdict | None:
        """Return the verdict by which a request is held, or None if it is not held."""
        if not self._verdicts():
            return None
        verdict = self._find(features)
        if verdict is None or verdict.first_at > now - self._kept_s:
            return verdict
        self._forget_old(now)
        return self._find(features)

    def remaining_s(self, verdict: Verdict, now: float) -> float:
        """Return the time in seconds until the first crash of a verdict counts no more."""
        return max(0.0, verdict.first_at + self._kept_s - now)

    def listen(self, listener: Callable[[], None]) -> None:
        """Add a listener that is called after every change of the known crashes."""
        self._listeners.append(listener)

    def note_crash(
        self,
        features: RequestFeatures,
        replica: str,
        sent_at: float,
        crashed_at: float,
        late: bool,
        now: float,
    ) -> None:
        """Record that a replica crashed while a request of this instance was there.

        Parameters
        ----------
        features : RequestFeatures
            Digests of the request and of what it shares with others.
        replica : str
            Name of the replica.
        sent_at, crashed_at : float
            Times at which the request was sent and at which the replica crashed;
            monotonic, in seconds.
        late : bool
            Whether the answer had been arriving for longer than `EARLY_CRASH_S`.
        now : float
            Monotonic time in seconds.
        """
        if not features.digests():
            return
        note_id = self._random.getrandbits(63)
        trusted = self._trusted(features, crashed_at)
        self._add(Involvement(note_id, features, replica, sent_at, crashed_at, late, trusted), now)
        self._on_change(now)

    def note_sound(
        self, features: RequestFeatures, begun_at: float, complete: bool, now: float
    ) -> bool:
        """Clear the digests of a request that got a sound answer; return whether any was a suspect.

        Parameters
        ----------
        features : RequestFeatures
            Digests of the request and of what it shares with others.
        begun_at : float
            Time at which the replica began the answer; monotonic, in seconds. The crashes
            before it no longer count: what crashes replicas has not crashed this one.
        complete : bool
            Whether the answer is complete. One that has only been arriving for longer than
            `EARLY_CRASH_S` clears of the crashes that the start of an answer may have caused.
        now : float
            Monotonic time in seconds.
        """
        self._remember_sound(features, now)
        digests = tuple(d for d in features.digests() if d in self._crash_ids)
        void: set[int] = set()
        for digest in digests:
            void.update(n for n in self._crash_ids[digest] if self._clears(n, begun_at, complete))
        if not void:
            return False
        self._clear(tuple(sorted(void)), digests, now)
        return True

    def release(self, fingerprint: int, now: float) -> bool:
        """End the verdict with a fingerprint; return whether there was one.

        Its crashes no longer count against anything.
        """
        verdict = self._verdicts().get(fingerprint)
        if verdict is None:
            return False
        note_ids = {i.note_id for crash in verdict.crashes for i in crash.involvements}
        for digest in verdict.digests:
            note_ids.update(self._crash_ids[digest])
        self._clear(tuple(sorted(note_ids)), (), now)
        return True

    def take(self, note: QuarantineNote, now: float) -> bool:
        """Apply a message of another instance; return whether it contained anything new."""
        news = [self._take_crash(crash, now) for crash in note.crashes]
        news += [self._take_clearance(clearance, now) for clearance in note.clearances]
        if any(news):
            self._on_change(now)
        return any(news)

    def news(self, now: float) -> QuarantineNote:
        """Return a message with the notes of the last `NOTE_REPEAT_S` seconds."""
        while self._recent and self._recent[0][0] < now - NOTE_REPEAT_S:
            self._recent.popleft()
        return self._note(now, [note_id for _, note_id in self._recent])

    def everything(self, now: float) -> QuarantineNote:
        """Return a message with all known notes."""
        self._forget_old(now)
        return self._note(now, [*self._involvements, *self._clearances])

    def digest(self) -> int:
        """Return a digest that is equal at instances that know the same notes."""
        return self._digest

    def _remember_sound(self, features: RequestFeatures, now: float) -> None:
        for digest in features.shared_digests():
            self._sound_at.pop(digest, None)
            self._sound_at[digest] = now
        while len(self._sound_at) > MAX_SOUND:
            del self._sound_at[next(iter(self._sound_at))]

    def _trusted(self, features: RequestFeatures, crashed_at: float) -> frozenset[int]:
        since = crashed_at - SOUND_MEMORY_S
        shared = features.shared_digests()
        return frozenset(d for d in shared if self._sound_at.get(d, since) > since)

    def _find(self, features: RequestFeatures) -> Verdict | None:
        digests = features.digests()
        for digest in digests:
            verdict = self._verdicts().get(digest)
            if verdict is not None and verdict.digests.issubset(digests):
                return verdict
        return None

    def _clears(self, note_id: int, begun_at: float, complete: bool) -> bool:
        involvement = self._involvements[note_id]
        return involvement.crashed_at < begun_at and (complete or not involvement.late)

    def _clear(self, void: tuple[int, ...], digests: tuple[int, ...], now: float) -> None:
        note_id = self._random.getrandbits(63)
        self._take_clearance(ClearanceNote(note_id, 0.0, void, digests), now)
        self._on_change(now)

    def _note(self, now: float, note_ids: list[int]) -> QuarantineNote:
        involvements = [self._involvements[n] for n in note_ids if n in self._involvements]
        clearances = [(n, self._clearances[n]) for n in note_ids if n in self._clearances]
        return QuarantineNote(
            self._digest,
            [_crash_note(i, now) for i in involvements],
            [ClearanceNote(n, round(now - c.at, 3), c.void, c.digests) for n, c in clearances],
        )

    def _take_crash(self, note: CrashNote, now: float) -> bool:
        if note.note_id in self._involvements or note.age_s >= self._kept_s:
            return False
        features = RequestFeatures(note.fingerprint, note.parts, note.model)
        crashed_at = now - note.age_s
        sent_at = crashed_at - note.ran_s
        shared = enumerate(features.shared_digests())
        trusted = frozenset(d for n, d in shared if note.trusted >> n & 1)
        found = Involvement(
            note.note_id, features, note.replica, sent_at, crashed_at, note.late, trusted
        )
        return self._add(found, now)

    def _take_clearance(self, note: ClearanceNote, now: float) -> bool:
        if note.note_id in self._clearances or note.age_s >= self._kept_s:
            return False
        clearance = _Clearance(note.void, note.digests, now - note.age_s)
        self._clearances[note.note_id] = clearance
        self._add_note_id(note.note_id, now)
        self._cleared.update(clearance.pairs())
        for note_id in note.void:
            if note_id in self._involvements:
                self._remove_cleared(self._involvements[note_id])
        return True

    def _add(self, involvement: Involvement, now: float) -> bool:
        """Add an involvement; return whether it counts against any digest."""
        note_id = involvement.note_id
        suspects = self._uncleared(involvement)
        if not suspects:
            return False
        involvement.suspects = suspects
        self._involvements[note_id] = involvement
        for digest in suspects:
            ids = self._crash_ids.setdefault(digest, set())
            ids.add(note_id)
            if len(ids) >= self._crashes_to_hold:
                self._frequent.add(digest)
        self._add_note_id(note_id, now)
        return True

    def _uncleared(self, involvement: Involvement) -> set[int]:
        note_id = involvement.note_id
        if (note_id, _ALL) in self._cleared:
            return set()
        return {d for d in involvement.suspects if (note_id, d) not in self._cleared}

    def _remove_cleared(self, involvement: Involvement) -> None:
        left = self._uncleared(involvement)
        self._remove_suspects(involvement, involvement.suspects - left)
        if not left:
            self._drop([involvement.note_id])

    def _remove_suspects(self, involvement: Involvement, digests: set[int]) -> None:
        involvement.suspects = involvement.suspects - digests
        for digest in digests:
            ids = self._crash_ids[digest]
            ids.discard(involvement.note_id)
            if len(ids) < self._crashes_to_hold:
                self._frequent.discard(digest)
            if not ids:
                del self._crash_ids[digest]

    def _add_note_id(self, note_id: int, now: float) -> None:
        self._recent.append((now, note_id))
        self._digest ^= note_id

    def _drop(self, note_ids: Iterable[int]) -> None:
        for note_id in list(note_ids):
            involvement = self._involvements.pop(note_id)
            self._digest ^= note_id
            self._remove_suspects(involvement, involvement.suspects)

    def _on_change(self, now: float) -> None:
        self._forget_old(now)
        self._enforce_bounds()
        self._outdated = True
        for listener in self._listeners:
            listener()

    def _verdicts(self) -> dict[int, Verdict]:
        """Return the verdicts; many notes that become known at once are judged together."""
        if self._outdated:
            self._outdated = False
            self._judge()
        return self._held

    def _judge(self) -> None:
        # Only what shares a frequent digest can be held, or be explained by what is.
        note_ids = {n for digest in self._frequent for n in self._crash_ids[digest]}
        involvements = [self._involvements[n] for n in note_ids]
        self._held = judge(involvements, self._crashes_to_hold)

    def _forget_old(self, now: float) -> None:
        since = now - self._kept_s
        old = [i.note_id for i in self._involvements.values() if i.crashed_at <= since]
        if old:
            self._drop(old)
            self._outdated = True
        self._forget_clearances([n for n, c in self._clearances.items() if c.at <= since])

    def _forget_clearances(self, note_ids: list[int]) -> None:
        for note_id in note_ids:
            self._cleared.difference_update(self._clearances.pop(note_id).pairs())
            self._digest ^= note_id

    def _enforce_bounds(self) -> None:
        """Drop involvements whose digests are in the fewest crashes, the oldest first."""
        excess = len(self._involvements) - MAX_KEPT
        if excess > 0:
            drop_order = sorted(self._involvements.values(), key=self._keep_rank)
            self._drop(i.note_id for i in drop_order[:excess])
        if len(self._clearances) > MAX_KEPT:
            oldest = sorted(self._clearances, key=lambda note_id: self._clearances[note_id].at)
            self._forget_clearances(oldest[:-MAX_KEPT])

    def _keep_rank(self, involvement: Involvement) -> tuple[int, float]:
        most = max(len(self._crash_ids[digest]) for digest in involvement.suspects)
        return most, involvement.crashed_at


def _crash_note(involvement: Involvement, now: float) -> CrashNote:
    features = involvement.features
    shared = enumerate(features.shared_digests())
    trusted = sum(1 << n for n, d in shared if d in involvement.trusted)
    return CrashNote(
        involvement.note_id,
        features.fingerprint,
        involvement.replica,
        round(involvement.crashed_at - involvement.sent_at, 3),
        round(now - involvement.crashed_at, 3),
        involvement.late,
        features.parts,
        features.model,
        trusted,
    )
