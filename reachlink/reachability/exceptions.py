"""Errors of reaching replicas."""

from reachlink.kernel import ReachlinkError

__all__ = ["NotReachedError", "ReachabilityError"]


class ReachabilityError(ReachlinkError):
    """Base class of the errors of this layer."""


class NotReachedError(ReachabilityError):
    """No connection to a replica could be made, neither directly nor through a peer.

    Nothing was sent to the replica. The cause is the error of the direct attempt, if there
    was one.

    Parameters
    ----------
    message : str
        What failed.
    replica_away : bool
        Whether a peer in the replica's zone that reaches other replicas does not reach this
        one, so that the fault is the replica's.
    """

    def __init__(self, message: str, replica_away: bool = False) -> None:
        super().__init__(message)
        self.replica_away = replica_away
