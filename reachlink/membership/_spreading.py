"""Replication of settings from control instances to daemons; does no I/O.

The revision of a `SettingsHolder` never decreases, whatever messages arrive.
"""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from reachlink.membership._transfers import Inbox, Outbox, Piece, Progress
from reachlink.routing import PatchMismatchError, PublishedTable, TablePatch, apply_patches
from reachlink.settings import ROUTING_PATH, Change, SettingsTree

REMEMBERED_DELTAS = 256
# Size in bytes up to which content is sent inside the answer instead of in pieces. A change
# of one route is smaller.
INLINE_BYTES = 1 << 10


class Delta(msgspec.Struct, frozen=True):
    """Difference between two revisions: changes of settings or a patch of the routing table."""

    revision: int
    changes: list[Change] = []
    table: TablePatch | None = None

    def described(self) -> list[Change]:
        """Return the changes, with a patched table represented by its number."""
        if self.table is None:
            return self.changes
        return [*self.changes, Change(ROUTING_PATH, f"number {self.table.number}")]


def remember_delta(deltas: deque[Delta], delta: Delta, table_size: int = 0) -> None:
    """Append a delta to the remembered ones, which are in order of revision.

    Parameters
    ----------
    deltas : deque of Delta
        Remembered deltas. The oldest are dropped while their routing table content
        together is larger than the table itself, which is then cheaper to send.
    delta : Delta
        Newest delta.
    table_size : int
        Size of the current routing table, in characters.
    """
    deltas.append(delta)
    held = sum(_table_size(kept) for kept in deltas)
    while held > table_size and len(deltas) > 1:
        held -= _table_size(deltas.popleft())


def deltas_after(deltas: Iterable[Delta], revision: int) -> list[Delta] | None:
    """Return the deltas that follow a revision, or None if the revision is too old."""
    wanted = [delta for delta in deltas if delta.revision > revision]
    if not wanted or wanted[0].revision != revision + 1:
        return None
    return wanted


def apply_deltas(tree: SettingsTree, deltas: Iterable[Delta]) -> SettingsTree:
    """Return settings with the given deltas applied; these must follow their revision.

    Raises
    ------
    PatchMismatchError
        If a patch was made for a different routing table.
    """
    deltas = list(deltas)
    changes = [change for delta in deltas for change in delta.changes]
    patches = [delta.table for delta in deltas if delta.table is not None]
    if patches:
        first = _first_table(changes) or tree.routing
        table = apply_patches(first, patches)
        changes.append(Change(ROUTING_PATH, msgspec.to_builtins(table)))
    return tree.with_changes(changes, deltas[-1].revision) if deltas else tree


def table_size(tree: SettingsTree) -> int:
    """Return the size of the current routing table, in characters."""
    return len(tree.routing.document) if tree.routing else 0


def _first_table(changes: Iterable[Change]) -> PublishedTable | None:
    """Return the complete routing table in the changes, or None.

    Only the first table of all is sent complete; later ones are sent as patches.
    """
    whole = [change.value for change in changes if change.path == ROUTING_PATH]
    return msgspec.convert(whole[-1], PublishedTable) if whole else None


def _table_size(delta: Delta) -> int:
    """Return the size of the routing table content of a delta, in characters."""
    if delta.table is not None:
        return delta.table.size
    whole = [c.value for c in delta.changes if c.path == ROUTING_PATH and c.value is not None]
    return sum(len(value["document"]) for value in whole)


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """One instance of the system itself, with the address of its message bus."""

    name: str
    address: str
    availability_zone: str


class SettingsAnswer(msgspec.Struct, tag="settings", frozen=True):
    """Settings at `revision`: `deltas` from the requester's revision, or all `values`.

    Large content is sent as `piece`, a part of another encoded answer that holds only
    `deltas` or `values`; the requester repeats its request until it has all pieces.

    `fresh` is true if the answer covers everything accepted before the request, and
    `stale` if the answering instance has lost its leader. `controls` are the known
    control instances, `coordinators` the entry instances that coordinate placement
    (including the requester if it is one), and `instances` is the number of all entry
    instances.
    """

    revision: int
    fresh: bool
    deltas: list[Delta] = []
    values: dict[str, object] | None = None
    stale: bool = False
    controls: list[InstanceRecord] = []
    coordinators: list[InstanceRecord] = []
    instances: int = 0
    piece: Piece | None = None


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(SettingsAnswer).decode


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """State of a requester: revision, whether it needs all values, and transfer progress."""

    revision: int
    needs_whole: bool = False
    progress: Progress = Progress()

    @property
    def base(self) -> int:
        """Revision that deltas may start from; negative if the requester needs all values."""
        return -1 if self.needs_whole else self.revision


