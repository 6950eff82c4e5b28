"""Flow control that replicas request from their senders: backoffs and rate limits."""

from reachlink.pacing._backoffs import BackoffBook
from reachlink.pacing._book import Hold, HoldReason, PacingBook, PacingKind
from reachlink.pacing._gate import LimitGate, LocalGate, PermitRequest
from reachlink.pacing._limits import LimitBook, NamedLimit, parse_limit
from reachlink.pacing._messages import CHANNEL_LIMIT, LimitAnswer, LimitNote, LimitQuestion
from reachlink.pacing._meter import Meter
from reachlink.pacing._refusals import RefusalBook
from reachlink.pacing._sharing import SILENT_S, LimitSharing, ranked, side_share

__all__ = [
    "CHANNEL_LIMIT",
    "SILENT_S",
    "BackoffBook",
    "Hold",
    "HoldReason",
    "LimitAnswer",
    "LimitBook",
    "LimitGate",
    "LimitNote",
    "LimitQuestion",
    "LimitSharing",
    "LocalGate",
    "Meter",
    "NamedLimit",
    "PacingBook",
    "PacingKind",
    "PermitRequest",
    "RefusalBook",
    "ranked",
    "parse_limit",
    "side_share",
]
