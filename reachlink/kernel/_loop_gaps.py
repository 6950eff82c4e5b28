"""Times at which the event loop did not run, so that what arrived meanwhile was read late.

A process may be stopped by a signal, its machine suspended, or its loop held up by work.
"""

import asyncio
from collections.abc import Callable

from reachlink.kernel._clock import steady_time

# Interval between two notes that the loop runs, in seconds.
TICK_INTERVAL_S = 0.1
# Shortest time without a note that counts as a gap, in seconds. Shorter ones are usual under load.
MIN_GAP_S = 0.3
# Time after a gap within which bytes may still be read that arrived in it, in seconds.
BACKLOG_S = 0.5


class LoopGaps:
    """Tells for how long bytes that are read now may have waited.

    Parameters
    ----------
    clock : callable
        Clock in seconds that continues during a suspension of the machine.
    """

    def __init__(self, clock: Callable[[], float] = steady_time) -> None:
        self._clock = clock
        self._ticked_at = clock()
        self._gap_began_at = float("-inf")
        self._gap_ended_at = float("-inf")

    async def watch(self) -> None:
        """Note that the loop runs, until cancelled.

        To be started before anything is received: what was before is no gap.
        """
        self._ticked_at = self._clock()
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Note that the loop runs."""
        now = self._clock()
        if now - self._ticked_at > MIN_GAP_S:
            self._gap_began_at, self._gap_ended_at = self._ticked_at, now
        self._ticked_at = now

    def max_unread_s(self) -> float:
        """Return for how long bytes that are read now may have waited, in seconds."""
        # The loop may read before it runs the timer that ends the gap.
        self.tick()
        now = self._clock()
        return now - self._gap_began_at if now - self._gap_ended_at < BACKLOG_S else 0.0
