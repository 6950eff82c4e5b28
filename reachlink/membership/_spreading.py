"""Settings as daemons hold and pass them on; pure.

A holder's revision only grows, whatever arrives.
"""

from collections import deque

import msgspec

from reachlink.settings import ROUTING_PATH, Change, SettingsTree

REMEMBERED_DELTAS = 256


class Delta(msgspec.Struct, frozen=True):
    """The changes that made a revision."""

    revision: int
    changes: list[Change]


def remember_delta(deltas: deque[Delta], delta: Delta) -> None:
    """Add a delta to those remembered, in order of revision.

    A routing table is sent whole anyway: what leads up to it is dropped, so
    that memory holds one table and not each that ever was.
    """
    if any(change.path == ROUTING_PATH for change in delta.changes):
        deltas.clear()
    deltas.append(delta)


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """One of the system's own instances, with the address of its bus."""

    name: str
    address: str
    availability_zone: str


class SettingsAnswer(msgspec.Struct, tag="settings", frozen=True):
    """Settings at `revision`: `deltas` from the asker's revision, or whole `values`.

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


class SettingsHolder:
    """The newest settings that a daemon has."""

    def __init__(self) -> None:
        self._tree = SettingsTree()
        self._deltas: deque[Delta] = deque(maxlen=REMEMBERED_DELTAS)

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
            return True
        fitting = [d for d in answer.deltas if d.revision > self._tree.revision]
        expected = list(range(self._tree.revision + 1, answer.revision + 1))
        if [d.revision for d in fitting] != expected:
            return False
        changes = [change for delta in fitting for change in delta.changes]
        self._tree = self._tree.with_changes(changes, answer.revision)
        for delta in fitting:
            remember_delta(self._deltas, delta)
        return True

    def since(self, revision: int, fresh: bool = False) -> SettingsAnswer:
        """Return what leads from a revision to the one held here."""
        newest = self._tree.revision
        if newest <= revision:
            return SettingsAnswer(newest, fresh)
        deltas = [d for d in self._deltas if d.revision > revision]
        if deltas and deltas[0].revision == revision + 1:
            return SettingsAnswer(newest, fresh, deltas)
        return SettingsAnswer(newest, fresh, values=dict(self._tree.values))
