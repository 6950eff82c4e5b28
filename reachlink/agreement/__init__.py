"""Raft replicated log: elections, replication, snapshots, membership changes, storage."""

from reachlink.agreement._core import Core
from reachlink.agreement._files import Files
from reachlink.agreement._log import Log
from reachlink.agreement._membership_planner import Candidate, MemberHealth, next_membership
from reachlink.agreement._messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    Member,
    Message,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from reachlink.agreement._service import ReplicaService, StateMachine
from reachlink.agreement._state import Effects, ReplicaState, Role, Timing
from reachlink.agreement._storage import Identity, LoadedState, Storage
from reachlink.agreement.exceptions import (
    AgreementError,
    CorruptLogError,
    DiskFullError,
    MembershipChangeError,
    NotLeaderError,
    ProposalLostError,
    StorageError,
)

__all__ = [
    "AgreementError",
    "AppendReply",
    "AppendRequest",
    "Candidate",
    "Core",
    "CorruptLogError",
    "DiskFullError",
    "Effects",
    "Entry",
    "EntryKind",
    "Files",
    "Identity",
    "LoadedState",
    "Log",
    "Member",
    "MemberHealth",
    "MembershipChangeError",
    "Message",
    "NotLeaderError",
    "ProposalLostError",
    "ReplicaService",
    "ReplicaState",
    "Role",
    "SnapshotRequest",
    "StateMachine",
    "Storage",
    "StorageError",
    "Timing",
    "VoteReply",
    "VoteRequest",
    "next_membership",
]
