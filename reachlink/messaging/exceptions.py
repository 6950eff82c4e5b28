"""Errors of the messaging layer."""

from reachlink.kernel import ReachlinkError

__all__ = ["CallFailedError", "CallTimeoutError", "MessagingError", "PeerUnreachableError"]


class MessagingError(ReachlinkError):
    """Base class of the errors of this layer."""


class PeerUnreachableError(MessagingError):
    """There is no connection to the peer."""


class CallTimeoutError(MessagingError):
    """No answer arrived in time; the peer may or may not have processed the call."""


class CallFailedError(MessagingError):
    """The peer reported a failure; it may have processed the call in part.

    Also raised for a message that cannot be decoded.
    """
