"""Errors of routing tables."""

from reachlink.kernel import ReachlinkError

__all__ = ["InvalidTableError", "PatchMismatchError", "RoutingError"]


class RoutingError(ReachlinkError):
    """Base class of the errors of this layer."""


class InvalidTableError(RoutingError):
    """A routing table cannot be taken.

    Parameters
    ----------
    field : str
        Path of the field that is wrong, such as ``routes[3].timeout_ms``.
    reason : str
        What is wrong with it.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}" if field else reason)
        self.field = field
        self.reason = reason


class PatchMismatchError(RoutingError):
    """A patch was made for another table than the one that is held."""
