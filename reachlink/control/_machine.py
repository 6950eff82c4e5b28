"""The replicated state: settings, answers to edits, claims, audit trail.

`apply` depends on nothing but the state and the command, so that every
replica comes to the same state. Time is the largest wall-clock time that any
command carried.
"""

import hashlib
from collections import OrderedDict, deque
from functools import singledispatchmethod

import msgspec

from reachlink.agreement import Member
from reachlink.control._audit import AuditTrail
from reachlink.control._claims import Claim, ClaimBook
from reachlink.control._commands import (
    AuditRecord,
    ChangeRecord,
    ClaimCommand,
    ClaimResult,
    Command,
    CompleteCommand,
    EditCommand,
    EditResult,
    EditStatus,
    FenceCommand,
    FenceResult,
    NoteCommand,
    NoteResult,
    ProblemRecord,
    PublishCommand,
    PublishResult,
    PublishStatus,
    Result,
    ZoneCommand,
    ZoneResult,
    ZoneStatus,
)
from reachlink.control._zones import new_order, status_of, zone_record
from reachlink.membership import Delta, deltas_after, remember_delta, table_size
from reachlink.routing import PublishedTable, patch_between
from reachlink.settings import (
    ROUTING_PATH,
    ZONE_ORDER,
    Change,
    InvalidSettingsError,
    Problem,
    SettingsTree,
    UnknownPathError,
    parse_path,
    zone_order_path,
)

REMEMBERED_EDITS = 4096
REMEMBERED_DELTAS = 1024
MAX_WINNER_CHANGES = 100
EXPIRE_EVERY = 256


class _Snapshot(msgspec.Struct):
    revision: int
    values: dict[str, object]
    edits: list[tuple[str, EditResult]]
    deltas: list[Delta]
    claims: dict[str, Claim]
    audit: list[AuditRecord]
    now: float
    applied: int


_encode = msgspec.msgpack.Encoder().encode
_decode_snapshot = msgspec.msgpack.Decoder(_Snapshot).decode
_decode_command = msgspec.msgpack.Decoder(Command).decode


