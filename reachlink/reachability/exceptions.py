"""Errors of reaching replicas."""

from reachlink.kernel import ReachlinkError

__all__ = ["NotReachedError", "ReachabilityError"]


class ReachabilityError(ReachlinkError):
    """Base class of the errors of this layer."""


class NotReachedError(ReachabilityError):
    """No connection to a replica could be made, neither directly nor through a peer.

    Nothing was sent to the replica. The cause is the error of the direct attempt, if there
    was one.
    """
