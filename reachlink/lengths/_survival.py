"""Survival curves of answer lengths."""

from collections.abc import Sequence

from reachlink.lengths._buckets import BUCKET_COUNT, bucket_of, bucket_start, bucket_width

_MIN_SURVIVAL = 1e-9


class SurvivalCurve:
    """Probability that an answer is longer than a given length.

    Parameters
    ----------
    hazards : sequence of float, shape (BUCKET_COUNT,)
        For each bucket, the probability that an answer that reaches it ends in it.

    Notes
    -----
    The curve is linear within a bucket.
    """

    __slots__ = ("_survival",)

    def __init__(self, hazards: Sequence[float]) -> None:
        survival = [1.0]
        for hazard in hazards:
            survival.append(max(_MIN_SURVIVAL, survival[-1] * (1.0 - hazard)))
        self._survival = survival

    def longer_than(self, length: int) -> float:
        """Return the probability that an answer has more than `length` tokens."""
        bucket = bucket_of(length)
        start = self._survival[bucket]
        end = self._survival[bucket + 1]
        share = (length - bucket_start(bucket)) / bucket_width(bucket)
        return start + (end - start) * min(1.0, share)

    def still_running(self, tokens: int, more: int) -> float:
        """Return the probability that an answer of `tokens` tokens has `more` further tokens."""
        return self.longer_than(tokens + more) / max(_MIN_SURVIVAL, self.longer_than(tokens))

    def expected_remaining(self, tokens: int) -> float:
        """Return the expected number of further tokens of an answer of `tokens` tokens."""
        first = bucket_of(tokens)
        alive = max(_MIN_SURVIVAL, self.longer_than(tokens))
        total = 0.0
        left = alive
        position = tokens
        for bucket in range(first, BUCKET_COUNT):
            end = bucket_start(bucket) + bucket_width(bucket)
            right = self._survival[bucket + 1]
            total += (end - position) * (left + right) / 2
            position, left = end, right
        return total / alive
