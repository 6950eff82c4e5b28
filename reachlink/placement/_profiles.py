"""Forecast of the KV cache memory that generations will hold, as an additive vector.

The profile of one generation holds, for a few horizons counted in decoding steps, the mean and
the variance of the memory that it will hold at that time: its prompt and output so far plus one
token per step until then, if it still runs. The profile of a replica is the sum of the profiles
of its generations, whichever instance placed them, so that entry instances exchange sums instead
of lists. The largest value over the horizons forecasts the memory peak.

References
----------
.. [1] R. Gong et al., "Past-Future Scheduler for LLM Serving under SLA
   Guarantees", ASPLOS 2025: admission by the forecast peak of memory over
   the running batch, from the distribution of past output lengths.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from reachlink.lengths import SurvivalCurve

# Times of the forecast, in decoding steps from now.
HORIZONS = (0, 24, 64, 160, 384, 900, 2048, 5120)
# Output length in tokens if the caller sets no limit.
UNLIMITED = 1 << 30


def _zeros() -> list[float]:
    return [0.0] * len(HORIZONS)


@dataclass(slots=True)
class MemoryProfile:
    """Sum of the memory forecasts of some generations.

    Attributes
    ----------
    mean : list of float, shape (len(HORIZONS),)
        Expected memory in tokens at each horizon.
    variance : list of float, shape (len(HORIZONS),)
        Variance of that memory, in tokens squared.
    count : float
        Number of generations in the sum.
    """

    mean: list[float] = field(default_factory=_zeros)
    variance: list[float] = field(default_factory=_zeros)
    count: float = 0.0

    @classmethod
    def of_generation(
        cls,
        curve: SurvivalCurve,
        prompt_tokens: int,
        tokens: int,
        max_tokens: int = UNLIMITED,
    ) -> "MemoryProfile":
        """Return the profile of one generation.

        Parameters
        ----------
        curve : SurvivalCurve
            Length distribution of similar answers.
        prompt_tokens, tokens : int
            Size of its prompt, and of its output so far.
        max_tokens : int
            Longest output that the caller allows.
        """
        alive = max(1e-9, curve.longer_than(tokens))
        mean: list[float] = []
        variance: list[float] = []
        for horizon in HORIZONS:
            if tokens + horizon > max_tokens:
                break
            chance = curve.longer_than(tokens + horizon) / alive
            held = prompt_tokens + tokens + horizon
            mean.append(chance * held)
            variance.append(chance * (1.0 - chance) * held * held)
        padding = [0.0] * (len(HORIZONS) - len(mean))
        return cls(mean + padding, variance + padding, 1.0)

    def add(self, other: "MemoryProfile") -> None:
        """Add another profile to this one."""
        self.mean = [a + b for a, b in zip(self.mean, other.mean, strict=True)]
        self.variance = [a + b for a, b in zip(self.variance, other.variance, strict=True)]
        self.count += other.count

    def peak_with(self, other: "MemoryProfile", deviations: float) -> float:
        """Return the forecast peak of this and another profile together, in tokens.

        Parameters
        ----------
        other : MemoryProfile
            Profile to add.
        deviations : float
            Number of standard deviations added to the mean.
        """
        sqrt = math.sqrt
        return max(
            mean + more + deviations * sqrt(variance + spread)
            for mean, more, variance, spread in zip(
                self.mean, other.mean, self.variance, other.variance, strict=True
            )
        )

    def plus(self, other: "MemoryProfile") -> "MemoryProfile":
        """Return the sum of this and another profile."""
        return MemoryProfile(
            [a + b for a, b in zip(self.mean, other.mean, strict=True)],
            [a + b for a, b in zip(self.variance, other.variance, strict=True)],
            self.count + other.count,
        )

    @staticmethod
    def total(profiles: Iterable["MemoryProfile"]) -> "MemoryProfile":
        """Return the sum of several profiles."""
        result = MemoryProfile()
        for profile in profiles:
            result.add(profile)
        return result
