"""Errors of the messaging layer."""

from reachlink.kernel import ReachlinkError

__all__ = ["CallFailedError", "CallTimeoutError", "MessagingError", "PeerUnreachableError"]


class MessagingError(ReachlinkError):
    """Base class of the errors of this layer."""


class PeerUnreachableError(MessagingError):
    """No connection to the peer, so nothing was sent."""


class CallTimeoutError(MessagingError):
    """No answer in time: the peer may have acted or not."""


class CallFailedError(MessagingError):
    """The peer answered that it failed; it may have acted or not."""
