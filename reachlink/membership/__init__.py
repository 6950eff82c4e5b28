"""Membership of entry and upstream instances, and distribution of settings among them."""

from reachlink.membership import _http_platform  # noqa: F401  (registers itself)
from reachlink.membership._directory import LeavingSource, ReplicaDirectory
from reachlink.membership._list_page import MAX_PAGE_BYTES, ListPage, PageReader
from reachlink.membership._platform import PLATFORMS, InstanceState, ListedInstance, PlatformAdapter
from reachlink.membership._roster import CoordinationLimits, Roster
from reachlink.membership._spreading import (
    Delta,
    Holding,
    InstanceRecord,
    SettingsAnswer,
    SettingsHolder,
    deltas_after,
    pack_answer,
    remember_delta,
    table_size,
    unpack_answer,
    whole_answer,
)
from reachlink.membership._transfers import Inbox, Outbox, Piece, Progress
from reachlink.membership.exceptions import (
    MembershipError,
    PlatformBusyError,
    PlatformUnavailableError,
)

__all__ = [
    "MAX_PAGE_BYTES",
    "PLATFORMS",
    "PageReader",
    "CoordinationLimits",
    "Delta",
    "Holding",
    "Inbox",
    "InstanceRecord",
    "InstanceState",
    "LeavingSource",
    "ListPage",
    "ListedInstance",
    "MembershipError",
    "Outbox",
    "Piece",
    "PlatformAdapter",
    "PlatformBusyError",
    "PlatformUnavailableError",
    "Progress",
    "ReplicaDirectory",
    "Roster",
    "SettingsAnswer",
    "SettingsHolder",
    "deltas_after",
    "pack_answer",
    "remember_delta",
    "table_size",
    "unpack_answer",
    "whole_answer",
]
