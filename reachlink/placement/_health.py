"""Ejects replicas that fail and readmits them gradually; pure."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from random import Random

FAILURES_TO_EJECT = 2
# Weight of a failure that the replica itself reported in an answer. The request may be the cause,
# as for a few requests in a hundred, so two such answers in a row from one replica occur by
# chance. Three, or two while the replica recovers, are more likely the replica's fault.
ANSWERED_FAILURE_WEIGHT = 0.67
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
# Time in seconds over which the load of a readmitted replica grows to its usual level, and the
# share of that load with which it starts.
RECOVERY_S = 8.0
MIN_ALLOWANCE = 0.1
# Largest share of the replicas of a service that may be ejected at once.
MAX_EJECTED_SHARE = 0.5


class HealthState(Enum):
    """Whether a replica gets its usual load, no requests, or a growing share of its load."""

    GOOD = "good"
    EJECTED = "ejected"
    RECOVERING = "recovering"


@dataclass(slots=True)
class Health:
    """Health of one replica as seen by one instance; times are monotonic, in seconds.

    Attributes
    ----------
    state : HealthState
        Current state.
    failures : float
        Weighted failures since the last success.
    ejections : int
        Ejections since the replica was last in state `HealthState.GOOD`.
    ejected_until : float
        End of the ejection.
    recovering_since : float
        Start of the recovery.
    """

    state: HealthState = HealthState.GOOD
    failures: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    recovering_since: float = 0.0

    def on_failure(self, now: float, random: Random, answered: bool = False) -> None:
        """Record a failed dispatch, or a stream that stalled or broke.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        random : random.Random
            Source of jitter.
        answered : bool
            Whether the replica itself answered that the request failed.
        """
        self.failures += ANSWERED_FAILURE_WEIGHT if answered else 1
        recovering = self.state is HealthState.RECOVERING
        if self.failures >= (1 if recovering else FAILURES_TO_EJECT):
            self._eject(now, random)

    def on_success(self, now: float) -> None:
        """Record that the replica served a request."""
        self.failures = 0.0
        if self.state is HealthState.RECOVERING and now - self.recovering_since >= RECOVERY_S:
            self.state = HealthState.GOOD
            self.ejections = 0

    def allowance(self, now: float) -> float:
        """Return the share of its usual load that the replica may get."""
        if self.state is HealthState.EJECTED and now >= self.ejected_until:
            self.state = HealthState.RECOVERING
            self.recovering_since = now
        if self.state is HealthState.GOOD:
            return 1.0
        if self.state is HealthState.EJECTED:
            return 0.0
        grown = MIN_ALLOWANCE + (1.0 - MIN_ALLOWANCE) * (now - self.recovering_since) / RECOVERY_S
        return min(1.0, grown)

    def _eject(self, now: float, random: Random) -> None:
        if self.state is HealthState.EJECTED:
            return
        longest = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2.0**self.ejections)
        self.state = HealthState.EJECTED
        self.ejections += 1
        self.failures = 0.0
        # Jitter keeps replicas that failed at the same time from returning at the same time.
        self.ejected_until = now + random.uniform(longest / 2, longest)


def allowances(
    healths: Mapping[str, Health], now: float, peer_allowances: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return the allowance of each replica, without ejecting most replicas at once.

    If more than `MAX_EJECTED_SHARE` of the replicas are ejected, the cause is probably common
    to them (a network, a dependency), and further ejections would only move the load to the
    remaining replicas. In that case the ejected ones get a small allowance instead.

    Parameters
    ----------
    healths : mapping of str to Health
        Health of each replica of a service, from this instance's requests.
    now : float
        Monotonic time in seconds.
    peer_allowances : mapping of str to float, optional
        Allowances according to other instances; the lower allowance of a replica applies.
        `MAX_EJECTED_SHARE` bounds all sources together. Otherwise two sources that each eject
        one of three replicas would leave one, and three such sources none, which caused 324
        refusals within 7.5 s of a network partition.
    """
    peer_allowances = peer_allowances or {}
    allowed = {n: min(h.allowance(now), peer_allowances.get(n, 1.0)) for n, h in healths.items()}
    ejected = sum(1 for value in allowed.values() if value == 0.0)
    if ejected <= MAX_EJECTED_SHARE * len(allowed):
        return allowed
    return {name: max(value, MIN_ALLOWANCE) for name, value in allowed.items()}
