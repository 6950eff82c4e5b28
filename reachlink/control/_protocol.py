"""Requests that control instances answer over the bus, and their answers."""

import msgspec

from reachlink.agreement import Member
from reachlink.control._commands import AuditRecord, Command, Result
from reachlink.membership import Holding, InstanceRecord, Progress, SettingsAnswer

CHANNEL_LOG = "log"
CHANNEL_CONTROL = "control"
CHANNEL_ROSTER = "roster"


class ProposeRequest(msgspec.Struct, tag="propose", frozen=True):
    """Add a command to the log; `forwarded` by another control instance."""

    command: Command
    forwarded: bool = False


class WatchRequest(msgspec.Struct, tag="watch", frozen=True):
    """Ask for settings newer than `revision`, waiting up to `wait_s` for them.

    With `fresh` the answer covers everything accepted before the request, with
    `whole` it does not build on what the asker holds. `progress` tells how much
    has come of a content in pieces. `address` and `availability_zone` tell where
    the asker is reached. With `head_only` the answer brings no settings, only what
    the newest revision is.
    """

    instance: str
    revision: int
    wait_s: float
    fresh: bool = False
    address: str = ""
    availability_zone: str = ""
    whole: bool = False
    progress: Progress = Progress()
    head_only: bool = False

    @property
    def holding(self) -> Holding:
        """What the asker has."""
        return Holding(self.revision, self.whole, self.progress)


class RosterNote(msgspec.Struct, frozen=True):
    """The entry instances that watch one control instance, told to the others."""

    instances: list[InstanceRecord]


class AnnounceRequest(msgspec.Struct, tag="announce", frozen=True):
    """A replica tells the leader that it exists, to be made a member."""

    node_id: str
    address: str
    availability_zone: str
    forwarded: bool = False


class AnnounceAnswer(msgspec.Struct, tag="announced", frozen=True):
    """The leader knows the replica; `member` tells whether all of it stands in the membership."""

    member: bool


class BarrierRequest(msgspec.Struct, tag="barrier", frozen=True):
    """Ask the leader for an index that covers everything committed so far."""


class AuditRequest(msgspec.Struct, tag="audit", frozen=True):
    """Ask for audit records after a sequence number."""

    since: int
    limit: int


class MembersRequest(msgspec.Struct, tag="members", frozen=True):
    """Add, promote or remove one replica of the log."""

    action: str
    node_id: str
    address: str = ""
    availability_zone: str = ""
    author: str = ""
    source: str = ""
    forwarded: bool = False


class StatusRequest(msgspec.Struct, tag="status", frozen=True):
    """Ask what this control instance knows of the log and of the daemons."""


class QuarantineRequest(msgspec.Struct, tag="quarantine", frozen=True):
    """Ask which requests the entry instances hold since replicas crash under them."""


class ReleaseRequest(msgspec.Struct, tag="release", frozen=True):
    """Have a request let go that is held, by its fingerprint."""

    fingerprint: int


Request = (
    ProposeRequest
    | WatchRequest
    | BarrierRequest
    | AuditRequest
    | MembersRequest
    | StatusRequest
    | QuarantineRequest
    | ReleaseRequest
    | AnnounceRequest
)


class ProposeAnswer(msgspec.Struct, tag="proposed", frozen=True):
    """Result of a command that was committed and applied."""

    result: Result


class RefusedAnswer(msgspec.Struct, tag="refused", frozen=True):
    """Nothing was done; `leader` is the address to ask, if known."""

    reason: str
    leader: str = ""


class LostAnswer(msgspec.Struct, tag="lost", frozen=True):
    """It may have been done or not."""

    reason: str


class BarrierAnswer(msgspec.Struct, tag="barred", frozen=True):
    """Index that covers everything committed before the request."""

    index: int


class AuditAnswer(msgspec.Struct, tag="audited", frozen=True):
    """Part of the audit trail."""

    records: list[AuditRecord]


class ReplicaStatus(msgspec.Struct, frozen=True):
    """A replica of the log as the leader, or it itself, sees it."""

    node_id: str
    address: str
    availability_zone: str
    voting: bool
    match_index: int
    silent_s: float


class WatcherStatus(msgspec.Struct, frozen=True):
    """A daemon that watches the settings, with its revision in force."""

    instance: str
    revision: int
    silent_s: float


class StatusAnswer(msgspec.Struct, tag="state", frozen=True):
    """What one control instance knows."""

    node_id: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    revision: int
    disk_bytes: int
    replicas: list[ReplicaStatus]
    watchers: list[WatcherStatus]


class MembersAnswer(msgspec.Struct, tag="changed", frozen=True):
    """The membership after a change."""

    members: list[Member]


class HeldStatus(msgspec.Struct, frozen=True):
    """What is held, and why; times in seconds.

    Attributes
    ----------
    fingerprint : str
        Identifies the verdict; named to release it.
    crashes : int
        Number of crashes that it explains.
    replicas : list of str
        Replicas that crashed.
    first_crash_s_ago, last_crash_s_ago : float
        Ages of the first and the last crash.
    whole : bool
        Whether one whole request is held, rather than all that share parts of a prompt.
    digests : list of str
        Digests that a held request has, all of them.
    positions : list of int
        Positions of the parts in the prompt under which the last replica crashed, from 1.
    """

    fingerprint: str
    crashes: int
    replicas: list[str]
    first_crash_s_ago: float
    last_crash_s_ago: float
    whole: bool = True
    digests: list[str] = []
    positions: list[int] = []


class QuarantineAnswer(msgspec.Struct, tag="quarantined", frozen=True):
    """Requests that are held, as one entry instance knows."""

    instance: str
    held: list[HeldStatus]


class ReleaseAnswer(msgspec.Struct, tag="released", frozen=True):
    """Whether the request was held."""

    was_held: bool


Answer = (
    ProposeAnswer
    | RefusedAnswer
    | LostAnswer
    | SettingsAnswer
    | BarrierAnswer
    | AuditAnswer
    | StatusAnswer
    | QuarantineAnswer
    | ReleaseAnswer
    | MembersAnswer
    | AnnounceAnswer
)
