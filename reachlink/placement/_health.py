"""Replicas that fail are taken out and let back in gradually; pure."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from random import Random

FAILURES_TO_EJECT = 2
# What an answer counts that says that the request failed: it may be the request's
# fault, as some in a hundred are, so that two in a row at one replica come by chance;
# three, or two while it recovers, are its fault more likely.
ANSWERED_FAILURE = 0.67
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
RECOVERY_S = 8.0
LEAST_ALLOWANCE = 0.1
MAX_EJECTED_SHARE = 0.5


class HealthState(Enum):
    """How far a replica is trusted."""

    GOOD = "good"
    EJECTED = "ejected"
    RECOVERING = "recovering"


@dataclass(slots=True)
class Health:
    """Trust in one replica; times are monotonic seconds."""

    state: HealthState = HealthState.GOOD
    failures: float = 0.0
    ejections: int = 0
    until: float = 0.0
    since: float = 0.0

    def on_failure(self, now: float, random: Random, answered: bool = False) -> None:
        """A dispatch failed, a stream stalled or broke.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        random : random.Random
            Source of jitter.
        answered : bool
            Whether the replica answered that the request has failed.
        """
        self.failures += ANSWERED_FAILURE if answered else 1
        recovering = self.state is HealthState.RECOVERING
        if self.failures >= (1 if recovering else FAILURES_TO_EJECT):
            self._eject(now, random)

    def on_success(self, now: float) -> None:
        """The replica delivered."""
        self.failures = 0.0
        if self.state is HealthState.RECOVERING and now - self.since >= RECOVERY_S:
            self.state = HealthState.GOOD
            self.ejections = 0

    def allowance(self, now: float) -> float:
        """Return the share of its usual load that the replica may get."""
        if self.state is HealthState.EJECTED and now >= self.until:
            self.state = HealthState.RECOVERING
            self.since = now
        if self.state is HealthState.GOOD:
            return 1.0
        if self.state is HealthState.EJECTED:
            return 0.0
        grown = LEAST_ALLOWANCE + (1.0 - LEAST_ALLOWANCE) * (now - self.since) / RECOVERY_S
        return min(1.0, grown)

    def _eject(self, now: float, random: Random) -> None:
        if self.state is HealthState.EJECTED:
            return
        longest = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2.0**self.ejections)
        self.state = HealthState.EJECTED
        self.ejections += 1
        self.failures = 0.0
        # Jitter keeps replicas that failed together from coming back together.
        self.until = now + random.uniform(longest / 2, longest)


def allowances(
    healths: Mapping[str, Health], now: float, told: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return the allowance of each replica, never ejecting most of them at once.

    Where more than `MAX_EJECTED_SHARE` of the replicas are out, the cause is
    likely shared (a network, a dependency) and taking more out would only
    put the load onto the rest: then the ejected ones are used sparingly.

    Parameters
    ----------
    healths : mapping of str to Health
        Trust in each replica of a service, by own requests.
    now : float
        Monotonic time in seconds.
    told : mapping of str to float, optional
        Allowances by what others said; the lower one counts. The bound holds for
        both together: two judges that take one of three replicas out each would
        leave one, and three none (324 refusals in 7.5 s of a cut, one day's logs).
    """
    told = told or {}
    found = {n: min(h.allowance(now), told.get(n, 1.0)) for n, h in healths.items()}
    out = sum(1 for value in found.values() if value == 0.0)
    if out <= MAX_EJECTED_SHARE * len(found):
        return found
    return {name: max(value, LEAST_ALLOWANCE) for name, value in found.items()}
