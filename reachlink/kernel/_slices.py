"""Time slicing of long computations on the event loop that serves requests."""

import asyncio
from collections.abc import Generator
from typing import TypeVar

from reachlink.kernel._clock import steady_time

T = TypeVar("T")

# Time in seconds after which a computation yields to other tasks: a fraction of the interval
# between two events of a stream.
SLICE_S = 0.002


async def run_in_slices(work: Generator[None, None, T]) -> T:
    """Run a generator in time slices and return its result.

    Parameters
    ----------
    work : generator
        Computation that may be suspended at each yield. The time between two
        yields limits how long it blocks the event loop beyond a slice.
    """
    ends = steady_time() + SLICE_S
    while True:
        try:
            next(work)
        except StopIteration as stop:
            result: T = stop.value
            return result
        if steady_time() >= ends:
            await asyncio.sleep(0)
            ends = steady_time() + SLICE_S
