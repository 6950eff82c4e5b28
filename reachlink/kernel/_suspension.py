"""Detection of machine suspensions, during which the timers of the event loop stop."""

import asyncio
import time
from collections.abc import Callable

from reachlink.kernel._clock import steady_time

# Interval between two checks, in seconds of the clock of the event loop.
CHECK_INTERVAL_S = 0.1
# Shortest suspension that is reported, in seconds. Shorter ones are within the inaccuracy
# of timers.
MIN_SUSPENSION_S = 0.1


async def watch_suspensions(
    on_resumed: Callable[[float], None],
    clock: Callable[[], float] = steady_time,
    timer_clock: Callable[[], float] = time.monotonic,
) -> None:
    """Call `on_resumed` after each suspension of the machine, until cancelled.

    Parameters
    ----------
    on_resumed : callable
        Called with the duration of the suspension in seconds.
    clock : callable
        Clock in seconds that continues during a suspension.
    timer_clock : callable
        Clock in seconds of the event loop timers, which stops during a suspension.
    """
    ahead = clock() - timer_clock()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        suspended_s = clock() - timer_clock() - ahead
        if suspended_s > MIN_SUSPENSION_S:
            ahead += suspended_s
            on_resumed(suspended_s)
