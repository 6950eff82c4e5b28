"""Output lengths that the system under test cannot see."""

import math
import random


class LengthSource:
    """Heavy-tailed lengths whose scale depends on the prompt's template.

    Parameters
    ----------
    median : float
        Median length over all templates, in tokens.
    sigma : float
        Standard deviation of the logarithm within one template.
    """

    TEMPLATE_SPREAD = 0.7

    def __init__(self, median: float, sigma: float) -> None:
        self._log_median = math.log(median)
        self._sigma = sigma

    def draw(self, template: int, seed: int) -> int:
        """Return the length in tokens that belongs to this template and seed."""
        shift = random.Random(template).gauss(0.0, self.TEMPLATE_SPREAD)
        draw = random.Random(seed * 2_654_435_761 + template).gauss(0.0, self._sigma)
        return max(1, round(math.exp(self._log_median + shift + draw)))
