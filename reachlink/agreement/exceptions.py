"""Errors of the agreement layer."""

from reachlink.kernel import ReachlinkError

__all__ = [
    "AgreementError",
    "CorruptLogError",
    "MembershipChangeError",
    "NotLeaderError",
    "ProposalLostError",
    "DiskFullError",
    "StorageError",
]


class AgreementError(ReachlinkError):
    """Base class of the errors of this layer."""


class NotLeaderError(AgreementError):
    """This replica is not the leader; nothing was proposed.

    Parameters
    ----------
    leader : str
        Node id of the leader if known, else empty.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; it is {leader or 'unknown'}")
        self.leader = leader


class ProposalLostError(AgreementError):
    """Leadership ended before the proposal was committed; it may be committed later, or never."""


class MembershipChangeError(AgreementError):
    """A membership change was rejected; nothing was proposed."""


class StorageError(AgreementError):
    """The data folder cannot be read or written."""


class DiskFullError(StorageError):
    """The disk is full; nothing was written, so the write may be retried."""


class CorruptLogError(StorageError):
    """Synced data is damaged, so the replica must stop."""
