"""Whether a replica has ended, or only a connection to it."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

from reachlink.upstreams.exceptions import (
    UpstreamBrokenError,
    UpstreamError,
    UpstreamHeldBackError,
    UpstreamUnreachableError,
)

# Looks at a replica after a connection to it has ended, and the time between two, in
# seconds: its process may close the port some milliseconds after the connection.
PROBE_ATTEMPTS = 3
PROBE_INTERVAL_S = 0.1
# How long one look may take, in seconds; longer is silence, as behind a cut.
PROBE_TIMEOUT_S = 0.4


class Liveness(Enum):
    """What a look at a replica has shown."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"


async def probe(ask: Callable[[], Awaitable[object]]) -> Liveness:
    """Ask a replica something small and return what that shows.

    Parameters
    ----------
    ask : callable
        Asks; any answer shows that the replica is up.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            await ask()
        return Liveness.UP
    except TimeoutError:
        return Liveness.SILENT
    except (UpstreamUnreachableError, UpstreamBrokenError) as error:
        silent = isinstance(error.__cause__, TimeoutError)
        return Liveness.SILENT if silent else Liveness.DOWN
    except UpstreamHeldBackError:
        # It was not asked.
        return Liveness.SILENT
    except UpstreamError:
        # It has answered, be it that it refuses.
        return Liveness.UP


async def probe_repeatedly(ask: Callable[[], Awaitable[object]]) -> Liveness:
    """Look at a replica some times; return at once where it is down, else the last look."""
    result = Liveness.SILENT
    for number in range(PROBE_ATTEMPTS):
        if number:
            await asyncio.sleep(PROBE_INTERVAL_S)
        result = await probe(ask)
        if result is Liveness.DOWN:
            return result
    return result
