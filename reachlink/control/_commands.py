"""Commands of the replicated log and their results."""

from enum import Enum
from typing import Any

import msgspec

from reachlink.routing import PublishedTable
from reachlink.settings import Change


class EditStatus(Enum):
    """What became of an edit."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class ClaimStatus(Enum):
    """What became of a claim."""

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


class EditCommand(msgspec.Struct, tag="edit", frozen=True):
    """Change settings that stand at `base_revision`; `at` in wall-clock seconds."""

    edit_id: str
    base_revision: int
    changes: list[Change]
    author: str
    source: str
    at: float


class ClaimCommand(msgspec.Struct, tag="claim", frozen=True):
    """Claim the right to dispatch a non-repeatable request under a caller's key."""

    workspace: str
    key: str
    body_hash: str
    request_id: str
    instance: str
    keep_s: float
    at: float


class StoredAnswer(msgspec.Struct, frozen=True):
    """The answer that later arrivals of a claimed key get."""

    status: int
    content_type: str
    body: bytes


class CompleteCommand(msgspec.Struct, tag="complete", frozen=True):
    """Record how a claimed request ended.

    ``outcome`` is ``ran``, ``unknown``, or ``not_run``, which gives the key
    free again.
    """

    workspace: str
    key: str
    request_id: str
    outcome: str
    answer: StoredAnswer | None
    at: float


class NoteCommand(msgspec.Struct, tag="note", frozen=True):
    """Put an operator's act, such as a membership change, into the audit trail."""

    action: str
    author: str
    source: str
    detail: str
    at: float


class FenceCommand(msgspec.Struct, tag="fence", frozen=True):
    """Ask for a fencing token that is newer than every earlier one."""

    issuer: str
    at: float


class PublishCommand(msgspec.Struct, tag="publish", frozen=True):
    """Put a routing table in force, unless one of the same or a higher number is."""

    table: PublishedTable
    author: str
    source: str
    at: float


class ZoneCommand(msgspec.Struct, tag="zone", frozen=True):
    """Take an availability zone out of service, or back.

    `base` is the revision of the order about the zone that this one was given on, 0
    for none: an order that was held up on its way while others overtook it changes
    nothing.
    """

    zone: str
    out_of_service: bool
    base: int
    author: str
    source: str
    reason: str
    at: float


Command = (
    EditCommand
    | ClaimCommand
    | CompleteCommand
    | NoteCommand
    | FenceCommand
    | PublishCommand
    | ZoneCommand
)


class ChangeRecord(msgspec.Struct, frozen=True):
    """One value before and after."""

    path: str
    old: Any
    new: Any


class ProblemRecord(msgspec.Struct, frozen=True):
    """One thing that is wrong with an edit."""

    path: str
    message: str


class EditResult(msgspec.Struct, tag="edited", frozen=True):
    """Answer to an edit; the same for every resend of its id.

    ``winner`` holds, after a conflict, the changes accepted since the edit's
    base revision, as far as they are remembered.
    """

    status: EditStatus
    revision: int
    problems: list[ProblemRecord] = []
    winner: list[ChangeRecord] = []


class ClaimResult(msgspec.Struct, tag="claimed", frozen=True):
    """Answer to a claim or its completion."""

    status: ClaimStatus
    instance: str = ""
    request_id: str = ""
    answer: StoredAnswer | None = None


class FenceResult(msgspec.Struct, tag="fenced", frozen=True):
    """A fencing token; `term` and `index` of the log make it unique and growing."""

    term: int
    index: int

    @property
    def token(self) -> int:
        """The token as one growing number."""
        return self.index


class NoteResult(msgspec.Struct, tag="noted", frozen=True):
    """The act stands in the audit trail."""

    sequence: int


class PublishStatus(Enum):
    """What became of a published routing table."""

    ACCEPTED = "accepted"
    HELD = "held"
    OVERTAKEN = "overtaken"


class PublishResult(msgspec.Struct, tag="published", frozen=True):
    """Answer to a publication; `number` is the one in force after it."""

    status: PublishStatus
    number: int
    revision: int


class ZoneStatus(Enum):
    """What became of an order about a zone."""

    ACCEPTED = "accepted"
    HELD = "held"
    OVERTAKEN = "overtaken"


class ZoneResult(msgspec.Struct, tag="zone ordered", frozen=True):
    """Answer to an order about a zone; `revision` is that of the order in force after it."""

    status: ZoneStatus
    revision: int


Result = EditResult | ClaimResult | FenceResult | NoteResult | PublishResult | ZoneResult


class AuditRecord(msgspec.Struct, frozen=True):
    """One record of the audit trail; `digest` chains it to the one before."""

    sequence: int
    at: float
    action: str
    author: str
    source: str
    edit_id: str
    revision: int
    accepted: bool
    reason: str
    changes: list[ChangeRecord]
    digest: str = ""
