"""Online estimation of answer lengths from censored observations.

For each key, the estimator counts the answers that reached each length bucket and those that
ended in it, which gives the hazard of each bucket as in the Kaplan-Meier estimator [1]_: an
answer that is still growing, or was cut off, counts for the buckets that it has reached and not
for later ones. Counts decay with each finished answer, so that the estimate follows drift. The
hazards of a key with few observations shrink towards those of its parent.

References
----------
.. [1] E. L. Kaplan, P. Meier, "Nonparametric estimation from incomplete
   observations", J. Amer. Statist. Assoc. 53 (1958).
"""

from __future__ import annotations

from array import array
from collections import OrderedDict
from dataclasses import dataclass, field

from reachlink.lengths._buckets import BUCKET_COUNT, bucket_of
from reachlink.lengths._survival import SurvivalCurve

# Prior probability that an answer that reaches a bucket ends in it.
PRIOR_HAZARD = 0.25
# Weights of the prior and of the parent's hazards, in observations.
PRIOR_STRENGTH = 6.0
PARENT_STRENGTH = 10.0
# Factor by which counts decay with each finished answer.
DECAY = 0.997
MAX_KEYS = 2048
# Finished answers after which a cached survival curve is computed again.
REFRESH_OBSERVATIONS = 8


@dataclass(slots=True, frozen=True)
class LengthKey:
    """Group of answers with one length distribution; an empty workspace means all workspaces."""

    service: str
    workspace: str = ""

    def parent(self) -> LengthKey | None:
        """Return the more general key to fall back to, or None for the root."""
        if self.workspace:
            return LengthKey(self.service)
        return LengthKey("") if self.service else None


def _zeros() -> array[float]:
    return array("d", bytes(8 * BUCKET_COUNT))


@dataclass(slots=True)
class _Counts:
    """Observations of one key, with the survival curve computed from them.

    Attributes
    ----------
    reached, ended : array of float, shape (BUCKET_COUNT,)
        Decayed number of answers that reached each bucket, and that ended in it.
    observations : int
        Number of finished answers.
    curve : SurvivalCurve, optional
        Survival curve that was last computed.
    curve_observations : int
        Value of `observations` when `curve` was computed.
    """

    reached: array[float] = field(default_factory=_zeros)
    ended: array[float] = field(default_factory=_zeros)
    observations: int = 0
    curve: SurvivalCurve | None = None
    curve_observations: int = -1


class LengthEstimator:
    """Learned length distributions of all keys.

    Parameters
    ----------
    max_keys : int
        Maximum number of keys held; the least recently used are dropped first.

    Examples
    --------
    >>> lengths = LengthEstimator()
    >>> key = LengthKey("chat", "w1")
    >>> for _ in range(100):
    ...     lengths.observe(key, 0, 40, ended=True)
    >>> lengths.curve(key).longer_than(64) < 0.1
    True
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._counts: OrderedDict[LengthKey, _Counts] = OrderedDict()

    def __len__(self) -> int:
        return len(self._counts)

    def observe(self, key: LengthKey, previous_tokens: int, tokens: int, ended: bool) -> None:
        """Record the progress of an answer since it was last reported.

        Parameters
        ----------
        key : LengthKey
            Key of the answer; the parents of the key learn from it as well.
        previous_tokens : int
            Tokens at the last report; 0 for a new answer.
        tokens : int
            Tokens now.
        ended : bool
            Whether the answer ended on its own at this length.
        """
        level: LengthKey | None = key
        while level is not None:
            self._observe_one(level, previous_tokens, tokens, ended)
            level = level.parent()

    def curve(self, key: LengthKey) -> SurvivalCurve:
        """Return the survival curve of a key, or of its nearest known parent if the key is new."""
        counts = self._counts.get(key)
        if counts is None:
            parent = key.parent()
            return self.curve(parent) if parent else SurvivalCurve([PRIOR_HAZARD] * BUCKET_COUNT)
        self._counts.move_to_end(key)
        stale = counts.observations - counts.curve_observations >= REFRESH_OBSERVATIONS
        if counts.curve is None or stale:
            counts.curve = SurvivalCurve(self._hazards(key))
            counts.curve_observations = counts.observations
        return counts.curve

    def _observe_one(self, key: LengthKey, previous_tokens: int, tokens: int, ended: bool) -> None:
        counts = self._get_or_create(key)
        last = bucket_of(tokens)
        # An answer that is in a bucket has reached it; the bucket of the last report is already
        # counted.
        first = bucket_of(previous_tokens) + 1 if previous_tokens else 0
        for bucket in range(first, last + 1):
            counts.reached[bucket] += 1.0
        if ended:
            counts.ended[last] += 1.0
            counts.observations += 1
            _decay(counts)

    def _get_or_create(self, key: LengthKey) -> _Counts:
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = _Counts()
            if len(self._counts) > self._max_keys:
                self._counts.popitem(last=False)
        self._counts.move_to_end(key)
        return counts

    def _hazards(self, key: LengthKey) -> list[float]:
        parent = key.parent()
        if parent is None:
            base, strength = [PRIOR_HAZARD] * BUCKET_COUNT, PRIOR_STRENGTH
        else:
            base, strength = self._hazards(parent), PARENT_STRENGTH
        counts = self._counts.get(key)
        if counts is None:
            return base
        return [
            (ended + strength * prior) / (reached + strength)
            for ended, reached, prior in zip(counts.ended, counts.reached, base, strict=True)
        ]


def _decay(counts: _Counts) -> None:
    for bucket in range(BUCKET_COUNT):
        counts.reached[bucket] *= DECAY
        counts.ended[bucket] *= DECAY
