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
    since : float
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
    since: float
    deadline: float
    start_tag: float = 0.0


@dataclass(slots=True)
class FairQueue(Generic[T]):
    """Requests queued in one entry instance for one upstream."""

    _waiting: list[FairQueueEntry[T]] = field(default_factory=list)
    _finish_tags: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def count(self, workspace: str) -> int:
        """Return the number of queued requests of a workspace."""
        return sum(1 for w in self._waiting if w.workspace == workspace)

    def push(self, waiting: FairQueueEntry[T]) -> None:
        """Add a request."""
        start = max(self._virtual_time, self._finish_tags.get(waiting.workspace, 0.0))
        waiting.start_tag = start
        self._finish_tags[waiting.workspace] = start + waiting.cost / waiting.weight
        self._waiting.append(waiting)

    def remove(self, waiting: FairQueueEntry[T]) -> None:
        """Remove a request, if it is queued."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self._tidy()

    def ordered(self, now: float) -> list[FairQueueEntry[T]]:
        """Return the requests in the order in which they should run."""
        return sorted(self._waiting, key=lambda w: _order(w, now))

    def take(self, waiting: FairQueueEntry[T]) -> None:
        """Remove a request that is about to run."""
        self._virtual_time = max(self._virtual_time, waiting.start_tag)
        self.remove(waiting)

    def expired(self, now: float) -> list[FairQueueEntry[T]]:
        """Remove and return the requests whose deadline has passed."""
        late = [w for w in self._waiting if w.deadline <= now]
        for waiting in late:
            self.remove(waiting)
        return late

    def shed(self, now: float) -> FairQueueEntry[T] | None:
        """Remove and return the request that would run last."""
        if not self._waiting:
            return None
        last = max(self._waiting, key=lambda w: _order(w, now))
        self.remove(last)
        return last

    def _tidy(self) -> None:
        if not self._waiting:
            self._finish_tags.clear()
            self._virtual_time = 0.0


def _order(waiting: FairQueueEntry[T], now: float) -> tuple[float, float, float]:
    aged = waiting.priority + int((now - waiting.since) / AGING_S_PER_LEVEL)
    return (-aged, waiting.start_tag, waiting.since)
