"""Coordinators, which place requests at replicas, and members, which ask them.

In a small deployment every entry instance is a coordinator: it sends its load at the
replicas to all others and places its requests itself. Above a configured size only a few
instances are coordinators, which exchange the load of themselves and their members. Every
other instance is a member: it sends its load to one coordinator, asks it where to place each
request, and receives the load of all others from it.
"""

import warnings
from typing import Any

from reachlink.coordination._caller_retry_ledger import CallerRetryLedger
from reachlink.coordination._coordinator import Coordinator
from reachlink.coordination._coordinator_selector import CoordinatorSelector
from reachlink.coordination._limit_exchange import LimitExchange
from reachlink.coordination._member import Member
from reachlink.coordination._messages import CoordinatorSnapshot, MemberUpdate
from reachlink.coordination._pace_exchange import PaceExchange
from reachlink.coordination._quarantine_exchange import QuarantineExchange
from reachlink.coordination._queue_client import QueueClient
from reachlink.coordination._queue_owner import QueueOwner
from reachlink.coordination._replica_list import (
    listed_replicas,
    replica_list_digest,
    to_listed_instances,
    to_listed_replica,
)


def __getattr__(name: str) -> Any:
    """Return `CallerRetryLedger` for its deprecated name ``ReturnDesk``."""
    if name != "ReturnDesk":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    warnings.warn("ReturnDesk is now CallerRetryLedger", DeprecationWarning, stacklevel=2)
    return CallerRetryLedger


__all__ = [
    "CoordinatorSelector",
    "Coordinator",
    "LimitExchange",
    "QueueClient",
    "QueueOwner",
    "Member",
    "MemberUpdate",
    "CoordinatorSnapshot",
    "PaceExchange",
    "QuarantineExchange",
    "CallerRetryLedger",
    "to_listed_instances",
    "to_listed_replica",
    "replica_list_digest",
    "listed_replicas",
]
