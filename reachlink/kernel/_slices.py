"""Long work on the loop that serves requests, a little at a time."""

import asyncio
from collections.abc import Generator
from typing import TypeVar

from reachlink.kernel._clock import steady_time

T = TypeVar("T")

# How long work goes on before others have their turn, in seconds: a fraction of the time
# between two events of a stream.
SLICE_S = 0.002


async def in_slices(work: Generator[None, None, T]) -> T:
    """Do work that may pause at each yield, and return its result.

    Parameters
    ----------
    work : generator
        Its steps bound how long the loop is held beyond a slice.
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
