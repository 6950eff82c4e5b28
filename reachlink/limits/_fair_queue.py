"""Queue of waiting requests: priorities with aging, weighted fairness; pure.

Within one priority, workspaces share by weight: each request gets a start
tag as in start-time fair queueing [1]_, with its expected tokens as its
length. Waiting raises the priority, so that nothing waits for ever.

References
----------
.. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.
"""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

AGING_S_PER_LEVEL = 2.0


@dataclass(slots=True, eq=False)
class Waiting(Generic[T]):
    """One waiting request.

    Attributes
    ----------
    item : object
        What waits.
    workspace : str
        Whose it is.
    priority : int
        Higher goes first.
    weight : float
        Share of the workspace.
    cost : float
        Expected work, in tokens.
    since, deadline : float
        Monotonic seconds; past the deadline it is refused.
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
    """Requests that wait in one entry instance for one upstream."""

    _waiting: list[Waiting[T]] = field(default_factory=list)
    _finish_tags: dict[str, float] = field(default_factory=dict)
    _virtual_time: float = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return sum(1 for w in self._waiting if w.workspace == workspace)

    def push(self, waiting: Waiting[T]) -> None:
        """Add a request."""
        start = max(self._virtual_time, self._finish_tags.get(waiting.workspace, 0.0))
        waiting.start_tag = start
        self._finish_tags[waiting.workspace] = start + waiting.cost / waiting.weight
        self._waiting.append(waiting)

    def remove(self, waiting: Waiting[T]) -> None:
        """Take a request out, wherever it stands."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self._tidy()

    def ordered(self, now: float) -> list[Waiting[T]]:
        """Return the requests in the order in which they should run."""
        return sorted(self._waiting, key=lambda w: _order(w, now))

    def take(self, waiting: Waiting[T]) -> None:
        """Take out a request that runs now."""
        self._virtual_time = max(self._virtual_time, waiting.start_tag)
        self.remove(waiting)

    def expired(self, now: float) -> list[Waiting[T]]:
        """Take out and return the requests whose deadline has passed."""
        late = [w for w in self._waiting if w.deadline <= now]
        for waiting in late:
            self.remove(waiting)
        return late

    def shed(self, now: float) -> Waiting[T] | None:
        """Take out and return the request that would run last."""
        if not self._waiting:
            return None
        last = max(self._waiting, key=lambda w: _order(w, now))
        self.remove(last)
        return last

    def _tidy(self) -> None:
        if not self._waiting:
            self._finish_tags.clear()
            self._virtual_time = 0.0


def _order(waiting: Waiting[T], now: float) -> tuple[float, float, float]:
    aged = waiting.priority + int((now - waiting.since) / AGING_S_PER_LEVEL)
    return (-aged, waiting.start_tag, waiting.since)
