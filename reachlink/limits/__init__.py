"""Quotas of workspaces, fair queueing, and budgets for memory, bytes in flight and retries."""

from reachlink.limits._buffer_budget import (
    MAX_SHORT_BYTES,
    UNDECLARED_BYTES,
    BufferBudget,
    BufferKind,
    CallerBuffer,
)
from reachlink.limits._bytes_in_flight import BytesInFlight
from reachlink.limits._fair_queue import FairQueue, FairQueueEntry
from reachlink.limits._queue_throughput import QueueThroughput
from reachlink.limits._quotas import QuotaLimits, QuotaTracker, Refusal, RefusalReason, fair_share
from reachlink.limits._retries import RetryBudget, backoff_s

__all__ = [
    "MAX_SHORT_BYTES",
    "UNDECLARED_BYTES",
    "QueueThroughput",
    "FairQueue",
    "BufferBudget",
    "BufferKind",
    "CallerBuffer",
    "QuotaTracker",
    "QuotaLimits",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "BytesInFlight",
    "FairQueueEntry",
    "backoff_s",
    "fair_share",
]
