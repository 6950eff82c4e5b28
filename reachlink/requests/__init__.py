"""Request lifecycle, independent of the protocols: placement, dispatch, relaying the answer."""

from reachlink.requests._attempts import AttemptFailure, AttemptLog
from reachlink.requests._cold_rates import PlacementDeciders
from reachlink.requests._internal_errors import (
    INTERNAL_ERROR,
    is_cancelled,
    log_internal_error,
    raised_at,
)
from reachlink.requests._load_updates import (
    AllocationSummary,
    ListedReplica,
    LoadUpdate,
    ReplicaOutcome,
    ReplicaReport,
    ReplicaUsage,
    sum_usages,
    with_aggregated_copies,
)
from reachlink.requests._model import AnswerSink, CallerRequest
from reachlink.requests._parts import Directory, RetryLimits, RunnerParts
from reachlink.requests._peer_load import PeerLoad
from reachlink.requests._placement_query import PlacementPurpose, PlacementQuery, PlacementReply
from reachlink.requests._placer import Placer
from reachlink.requests._progress import RequestProgress, RequestStage
from reachlink.requests._replica_tracker import Allocation, ReplicaState, ReplicaTracker
from reachlink.requests._runner import RequestRunner
from reachlink.requests._shutdown_times import SHUTDOWN_NOTICE_S, ShutdownTimes
from reachlink.requests._stop_limits import STOPPING, STOPPING_RETRY_S
from reachlink.requests.exceptions import (
    CallerGoneError,
    RequestFailedError,
    RequestsError,
    StreamCutError,
)

__all__ = [
    "AnswerSink",
    "AttemptLog",
    "CallerGoneError",
    "CallerRequest",
    "PlacementDeciders",
    "ShutdownTimes",
    "Directory",
    "Allocation",
    "ListedReplica",
    "LoadUpdate",
    "AllocationSummary",
    "SHUTDOWN_NOTICE_S",
    "PlacementReply",
    "PlacementQuery",
    "Placer",
    "PlacementPurpose",
    "ReplicaTracker",
    "ReplicaReport",
    "ReplicaOutcome",
    "ReplicaUsage",
    "ReplicaState",
    "RetryLimits",
    "RequestFailedError",
    "INTERNAL_ERROR",
    "RequestRunner",
    "RequestProgress",
    "RequestStage",
    "is_cancelled",
    "log_internal_error",
    "raised_at",
    "RequestsError",
    "RunnerParts",
    "AttemptFailure",
    "PeerLoad",
    "StreamCutError",
    "STOPPING",
    "STOPPING_RETRY_S",
    "with_aggregated_copies",
    "sum_usages",
]
