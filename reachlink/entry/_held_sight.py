"""What operators see of what an instance holds for others: counters and bounded log lines."""

import functools
from collections.abc import Callable
from typing import Any

from reachlink.kernel import steady_time
from reachlink.limits import BufferBudget, BufferKind
from reachlink.telemetry import LogLines, Metrics

# Log lines of one kind a second at the most; those beyond are counted in the next one.
LINES_PER_S = 5


BODIES_REFUSED_DESCRIPTION = "Bodies refused since the instance holds as much as it may."


def export_held_bytes(metrics: Metrics, held: BufferBudget) -> None:
    """Export what is held for callers and replicas that are slow."""
    for kind in BufferKind:
        metrics.gauge(
            f"reachlink_held_{kind.value}",
            "By",
            f"Bytes held for callers: {kind.value}.",
            functools.partial(held.bytes_of, kind),
        )
    metrics.gauge(
        "reachlink_held_limit",
        "By",
        "Bytes held for callers at the most; 0 for any number.",
        lambda: held.limit,
    )


class HeldSight:
    """Counts and logs the decisions about held bytes.

    Parameters
    ----------
    budget : BufferBudget
        What is held.
    count_refused, count_closed : callable
        Called for each refusal, and for each caller closed.
    log : object
        Logger of the process.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        budget: BufferBudget,
        count_refused: Callable[[], None],
        count_closed: Callable[[], None],
        log: Any,
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._budget = budget
        self._count_refused = count_refused
        self._count_closed = count_closed
        self._log = log
        self._refusals = LogLines(LINES_PER_S, clock)
        self._closings = LogLines(LINES_PER_S, clock)
        self._marks = LogLines(LINES_PER_S, clock)

    def refused(self, request_id: str, size: int) -> None:
        """Note that a body of so many bytes, so far or as announced, was refused."""
        self._count_refused()
        if not self._refusals.admit():
            return
        self._log.info(
            "held_over_budget",
            request_id=request_id,
            body_bytes=size,
            unlogged=self._refusals.skipped(),
            **self._shown(),
        )

    def closed(self, request_id: str, size: int, still_s: float) -> None:
        """Note that a caller was closed that had read nothing for some seconds."""
        self._count_closed()
        if not self._closings.admit():
            return
        self._log.info(
            "reader_closed",
            request_id=request_id,
            unread_bytes=size,
            still_s=round(still_s, 3),
            unlogged=self._closings.skipped(),
            **self._shown(),
        )

    def pressed(self, pressed: bool) -> None:
        """Note that the high mark was passed, or the low one reached again."""
        if self._marks.admit():
            event = "held_pressed" if pressed else "held_eased"
            self._log.info(event, unlogged=self._marks.skipped(), **self._shown())

    def _shown(self) -> dict[str, int]:
        shown = {kind.value: self._budget.bytes_of(kind) for kind in BufferKind}
        return {**shown, "limit": self._budget.limit}
