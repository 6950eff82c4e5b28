"""Own instances, the platform's list of upstream instances, and what spreads among them."""

from reachlink.membership import _http_platform  # noqa: F401  (registers itself)
from reachlink.membership._directory import LeavingSource, ReplicaDirectory
from reachlink.membership._platform import PLATFORMS, InstanceState, ListedInstance, PlatformAdapter
from reachlink.membership._spreading import Delta, SettingsAnswer, SettingsHolder
from reachlink.membership.exceptions import MembershipError, PlatformUnavailableError

__all__ = [
    "PLATFORMS",
    "Delta",
    "InstanceState",
    "LeavingSource",
    "ListedInstance",
    "MembershipError",
    "PlatformAdapter",
    "PlatformUnavailableError",
    "ReplicaDirectory",
    "SettingsAnswer",
    "SettingsHolder",
]
