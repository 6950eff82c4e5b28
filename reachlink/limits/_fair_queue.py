"""Queue of waiting requests with priorities, aging and weighted fairness; pure.

Within one priority, workspaces share the service by weight: each request gets a start tag as
in start-time fair queueing [1]_, with its expected tokens as its length. The priority of a
request increases while it waits, so that no request starves.

References
----------
.. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
"""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

# Waiting time in seconds that raises the priority of a request by one.
AGING_S_PER_LEVEL = 2.0


@dataclass(slots=True, eq=False)
class FairQueueEntry(Generic[T]):
    """A queued request.

    Attributes
    ----------
    item : object
        The request.
    workspace : str
        Workspace of the request.
    priority : int
        Requests with a higher priority run first.
    weight : float
        Weight of the workspace.
    cost : float
        Expected work, in tokens.
    queued_at : float
        Monotonic time in seconds at which the request was queued.
    deadline : float
        Monotonic time in seconds after which the request is refused.
    start_tag : float
        Virtual start time, set by `FairQueue.push`.
    """

    item: T
    workspace: str
    priority: int
    weight: float
    cost: float
    queued_at: float
    deadline: float
    start_tag: float = 0.0


@dataclass(slots=True)
class FairQueue(Generic[T]):
    """Requests queued in one entry instance for one upstream."""

    _entries: list[FairQueueEntry[T]] = field(default_factory=list)
    _finish_tags: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def count(self, workspace: str) -> int:
        """Return the number of queued requests of a workspace."""
        return sum(1 for w in self._entries if w.workspace == workspace)

    def push(self, entry: FairQueueEntry[T]) -> None:
        """Add a request."""
        start = max(self._virtual_time, self._finish_tags.get(entry.workspace, 0.0))
        entry.start_tag = start
        self._finish_tags[entry.workspace] = start + entry.cost / entry.weight
        self._entries.append(entry)

    def remove(self, entry: FairQueueEntry[T]) -> None:
        """Remove a request, if it is queued."""
        if entry in self._entries:
            self._entries.remove(entry)
            self._reset_if_empty()

    def ordered(self, now: float) -> list[FairQueueEntry[T]]:
        """Return the requests in the order in which they should run."""
        return sorted(self._entries, key=lambda w: _sort_key(w, now))

    def take(self, entry: FairQueueEntry[T]) -> None:
        """Remove a request that is about to run."""
        self._virtual_time = max(self._virtual_time, entry.start_tag)
        self.remove(entry)

    def expired(self, now: float) -> list[FairQueueEntry[T]]:
        """Remove and return the requests whose deadline has passed."""
        late = [w for w in self._entries if w.deadline <= now]
        for entry in late:
            self.remove(entry)
        return late

    def shed(self, now: float) -> FairQueueEntry[T] | None:
        """Remove and return the request that would run last."""
        if not self._entries:
            return None
        last = max(self._entries, key=lambda w: _sort_key(w, now))
        self.remove(last)
        return last

    def _reset_if_empty(self) -> None:
        if not self._entries:
            self._finish_tags.clear()
            self._virtual_time = 0.0


def _sort_key(entry: FairQueueEntry[T], now: float) -> tuple[float, float, float]:
    aged = entry.priority + int((now - entry.queued_at) / AGING_S_PER_LEVEL)
    return (-aged, entry.start_tag, entry.queued_at)
