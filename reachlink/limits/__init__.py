"""Quotas of workspaces, fair queueing, and budgets for memory, bytes in flight and retries."""

from reachlink.limits._drain_rate import DrainRate
from reachlink.limits._fair_queue import FairQueue, Waiting
from reachlink.limits._held_bytes import SHORT_BYTES, UNTOLD_BYTES, HeldBytes, HeldKind, Holding
from reachlink.limits._quotas import QuotaLimits, QuotaTracker, Refusal, RefusalReason, fair_share
from reachlink.limits._retries import RetryBudget, backoff_s
from reachlink.limits._sent_bytes import SentBytes

__all__ = [
    "SHORT_BYTES",
    "UNTOLD_BYTES",
    "DrainRate",
    "FairQueue",
    "HeldBytes",
    "HeldKind",
    "Holding",
    "QuotaTracker",
    "QuotaLimits",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "SentBytes",
    "Waiting",
    "backoff_s",
    "fair_share",
]
