"""Retry budgets and exponential backoff with jitter.

References
----------
.. [1] M. Brooker, "Exponential backoff and jitter", 2015, for full jitter.
"""

from dataclasses import dataclass
from random import Random

FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 2.0
# Maximum and initial number of retries in a budget.
MAX_AVAILABLE = 20.0
INITIALLY_AVAILABLE = 3.0


@dataclass(slots=True)
class RetryBudget:
    """Budget of retries for one upstream, replenished by a share of first attempts.

    Attributes
    ----------
    available : float
        Retries that are available now.
    max_available : float
        Maximum number of retries that accumulate.
    """

    available: float = INITIALLY_AVAILABLE
    max_available: float = MAX_AVAILABLE

    @property
    def has_retry(self) -> bool:
        """Whether a retry is available now."""
        return self.available >= 1.0

    def on_first_attempt(self, share: float) -> None:
        """Add `share` of a retry, since a request was dispatched for the first time."""
        self.available = min(self.max_available, self.available + share)

    def take(self) -> bool:
        """Consume a retry if one is available; return whether there was one."""
        if not self.has_retry:
            return False
        self.available -= 1.0
        return True


def backoff_s(attempt: int, random: Random) -> float:
    """Return the wait in seconds before retry number `attempt` (from 1), with full jitter."""
    longest = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** (attempt - 1))
    return random.uniform(0.0, longest)
