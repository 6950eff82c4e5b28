"""Routing tables: routes from hosts and path prefixes to services, limits, callers' keys."""

from reachlink.routing._allowed_regions import allowed_regions
from reachlink.routing._formats import (
    NATIVE_FORMAT,
    TABLE_FORMATS,
    PublishedTable,
    TableFormat,
    TableOutline,
    TableReader,
    decode_or_raise,
)
from reachlink.routing._index import RoutingIndex
from reachlink.routing._patch import TablePatch, apply_patches, patch_between
from reachlink.routing._table import (
    Backend,
    CallerLimits,
    EngineLimits,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    Workspace,
    check_table,
)
from reachlink.routing.exceptions import InvalidTableError, PatchMismatchError, RoutingError

__all__ = [
    "NATIVE_FORMAT",
    "TABLE_FORMATS",
    "Backend",
    "CallerLimits",
    "EngineLimits",
    "InvalidTableError",
    "PatchMismatchError",
    "PublishedTable",
    "RequestKind",
    "Route",
    "RoutingError",
    "RoutingIndex",
    "RoutingTable",
    "Service",
    "TableFormat",
    "TableOutline",
    "TablePatch",
    "TableReader",
    "Workspace",
    "apply_patches",
    "check_table",
    "decode_or_raise",
    "allowed_regions",
    "patch_between",
]
