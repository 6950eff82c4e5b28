"""Settings as daemons hold and pass them on; pure.

A holder's revision only grows, whatever arrives.
"""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from reachlink.membership._transfers import Inbox, Outbox, Piece, Progress
from reachlink.routing import PatchMismatchError, PublishedTable, TablePatch, apply_patches
from reachlink.settings import ROUTING_PATH, Change, SettingsTree

REMEMBERED_DELTAS = 256
# What is smaller goes with an answer as it is, in bytes: a change of one route is.
INLINE_BYTES = 1 << 10


class Delta(msgspec.Struct, frozen=True):
    """What made a revision: changes of settings, or a patch of the routing table."""

    revision: int
    changes: list[Change] = []
    table: TablePatch | None = None

    def described(self) -> list[Change]:
        """Return the changes, a patched table by its number."""
        if self.table is None:
            return self.changes
        return [*self.changes, Change(ROUTING_PATH, f"number {self.table.number}")]


def remember_delta(deltas: deque[Delta], delta: Delta, table_size: int = 0) -> None:
    """Add a delta to those remembered, in order of revision.

    Parameters
    ----------
    deltas : deque of Delta
        Those remembered; the oldest are dropped as long as all that they hold of
        routing tables is larger than the table itself, which then takes less to send.
    delta : Delta
        The newest.
    table_size : int
        Size of the routing table in force, in characters.
    """
    deltas.append(delta)
    held = sum(_table_size(kept) for kept in deltas)
    while held > table_size and len(deltas) > 1:
        held -= _table_size(deltas.popleft())


def deltas_after(deltas: Iterable[Delta], revision: int) -> list[Delta] | None:
    """Return the deltas that lead on from a revision, or None if it is too old."""
    wanted = [delta for delta in deltas if delta.revision > revision]
    if not wanted or wanted[0].revision != revision + 1:
        return None
    return wanted


def apply_deltas(tree: SettingsTree, deltas: Iterable[Delta]) -> SettingsTree:
    """Return settings with deltas that follow their revision.

    Raises
    ------
    PatchMismatchError
        If a patch was made for another table than the one held.
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
    """Return the size of the routing table in force, in characters."""
    return len(tree.routing.document) if tree.routing else 0


def _first_table(changes: Iterable[Change]) -> PublishedTable | None:
    """Return the table that stands in changes whole: only the first of all does."""
    whole = [change.value for change in changes if change.path == ROUTING_PATH]
    return msgspec.convert(whole[-1], PublishedTable) if whole else None


def _table_size(delta: Delta) -> int:
    """Return what a delta holds of routing tables, in characters."""
    if delta.table is not None:
        return delta.table.size
    whole = [c.value for c in delta.changes if c.path == ROUTING_PATH and c.value is not None]
    return sum(len(value["document"]) for value in whole)


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """One of the system's own instances, with the address of its bus."""

    name: str
    address: str
    availability_zone: str


class SettingsAnswer(msgspec.Struct, tag="settings", frozen=True):
    """Settings at `revision`: `deltas` from the asker's revision, or whole `values`.

    What is large comes as `piece`, a part of another answer that holds nothing but
    `deltas` or `values`; the asker asks on until it has all of them.

    `fresh` tells whether the answer covers everything accepted before the
    request, and `stale` that the answering instance has lost its leader.
    `controls` are the control instances that it knows, `coordinators` the entry
    instances that coordinate placement, the asker itself if it is one, and
    `instances` the number of all entry instances.
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
    """What an asker has: a revision, whether only a whole will do, and pieces of a content."""

    revision: int
    needs_whole: bool = False
    progress: Progress = Progress()

    @property
    def base(self) -> int:
        """Revision that an answer may build on; below 0 for none."""
        return -1 if self.needs_whole else self.revision


def pack_answer(
    outbox: Outbox,
    head: SettingsAnswer,
    holding: Holding,
    content_since: Callable[[int], SettingsAnswer],
) -> SettingsAnswer:
    """Return an answer that takes one short message, whatever it leads to.

    Parameters
    ----------
    outbox : Outbox
        Keeps what the asker will fetch on.
    head : SettingsAnswer
        The answer without deltas or values.
    holding : Holding
        What the asker has.
    content_since : callable
        Takes a revision and returns what leads on from it: an answer with deltas,
        or values if the revision is below 0 or too old.
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
    # Another instance may have given the pieces that the asker has: the same content
    # has the same name everywhere.
    return msgspec.structs.replace(head, piece=outbox.resume(holding.progress) or first)


def unpack_answer(inbox: Inbox, answer: SettingsAnswer) -> SettingsAnswer | None:
    """Return deltas or values of an answer, or None while pieces of them are missing."""
    if answer.piece is None:
        return answer
    raw = inbox.take(answer.piece)
    return _decode(raw) if raw is not None else None


def whole_answer(tree: SettingsTree, fresh: bool = False) -> SettingsAnswer:
    """Return all settings, in an order that does not depend on how they came about."""
    return SettingsAnswer(tree.revision, fresh, values=dict(sorted(tree.values.items())))


class SettingsHolder:
    """The newest settings that a daemon has."""

    def __init__(self) -> None:
        self._tree = SettingsTree()
        self._deltas: deque[Delta] = deque(maxlen=REMEMBERED_DELTAS)
        self._misfit = ""

    @property
    def misfit(self) -> str:
        """Why a delta did not fit what is held, so that only a whole will do, or ``""``."""
        return self._misfit

    @property
    def tree(self) -> SettingsTree:
        """Settings in force here."""
        return self._tree

    def take(self, answer: SettingsAnswer) -> bool:
        """Take newer settings; return whether the revision grew.

        Older ones, and deltas that do not follow the present revision, change
        nothing.
        """
        if answer.revision <= self._tree.revision:
            return False
        if answer.values is not None:
            self._tree = SettingsTree(answer.values, answer.revision)
            self._deltas.clear()
            self._misfit = ""
            return True
        fitting = [d for d in answer.deltas if d.revision > self._tree.revision]
        expected = list(range(self._tree.revision + 1, answer.revision + 1))
        if [d.revision for d in fitting] != expected:
            return False
        try:
            self._tree = apply_deltas(self._tree, fitting)
        except PatchMismatchError as error:
            # Logged by who asked: this module does no output.
            self._misfit = str(error)
            return False
        for delta in fitting:
            remember_delta(self._deltas, delta, table_size(self._tree))
        return True

    def since(self, revision: int, fresh: bool = False) -> SettingsAnswer:
        """Return what leads from a revision to the one held here."""
        newest = self._tree.revision
        if newest <= revision:
            return SettingsAnswer(newest, fresh)
        deltas = deltas_after(self._deltas, revision)
        if deltas is None:
            return whole_answer(self._tree, fresh)
        return SettingsAnswer(newest, fresh, deltas)
