"""Limits of workspaces, shared among entry instances by demand; pure.

Each instance sends the others, in its periodic digest, how much of each limited workspace's
traffic it receives. An instance's share of a limit is its part of the total demand, with a
small minimum for an instance that receives no traffic yet. All instances compute the same
shares from the same demands. The shares are inconsistent while a digest is in transit, which
bounds the error: see ``docs/design/limits.md``.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

# Part of each limit that is divided equally among the instances, regardless of demand.
FLOOR_SHARE = 0.1
DEMAND_HALF_LIFE_S = 3.0
# Capacity of the token buckets, in seconds of their rate.
BURST_S = 1.0


class RefusalReason(Enum):
    """Which limit was exceeded."""

    CONCURRENT = "concurrent requests"
    REQUESTS = "requests per second"
    TOKENS = "tokens per second"


@dataclass(slots=True, frozen=True)
class Refusal:
    """A refusal with the time in seconds after which a retry may succeed."""

    reason: RefusalReason
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class QuotaLimits:
    """Limits in force for one workspace in one service; 0 for no limit."""

    concurrent: int = 0
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0

    @property
    def any(self) -> bool:
        """Whether any of the limits is set."""
        return bool(self.concurrent or self.requests_per_s or self.tokens_per_s)


@dataclass(slots=True)
class _Usage:
    """Usage by one workspace in one service; times are monotonic, in seconds.

    Attributes
    ----------
    running : int
        Admitted requests that have not ended.
    demand : float
        Number of requests that arrived, with exponential decay.
    demand_at : float
        Time at which `demand` was last updated.
    requests, tokens : float
        Fill levels of the token buckets for requests and for output tokens.
    refilled_at : float
        Time at which the token buckets were last refilled.
    """

    running: int = 0
    demand: float = 0.0
    demand_at: float = 0.0
    # A new token bucket is full: `_refill` reduces it to its capacity.
    requests: float = float("inf")
    tokens: float = float("inf")
    refilled_at: float = 0.0


def fair_share(own: float, others: float, instances: int) -> float:
    """Return this instance's share of a limit.

    Parameters
    ----------
    own, others : float
        Demand at this instance, and at all other instances.
    instances : int
        Number of instances that share the limit, including this one.

    Returns
    -------
    float
        Share between 0 and 1; the shares of all instances sum to 1 if they know each other's
        demand.
    """
    if instances <= 1:
        return 1.0
    floor = FLOOR_SHARE / instances
    total = own + others
    if total <= 0:
        return 1.0 / instances
    return floor + (1.0 - FLOOR_SHARE) * own / total


class QuotaTracker:
    """Usage by all limited workspaces in one entry instance."""

    def __init__(self) -> None:
        self._usage: dict[str, _Usage] = {}

    def demands(self, now: float) -> dict[str, float]:
        """Return the demand at this instance for each limited workspace."""
        for key in [k for k, u in self._usage.items() if _is_idle(u, now)]:
            del self._usage[key]
        return {key: _decayed_demand(usage, now) for key, usage in self._usage.items()}

    def admit(
        self,
        key: str,
        limits: QuotaLimits,
        others: Mapping[str, float],
        instances: int,
        now: float,
    ) -> Refusal | None:
        """Admit a request and count it, or return which limit it exceeds.

        Parameters
        ----------
        key : str
            Service and workspace.
        limits : QuotaLimits
            Limits in force over all instances.
        others : mapping of str to float
            Demand at the other instances, by key.
        instances : int
            Number of instances that share the limit.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Refusal or None
            None if the request is admitted; the caller must then call `release` when it ends.
        """
        if not limits.any:
            return None
        usage = self._usage.setdefault(key, _Usage(refilled_at=now, demand_at=now))
        usage.demand = _decayed_demand(usage, now) + 1.0
        usage.demand_at = now
        share = fair_share(usage.demand, others.get(key, 0.0), instances)
        _refill(usage, limits, share, now)
        refusal = _exceeded_limit(usage, limits, share)
        if refusal is None:
            usage.running += 1
            usage.requests -= 1.0
        return refusal

    def release(self, key: str, tokens: int) -> None:
        """Record the end of an admitted request that produced `tokens` tokens."""
        usage = self._usage.get(key)
        if usage is not None:
            usage.running = max(0, usage.running - 1)
            usage.tokens -= tokens


def _decayed_demand(usage: _Usage, now: float) -> float:
    return usage.demand * 0.5 ** ((now - usage.demand_at) / DEMAND_HALF_LIFE_S)


def _is_idle(usage: _Usage, now: float) -> bool:
    return usage.running == 0 and now - usage.demand_at > 10 * DEMAND_HALF_LIFE_S


def _refill(usage: _Usage, limits: QuotaLimits, share: float, now: float) -> None:
    elapsed_s = now - usage.refilled_at
    usage.refilled_at = now
    # The capacity is at least one request; otherwise a small share would never admit any.
    capacity = max(1.0, limits.requests_per_s * share * BURST_S)
    usage.requests = min(capacity, usage.requests + limits.requests_per_s * share * elapsed_s)
    capacity = limits.tokens_per_s * share * BURST_S
    usage.tokens = min(capacity, usage.tokens + limits.tokens_per_s * share * elapsed_s)


def _exceeded_limit(usage: _Usage, limits: QuotaLimits, share: float) -> Refusal | None:
    if limits.concurrent and usage.running >= max(1, int(limits.concurrent * share + 0.5)):
        return Refusal(RefusalReason.CONCURRENT, 1.0)
    if limits.requests_per_s and usage.requests < 1.0:
        missing = 1.0 - usage.requests
        return Refusal(RefusalReason.REQUESTS, missing / (limits.requests_per_s * share))
    if limits.tokens_per_s and usage.tokens < 0.0:
        return Refusal(RefusalReason.TOKENS, -usage.tokens / (limits.tokens_per_s * share))
    return None
