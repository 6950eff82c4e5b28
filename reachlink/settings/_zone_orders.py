"""Operators' orders that take an availability zone out of service, and back."""

import msgspec

ZONE_ORDER = "zone_order"


class ZoneOrder(msgspec.Struct, frozen=True):
    """The last order about an availability zone.

    Attributes
    ----------
    out_of_service : bool
        Whether nothing more is sent to the zone's replicas.
    revision : int
        Revision of the settings that the order made.
    since : float
        When it was given, in wall-clock seconds.
    by : str
        Operator who gave it.
    reason : str
        Why, in the operator's words.
    """

    out_of_service: bool
    revision: int
    since: float
    by: str
    reason: str = ""


def zone_order_path(zone: str) -> str:
    """Return the path of a zone's order in the tree."""
    return f"sites.{zone}.{ZONE_ORDER}"
