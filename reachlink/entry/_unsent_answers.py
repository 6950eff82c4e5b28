"""Answers of which a part still stands in a buffer of this process."""

import asyncio
from collections.abc import Callable, Iterable

from aiohttp import web

from reachlink.kernel import steady_time

# How often callers are looked at that have yet to read, in seconds.
LOOK_INTERVAL_S = 0.05


class UnsentAnswers:
    """Answers whose handlers are done, but which their callers have not taken yet.

    They are lost where the process ends.

    Parameters
    ----------
    connections : callable
        Returns the open connections of callers.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        connections: Callable[[], Iterable[web.RequestHandler]],
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._connections = connections
        self._clock = clock

    @property
    def count(self) -> int:
        """Connections on which something has not been sent yet."""
        return len(self._sizes())

    async def sent(self, patience_s: float) -> None:
        """Wait until all is sent, or none of it was for some time.

        Parameters
        ----------
        patience_s : float
            How long nothing may be sent, in seconds.
        """
        size, since = sum(self._sizes()), self._clock()
        while size and self._clock() - since < patience_s:
            await asyncio.sleep(LOOK_INTERVAL_S)
            before, size = size, sum(self._sizes())
            if size != before:
                since = self._clock()

    def _sizes(self) -> list[int]:
        """Return how many bytes each connection holds that holds any."""
        transports = [c.transport for c in self._connections() if c.transport is not None]
        return [size for t in transports if (size := t.get_write_buffer_size())]
