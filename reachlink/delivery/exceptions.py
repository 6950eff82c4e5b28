"""Errors of the delivery layer."""

from reachlink.kernel import ReachlinkError

__all__ = ["DeliveryError", "InvalidPositionError"]


class DeliveryError(ReachlinkError):
    """Base class of the errors of this layer."""


class InvalidPositionError(DeliveryError):
    """An event id is malformed, was not issued here, or belongs to another workspace."""