class ControlMachine:
    """State that every control instance holds."""

    def __init__(self) -> None:
        self._tree = SettingsTree()
        self._edits: OrderedDict[str, EditResult] = OrderedDict()
        self._deltas: deque[Delta] = deque(maxlen=REMEMBERED_DELTAS)
        self._claims = ClaimBook()
        self._audit = AuditTrail(keep=self._tree.audit_keep)
        self._now = 0.0
        self._applied = 0
        self._members: list[Member] = []

    @property
    def tree(self) -> SettingsTree:
        """Settings in force."""
        return self._tree

    @property
    def audit(self) -> AuditTrail:
        """The audit trail."""
        return self._audit

    @property
    def claims(self) -> ClaimBook:
        """Claims of non-repeatable requests."""
        return self._claims

    @property
    def members(self) -> list[Member]:
        """Latest committed membership that was applied since the start."""
        return self._members

    def deltas_since(self, revision: int) -> list[Delta] | None:
        """Return what leads from a revision to the present one, or None if too old."""
        if revision == self._tree.revision:
            return []
        return deltas_after(self._deltas, revision)

    def apply(self, index: int, term: int, command: bytes) -> Result:
        """Apply one committed command."""
        decoded = _decode_command(command)
        self._now = max(self._now, decoded.at)
        self._applied += 1
        if self._applied % EXPIRE_EVERY == 0:
            self._claims.drop_expired(self._now)
        return self._run(decoded, index, term)

    def on_members(self, index: int, members: list[Member]) -> None:
        """Take a committed membership."""
        self._members = members

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _encode(
            _Snapshot(
                self._tree.revision,
                dict(self._tree.values),
                list(self._edits.items()),
                list(self._deltas),
                self._claims.claims,
                self._audit.records,
                self._now,
                self._applied,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        held = _decode_snapshot(data)
        self._tree = SettingsTree(held.values, held.revision)
        self._edits = OrderedDict(held.edits)
        self._deltas = deque(held.deltas, maxlen=REMEMBERED_DELTAS)
        self._claims = ClaimBook(held.claims)
        self._audit = AuditTrail(held.audit, self._tree.audit_keep)
        self._now = held.now
        self._applied = held.applied

    @singledispatchmethod
    def _run(self, command: Command, index: int, term: int) -> Result:
        raise TypeError(f"unknown command {type(command).__name__}")

    @_run.register
    def _(self, command: EditCommand, index: int, term: int) -> Result:
        first = self._edits.get(command.edit_id)
        if first is not None:
            return first
        result = self._edit(command)
        self._edits[command.edit_id] = result
        if len(self._edits) > REMEMBERED_EDITS:
            self._edits.popitem(last=False)
        return result

    @_run.register
    def _(self, command: ClaimCommand, index: int, term: int) -> Result:
        return self._claims.claim(command, self._now)

    @_run.register
    def _(self, command: CompleteCommand, index: int, term: int) -> ClaimResult:
        return self._claims.complete(command)

    @_run.register
    def _(self, command: FenceCommand, index: int, term: int) -> FenceResult:
        self._note("fence", command.issuer, "", f"token {index}")
        return FenceResult(term, index)

    @_run.register
    def _(self, command: NoteCommand, index: int, term: int) -> NoteResult:
        record = self._note(command.action, command.author, command.source, command.detail)
        return NoteResult(record.sequence)

    @_run.register
    def _(self, command: PublishCommand, index: int, term: int) -> PublishResult:
        result = self._publish(command.table)
        self._audit.add(
            AuditRecord(
                0,
                command.at,
                "publish",
                command.author,
                command.source,
                "",
                result.revision,
                result.status is PublishStatus.ACCEPTED,
                f"{result.status.value}: number {result.number} is in force",
                [ChangeRecord(ROUTING_PATH, None, _summary(command.table))],
            )
        )
        return result

    @_run.register
    def _(self, command: ZoneCommand, index: int, term: int) -> ZoneResult:
        held = self._tree.zone_orders.get(command.zone)
        status = status_of(command, held)
        if status is not ZoneStatus.ACCEPTED:
            return ZoneResult(status, held.revision if held else 0)
        order = new_order(command, self._tree.revision + 1)
        change = Change(zone_order_path(command.zone), msgspec.to_builtins(order))
        records = _records(self._tree, [change])
        self._take([change])
        self._audit.add(zone_record(command, order.revision, records))
        return ZoneResult(status, order.revision)

    def _take(self, changes: list[Change]) -> None:
        """Put changes in force that need no more checks."""
        self._tree = self._tree.with_changes(changes, self._tree.revision + 1)
        delta = Delta(self._tree.revision, changes)
        remember_delta(self._deltas, delta, table_size(self._tree))

    def _publish(self, table: PublishedTable) -> PublishResult:
        held = self._tree.routing
        revision = self._tree.revision
        if held is not None and table.number <= held.number:
            same = table.number == held.number
            status = PublishStatus.HELD if same else PublishStatus.OVERTAKEN
            return PublishResult(status, held.number, revision)
        change = Change(ROUTING_PATH, msgspec.to_builtins(table))
        self._tree = self._tree.with_changes([change], revision + 1)
        if held is None:
            delta = Delta(revision + 1, [change])
        else:
            delta = Delta(revision + 1, table=patch_between(held, table))
        remember_delta(self._deltas, delta, len(table.document))
        return PublishResult(PublishStatus.ACCEPTED, table.number, revision + 1)

    def _edit(self, command: EditCommand) -> EditResult:
        revision = self._tree.revision
        if command.base_revision != revision:
            winner = self._changes_since(command.base_revision)
            result = EditResult(EditStatus.CONFLICT, revision, winner=winner)
            self._record_edit(command, result, [], f"made on {command.base_revision}")
            return result
        try:
            _refuse_unedited(command.changes)
            tree = self._tree.edited(command.changes, revision + 1)
        except InvalidSettingsError as error:
            problems = [ProblemRecord(p.path, p.message) for p in error.problems]
            result = EditResult(EditStatus.INVALID, revision, problems)
            self._record_edit(command, result, [], str(error))
            return result
        changed = _records(self._tree, command.changes)
        self._tree = tree
        remember_delta(self._deltas, Delta(tree.revision, command.changes), table_size(tree))
        self._audit.keep = tree.audit_keep
        result = EditResult(EditStatus.ACCEPTED, tree.revision)
        self._record_edit(command, result, changed, "")
        return result

    def _changes_since(self, revision: int) -> list[ChangeRecord]:
        deltas = self.deltas_since(revision) or []
        changes = [change for delta in deltas for change in delta.described()]
        last = {change.path: change for change in changes}
        records = [ChangeRecord(c.path, None, c.value) for c in last.values()]
        return records[:MAX_WINNER_CHANGES]

    def _record_edit(
        self, command: EditCommand, result: EditResult, changes: list[ChangeRecord], reason: str
    ) -> None:
        self._audit.add(
            AuditRecord(
                0,
                command.at,
                "edit",
                command.author,
                command.source,
                command.edit_id,
                result.revision,
                result.status is EditStatus.ACCEPTED,
                reason,
                changes,
            )
        )

    def _note(self, action: str, author: str, source: str, detail: str) -> AuditRecord:
        return self._audit.add(
            AuditRecord(
                0, self._now, action, author, source, "", self._tree.revision, True, detail, []
            )
        )


def _records(tree: SettingsTree, changes: list[Change]) -> list[ChangeRecord]:
    return [ChangeRecord(c.path, tree.values.get(c.path), c.value) for c in changes]


def _refuse_unedited(changes: list[Change]) -> None:
    """Refuse what has commands of its own: routing tables and orders about zones."""
    for change in changes:
        if change.path == ROUTING_PATH:
            problem = Problem(ROUTING_PATH, "is published as a whole, not edited")
            raise InvalidSettingsError([problem])
        if _is_zone_order(change.path):
            problem = Problem(change.path, "is ordered (reachlink zones), not edited")
            raise InvalidSettingsError([problem])


def _is_zone_order(path: str) -> bool:
    try:
        return parse_path(path).setting.name == ZONE_ORDER
    except UnknownPathError:
        # Named with the edit's other problems, when it is checked.
        return False


def _summary(table: PublishedTable) -> str:
    """Return what the audit trail keeps of a table; the whole would fill it."""
    digest = hashlib.sha256(table.document.encode()).hexdigest()
    return f"number {table.number}, {len(table.document)} characters, sha256 {digest}"
