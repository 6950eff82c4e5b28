"""Own instances, the platform's list of upstream instances, and what spreads among them."""

from reachlink.membership import _http_platform  # noqa: F401  (registers itself)
from reachlink.membership._directory import LeavingSource, ReplicaDirectory
from reachlink.membership._platform import PLATFORMS, InstanceState, ListedInstance, PlatformAdapter
from reachlink.membership._roster import CoordinationLimits, Roster
from reachlink.membership._spreading import (
    Delta,
    InstanceRecord,
    SettingsAnswer,
    SettingsHolder,
    remember_delta,
)
from reachlink.membership.exceptions import (
    MembershipError,
    PlatformBusyError,
    PlatformUnavailableError,
)

__all__ = [
    "PLATFORMS",
    "CoordinationLimits",
    "Delta",
    "InstanceRecord",
    "InstanceState",
    "LeavingSource",
    "ListedInstance",
    "MembershipError",
    "PlatformAdapter",
    "PlatformBusyError",
    "PlatformUnavailableError",
    "ReplicaDirectory",
    "Roster",
    "SettingsAnswer",
    "SettingsHolder",
    "remember_delta",
]
