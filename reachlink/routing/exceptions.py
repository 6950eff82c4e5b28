"""Errors of routing tables."""

from reachlink.kernel import ReachlinkError

__all__ = ["InvalidTableError", "PatchMismatchError", "RoutingError"]


class RoutingError(ReachlinkError):
    """Base class of the errors of this package."""


class InvalidTableError(RoutingError):
    """Raised if a routing table is invalid.

    Parameters
    ----------
    field : str
        Path of the invalid field, such as ``routes[3].timeout_ms``.
    reason : str
        What is wrong with the field.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}" if field else reason)
        self.field = field
        self.reason = reason


class PatchMismatchError(RoutingError):
    """Raised if a patch applies to another table than the current one."""
