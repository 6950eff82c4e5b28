"""Operators' orders that take an availability zone out of service or return it to service."""

import msgspec

ZONE_ORDER = "zone_order"


class ZoneOrder(msgspec.Struct, frozen=True):
    """Last order for an availability zone.

    Attributes
    ----------
    out_of_service : bool
        Whether the zone is out of service, so that nothing further is sent to
        its replicas.
    revision : int
        Revision of the settings that the order produced.
    since : float
        Wall-clock time of the order, in seconds since the epoch.
    by : str
        Operator who gave the order.
    reason : str
        Reason given by the operator.
    """

    out_of_service: bool
    revision: int
    since: float
    by: str
    reason: str = ""


def zone_order_path(zone: str) -> str:
    """Return the path of the order for a zone in the settings tree."""
    return f"sites.{zone}.{ZONE_ORDER}"
