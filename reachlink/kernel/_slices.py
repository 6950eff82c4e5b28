"""Long work on the loop that serves requests, a little at a time."""

import asyncio
import time
from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")

# How long work goes on before others have their turn, in seconds: an event of a stream
# is passed on each 30 to 60 ms, and a plain request takes some 5 ms of the loop.
SLICE_S = 0.002


async def in_slices(work: Generator[None, None, T]) -> T:
    """Do work that may pause at each yield, and return its result.

    Parameters
    ----------
    work : generator
        Its steps bound how long the loop is held beyond a slice.
    """
    while True:
        ends = time.monotonic() + SLICE_S
        while time.monotonic() < ends:
            try:
                next(work)
            except StopIteration as stop:
                result: T = stop.value
                return result
        await asyncio.sleep(0)
