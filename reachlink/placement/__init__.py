"""Chooses the replica and time for each request: memory forecast, policies and health."""

from reachlink.placement import _baselines, _forecast  # noqa: F401  (the modules register policies)
from reachlink.placement._cache_index import CacheIndex
from reachlink.placement._forecast import ForecastPolicy
from reachlink.placement._health import Health, HealthState, allowances
from reachlink.placement._policies import (
    POLICIES,
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    Verdict,
)
from reachlink.placement._profiles import HORIZONS, UNLIMITED, MemoryProfile

__all__ = [
    "HORIZONS",
    "POLICIES",
    "UNLIMITED",
    "CacheIndex",
    "Candidate",
    "Decision",
    "ForecastPolicy",
    "Health",
    "HealthState",
    "MemoryProfile",
    "PlacementPolicy",
    "PlacementRequest",
    "Verdict",
    "allowances",
]
