"""Probes that show whether a replica has ended or only a connection to it."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum

from reachlink.upstreams.exceptions import (
    UpstreamBrokenError,
    UpstreamError,
    UpstreamHeldBackError,
    UpstreamUnreachableError,
)

# Number of probes after a connection to a replica has ended, and the time between two of them
# in seconds. A process may close its port some milliseconds after the connection.
PROBE_ATTEMPTS = 3
PROBE_INTERVAL_S = 0.1
# Timeout of a probe in seconds. A replica that does not answer in time counts as silent, as one
# behind a network partition.
PROBE_TIMEOUT_S = 0.4


class Liveness(Enum):
    """Result of a probe of a replica."""

    UP = "up"
    DOWN = "down"
    SILENT = "silent"


async def probe(ask: Callable[[], Awaitable[object]]) -> Liveness:
    """Send a small request to a replica and return the result.

    Parameters
    ----------
    ask : callable
        Sends the request; any answer shows that the replica is up.
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
        # No request was sent.
        return Liveness.SILENT
    except UpstreamError:
        # The replica answered, possibly with a refusal.
        return Liveness.UP


async def probe_repeatedly(ask: Callable[[], Awaitable[object]]) -> Liveness:
    """Probe a replica several times; return early if it is down, else the last result."""
    result = Liveness.SILENT
    for number in range(PROBE_ATTEMPTS):
        if number:
            await asyncio.sleep(PROBE_INTERVAL_S)
        result = await probe(ask)
        if result is Liveness.DOWN:
            return result
    return result
