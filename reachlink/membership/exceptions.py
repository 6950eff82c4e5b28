"""Errors of the membership layer."""

from reachlink.kernel import ReachlinkError

__all__ = ["PlatformBusyError", "MembershipError", "PlatformUnavailableError"]


class MembershipError(ReachlinkError):
    """Base class of the errors of this layer."""


class PlatformUnavailableError(MembershipError):
    """The platform's list cannot be read; the last list read stays in use."""


class PlatformBusyError(PlatformUnavailableError):
    """The platform rejected a request for its list because of too many requests."""
