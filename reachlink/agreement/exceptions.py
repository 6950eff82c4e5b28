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
    """This replica does not lead; nothing was proposed.

    Parameters
    ----------
    leader : str
        Node id of the leader if known, else empty.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; it is {leader or 'unknown'}")
        self.leader = leader


class ProposalLostError(AgreementError):
    """Leadership ended before the proposal was committed: it may yet be, or not."""


class MembershipChangeError(AgreementError):
    """A membership change was refused; nothing was proposed."""


class StorageError(AgreementError):
    """The data folder cannot be read or written."""


class DiskFullError(StorageError):
    """There was no room for a write, and nothing of it was left behind: it may be tried again."""


class CorruptLogError(StorageError):
    """A record in the middle of the log is damaged, so the voter must not go on."""
