"""Flow control that replicas request: backoffs, rate limits, and few rejections."""

from reachlink.pacing._backoffs import BackoffTracker
from reachlink.pacing._brittle import BrittleReplica, BrittleTracker, parse_refusals
from reachlink.pacing._gate import LimitGate, LocalGate, PermitOptions
from reachlink.pacing._limits import AdvertisedLimit, LimitTracker, parse_limit
from reachlink.pacing._messages import CHANNEL_LIMIT, LimitUpdate, PermitQuery, PermitReply
from reachlink.pacing._pacing_tracker import Hold, HoldReason, PacingKind, PacingTracker
from reachlink.pacing._rate_limiter import RateLimiter
from reachlink.pacing._refusals import RefusalTracker
from reachlink.pacing._sharing import (
    PEER_SILENCE_TIMEOUT_S,
    LimitSharing,
    partition_share,
    rendezvous_order,
)

__all__ = [
    "CHANNEL_LIMIT",
    "PEER_SILENCE_TIMEOUT_S",
    "BackoffTracker",
    "BrittleReplica",
    "BrittleTracker",
    "Hold",
    "HoldReason",
    "PermitReply",
    "LimitTracker",
    "LimitGate",
    "LimitUpdate",
    "PermitQuery",
    "LimitSharing",
    "LocalGate",
    "RateLimiter",
    "AdvertisedLimit",
    "PacingTracker",
    "PacingKind",
    "PermitOptions",
    "RefusalTracker",
    "rendezvous_order",
    "parse_limit",
    "parse_refusals",
    "partition_share",
]
