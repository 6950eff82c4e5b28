"""Decides where and when a request starts, or that it is refused."""

from reachlink.scheduling._caller_retries import (
    CallerRetryCounts,
    CallerRetryRegistry,
    RetryReservation,
    with_caller_retry,
)
from reachlink.scheduling._choice import choose_replica, prefill_ends_before_resume
from reachlink.scheduling._duration import latest_start_s
from reachlink.scheduling._event_interval import EventIntervalMeter, nominal_event_interval_s
from reachlink.scheduling._forecast import ENGINE_SPEED, EngineSpeed, Forecast, forecast
from reachlink.scheduling._need import Need
from reachlink.scheduling._pace import NOMINAL_PACE, Pace
from reachlink.scheduling._pace_estimate import PaceEstimate, PeerPace, ServicePace
from reachlink.scheduling._pace_tracker import PaceChange, PaceSource, PaceTracker, differ_by_factor
from reachlink.scheduling._pace_updates import PaceUpdate, make_pace_update
from reachlink.scheduling._placement_rules import (
    DEPARTURE_COPY_RULES,
    LOCAL_COPY_RULES,
    QUEUED_RULES,
    REQUEST_RULES,
    STANDING_COPY_RULES,
    MemoryMeasure,
    PlacementRules,
)
from reachlink.scheduling._queue_state import EMPTY_QUEUE, QueueState
from reachlink.scheduling._refusal import (
    RefusalReason,
    Refuse,
    expected_wait_s,
    fair_share,
    is_over_share,
    make_refusal,
    max_retry_after_s,
    refusal_if_needed,
)
from reachlink.scheduling._replica_option import ReplicaOption
from reachlink.scheduling._request_queue import MAX_QUEUED, QueuedRequest, RequestQueue
from reachlink.scheduling._settings import SchedulingOverrides, SchedulingSettings
from reachlink.scheduling._start import Begin, Start, Wait, best_start

__all__ = [
    "Begin",
    "STANDING_COPY_RULES",
    "LOCAL_COPY_RULES",
    "ENGINE_SPEED",
    "EngineSpeed",
    "Forecast",
    "PeerPace",
    "ServicePace",
    "QUEUED_RULES",
    "RequestQueue",
    "QueueState",
    "MAX_QUEUED",
    "MemoryMeasure",
    "EMPTY_QUEUE",
    "Need",
    "ReplicaOption",
    "Pace",
    "PaceEstimate",
    "PaceTracker",
    "PaceChange",
    "PaceUpdate",
    "PaceSource",
    "RetryReservation",
    "REQUEST_RULES",
    "DEPARTURE_COPY_RULES",
    "RefusalReason",
    "Refuse",
    "CallerRetryRegistry",
    "CallerRetryCounts",
    "SchedulingOverrides",
    "SchedulingSettings",
    "Start",
    "EventIntervalMeter",
    "PlacementRules",
    "NOMINAL_PACE",
    "Wait",
    "QueuedRequest",
    "differ_by_factor",
    "best_start",
    "choose_replica",
    "fair_share",
    "expected_wait_s",
    "forecast",
    "prefill_ends_before_resume",
    "make_pace_update",
    "nominal_event_interval_s",
    "is_over_share",
    "latest_start_s",
    "max_retry_after_s",
    "refusal_if_needed",
    "make_refusal",
    "with_caller_retry",
]