def pack_answer(
    outbox: Outbox,
    head: SettingsAnswer,
    holding: Holding,
    content_since: Callable[[int], SettingsAnswer],
) -> SettingsAnswer:
    """Return an answer of bounded size, with the first or next piece of large content.

    Parameters
    ----------
    outbox : Outbox
        Stores content whose further pieces the requester will fetch.
    head : SettingsAnswer
        Answer without deltas or values.
    holding : Holding
        State of the requester.
    content_since : callable
        Takes a revision and returns an answer with the deltas that follow it, or with
        all values if the revision is negative or too old.
    """
    begun = outbox.resume(holding.progress)
    if begun is not None:
        return msgspec.structs.replace(head, piece=begun)
    if head.revision <= holding.revision:
        return head
    key = (holding.base, head.revision)
    first = outbox.first_piece(key)
    if first is None:
        content = content_since(holding.base)
        raw = _encode(content)
        if len(raw) <= INLINE_BYTES:
            return msgspec.structs.replace(head, deltas=content.deltas, values=content.values)
        first = outbox.keep(key, raw)
    # The requester's pieces may come from another instance: the same content has the
    # same name at all instances.
    return msgspec.structs.replace(head, piece=outbox.resume(holding.progress) or first)


def unpack_answer(inbox: Inbox, answer: SettingsAnswer) -> SettingsAnswer | None:
    """Return the answer with its deltas or values, or None while pieces are missing."""
    if answer.piece is None:
        return answer
    raw = inbox.take(answer.piece)
    return _decode(raw) if raw is not None else None


def whole_answer(tree: SettingsTree, fresh: bool = False) -> SettingsAnswer:
    """Return all settings sorted by path, so that equal settings encode to equal bytes."""
    return SettingsAnswer(tree.revision, fresh, values=dict(sorted(tree.values.items())))


class SettingsHolder:
    """Newest settings known to a daemon."""

    def __init__(self) -> None:
        self._tree = SettingsTree()
        self._deltas: deque[Delta] = deque(maxlen=REMEMBERED_DELTAS)
        self._patch_error = ""

    @property
    def patch_error(self) -> str:
        """Reason why a delta did not apply, so that all values are needed, or ``""``."""
        return self._patch_error

    @property
    def tree(self) -> SettingsTree:
        """Current settings of this daemon."""
        return self._tree

    def take(self, answer: SettingsAnswer) -> bool:
        """Apply newer settings; return whether the revision increased.

        Older settings, and deltas that do not follow the current revision, are ignored.
        """
        if answer.revision <= self._tree.revision:
            return False
        if answer.values is not None:
            self._tree = SettingsTree(answer.values, answer.revision)
            self._deltas.clear()
            self._patch_error = ""
            return True
        fitting = [d for d in answer.deltas if d.revision > self._tree.revision]
        expected = list(range(self._tree.revision + 1, answer.revision + 1))
        if [d.revision for d in fitting] != expected:
            return False
        try:
            self._tree = apply_deltas(self._tree, fitting)
        except PatchMismatchError as error:
            # Logged by the caller: this module does no I/O.
            self._patch_error = str(error)
            return False
        for delta in fitting:
            remember_delta(self._deltas, delta, table_size(self._tree))
        return True

    def since(self, revision: int, fresh: bool = False) -> SettingsAnswer:
        """Return an answer that leads from a revision to the current one."""
        newest = self._tree.revision
        if newest <= revision:
            return SettingsAnswer(newest, fresh)
        deltas = deltas_after(self._deltas, revision)
        if deltas is None:
            return whole_answer(self._tree, fresh)
        return SettingsAnswer(newest, fresh, deltas)
