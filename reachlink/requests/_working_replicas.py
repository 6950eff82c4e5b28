"""Which replicas may work on one generation at this time."""

from collections.abc import Callable
from typing import Any

# Longest time in seconds for which two replicas should work on one generation. The rules of
# callers allow 0.4 s.
MAX_OVERLAP_S = 0.3


class WorkingReplicas:
    """Replicas that were told to run a generation and are not known to have stopped.

    Parameters
    ----------
    request_id : str
        Id of the request that the generation serves.
    clock : callable
        Monotonic time in seconds.
    log : object
        Logger.
    on_overlap : callable
        Called when two replicas may have worked on the generation for too long.
    """

    def __init__(
        self,
        request_id: str,
        clock: Callable[[], float],
        log: Any,
        on_overlap: Callable[[], None],
    ) -> None:
        self._request_id = request_id
        self._clock = clock
        self._log = log
        self._on_overlap = on_overlap
        # Monotonic time in seconds from which on each of them may work.
        self._since: dict[str, float] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the replicas."""
        return frozenset(self._since)

    def begin(self, replica: str) -> None:
        """Record that the generation is sent to a replica."""
        self._since[replica] = self._clock()

    def end(self, replica: str) -> None:
        """Record that a replica is known not to work on the generation."""
        since = self._since.pop(replica, None)
        if since is None or not self._since:
            return
        overlap_s = self._clock() - max(since, min(self._since.values()))
        if overlap_s <= MAX_OVERLAP_S:
            return
        self._log.warning(
            "generation_at_two_replicas",
            request_id=self._request_id,
            replica=replica,
            others=" ".join(sorted(self._since)),
            overlap_s=round(overlap_s, 3),
        )
        self._on_overlap()
