"""Limits, fairness and budgets."""

from reachlink.limits._drain_rate import DrainRate
from reachlink.limits._fair_queue import FairQueue, Waiting
from reachlink.limits._quotas import QuotaBook, QuotaLimits, Refusal, RefusalReason, fair_share
from reachlink.limits._retries import RetryBudget, backoff_s

__all__ = [
    "DrainRate",
    "FairQueue",
    "QuotaBook",
    "QuotaLimits",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "Waiting",
    "backoff_s",
    "fair_share",
]
