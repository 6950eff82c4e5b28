"""Crashes known to one instance, detected by itself or by peers; does no I/O."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from reachlink.quarantine._judging import CRASHES_TO_HOLD, Involvement, Verdict, judge
from reachlink.quarantine._notes import ClearanceNote, CrashNote, QuarantineNote

# Time in seconds for which a crash counts. A crash has its cause in the weights or the
# program of the replica, which does not change within minutes, and each crash ends all
# requests at the replica. An hour after its first crash, a held request gets one more
# attempt; a further crash holds it again.
CRASH_RETENTION_S = 3600.0
# Time in seconds for which a new note is repeated to peers. Several messages carry it, so
# that one of them may be lost; further losses are detected by differing digests.
NOTE_REPEAT_S = 0.4
# Maximum number of involvements kept, at about 250 B each. A crash adds one for each
# request that ran at the replica. If there are too many, the requests with the fewest
# involvements are dropped first, and held requests only after all others.
MAX_KEPT = 2000


@dataclass(slots=True, frozen=True)
class _Clearance:
    """Ids of crash notes that no longer count; times are monotonic, in seconds."""

    void: tuple[int, ...]
    at: float


class Quarantine:
    """Requests that are held and the crashes that they are held for.

    Parameters
    ----------
    random : random.Random
        Generator of the ids of notes.
    crashes_to_hold : float
        Total weight of crashes at which a request is held.
    kept_s : float
        Time in seconds for which a crash counts.

    Examples
    --------
    >>> quarantine = Quarantine(Random(1))
    >>> for second in (1.0, 2.0, 3.0):
    ...     quarantine.note_crash(7, "r1", second - 0.1, second, False, second)
    >>> quarantine.verdict(7, 3.0) is not None
    True
    >>> quarantine.clear(7, 4.0)
    True
    >>> quarantine.verdict(7, 4.0) is None
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
        # Ids of crash notes by fingerprint; read at the end of every answer.
        self._crash_ids: dict[int, set[int]] = {}
        # Times and ids of recent notes, and the digest of all notes; both are read for
        # every message to peers.
        self._recent: deque[tuple[float, int]] = deque()
        self._digest = 0
        self._clearances: dict[int, _Clearance] = {}
        # Ids of crash notes that no longer count, including notes not yet received.
        self._void: set[int] = set()
        self._held: dict[int, Verdict] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def fingerprints(self) -> set[int]:
        """Fingerprints of the requests that a crash counts against."""
        return set(self._crash_ids)

    def held(self, now: float) -> list[Verdict]:
        """Return the verdicts on all held requests."""
        self._forget_old(now)
        return list(self._held.values())

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a crash counts against a request."""
        return fingerprint in self._crash_ids

    def verdict(self, fingerprint: int, now: float) -> Verdict | None:
        """Return the verdict on a held request, or None if the request is not held."""
        verdict = self._held.get(fingerprint)
        if verdict is None or verdict.first_at > now - self._kept_s:
            return verdict
        self._forget_old(now)
        return self._held.get(fingerprint)

    def listen(self, listener: Callable[[], None]) -> None:
        """Add a listener that is called after every change of the known crashes."""
        self._listeners.append(listener)

    def note_crash(
        self,
        fingerprint: int,
        replica: str,
        sent_at: float,
        crashed_at: float,
        begun: bool,
        now: float,
    ) -> None:
        """Record that a replica crashed while a request of this instance was there.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request; 0 if the request has none.
        replica : str
            Name of the replica.
        sent_at, crashed_at : float
            Times at which the request was sent and at which the replica crashed;
            monotonic, in seconds.
        begun : bool
            Whether a part of the answer had arrived.
        now : float
            Monotonic time in seconds.
        """
        if not fingerprint:
            return
        note_id = self._random.getrandbits(63)
        self._add(Involvement(note_id, fingerprint, replica, sent_at, crashed_at, begun), now)
        self._on_change(now)

    def clear(self, fingerprint: int, now: float) -> bool:
        """Clear a request after an answer or a release; return whether it was a suspect."""
        crash_ids = tuple(self._crash_ids.get(fingerprint, ()))
        if not crash_ids:
            return False
        note_id = self._random.getrandbits(63)
        self._take_clearance(ClearanceNote(note_id, 0.0, crash_ids), now)
        self._on_change(now)
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

    def _note(self, now: float, note_ids: list[int]) -> QuarantineNote:
        involvements = [self._involvements[n] for n in note_ids if n in self._involvements]
        clearances = [(n, self._clearances[n]) for n in note_ids if n in self._clearances]
        return QuarantineNote(
            self._digest,
            [_crash_note(i, now) for i in involvements],
            [ClearanceNote(n, round(now - c.at, 3), c.void) for n, c in clearances],
        )

    def _take_crash(self, note: CrashNote, now: float) -> bool:
        known = note.note_id in self._involvements or note.note_id in self._void
        if known or note.age_s >= self._kept_s:
            return False
        crashed_at = now - note.age_s
        sent_at = crashed_at - note.ran_s
        involvement = Involvement(
            note.note_id, note.fingerprint, note.replica, sent_at, crashed_at, note.begun
        )
        self._add(involvement, now)
        return True

    def _take_clearance(self, note: ClearanceNote, now: float) -> bool:
        if note.note_id in self._clearances or note.age_s >= self._kept_s:
            return False
        self._clearances[note.note_id] = _Clearance(note.void, now - note.age_s)
        self._add_note_id(note.note_id, now)
        self._void.update(note.void)
        self._drop(note_id for note_id in note.void if note_id in self._involvements)
        return True

    def _add(self, involvement: Involvement, now: float) -> None:
        self._involvements[involvement.note_id] = involvement
        self._crash_ids.setdefault(involvement.fingerprint, set()).add(involvement.note_id)
        self._add_note_id(involvement.note_id, now)

    def _add_note_id(self, note_id: int, now: float) -> None:
        self._recent.append((now, note_id))
        self._digest ^= note_id

    def _drop(self, note_ids: Iterable[int]) -> None:
        for note_id in list(note_ids):
            involvement = self._involvements.pop(note_id)
            self._digest ^= note_id
            rest = self._crash_ids[involvement.fingerprint]
            rest.discard(note_id)
            if not rest:
                del self._crash_ids[involvement.fingerprint]

    def _on_change(self, now: float) -> None:
        self._forget_old(now)
        self._enforce_bounds()
        self._judge()
        for listener in self._listeners:
            listener()

    def _judge(self) -> None:
        self._held = judge(self._involvements.values(), self._crashes_to_hold)

    def _forget_old(self, now: float) -> None:
        since = now - self._kept_s
        old = [i.note_id for i in self._involvements.values() if i.crashed_at <= since]
        if old:
            self._drop(old)
            self._judge()
        self._forget_clearances([n for n, c in self._clearances.items() if c.at <= since])

    def _forget_clearances(self, note_ids: list[int]) -> None:
        for note_id in note_ids:
            self._void.difference_update(self._clearances.pop(note_id).void)
            self._digest ^= note_id

    def _enforce_bounds(self) -> None:
        """Drop involvements of the requests with the fewest of them, the oldest first."""
        excess = len(self._involvements) - MAX_KEPT
        if excess > 0:
            drop_order = sorted(
                self._involvements.values(),
                key=lambda i: (len(self._crash_ids[i.fingerprint]), i.crashed_at),
            )
            self._drop(i.note_id for i in drop_order[:excess])
        if len(self._clearances) > MAX_KEPT:
            oldest = sorted(self._clearances, key=lambda note_id: self._clearances[note_id].at)
            self._forget_clearances(oldest[:-MAX_KEPT])


def _crash_note(involvement: Involvement, now: float) -> CrashNote:
    return CrashNote(
        involvement.note_id,
        involvement.fingerprint,
        involvement.replica,
        round(involvement.crashed_at - involvement.sent_at, 3),
        round(now - involvement.crashed_at, 3),
        involvement.begun,
    )
