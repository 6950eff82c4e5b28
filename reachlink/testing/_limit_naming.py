"""Stand-ins that name how many requests a second they take from all together."""

import time
from collections import deque
from collections.abc import Callable

from aiohttp import web

from reachlink.upstreams import LIMIT_HEADER

# Arrivals that are remembered.
MAX_ARRIVALS = 4000
# What tests ask a stand-in itself, in place of the fleet.
_OF_TESTS = frozenset({"/faults", "/healthz", "/leave", "/calls"})


class LimitNaming:
    """Has all answers of an application name a limit, and remembers what reached it.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application.
    limit_per_s : callable
        Returns the limit, in requests a second; 0 for none.
    """

    def __init__(self, app: web.Application, limit_per_s: Callable[[], float]) -> None:
        self._limit_per_s = limit_per_s
        self._arrivals: deque[tuple[float, str]] = deque(maxlen=MAX_ARRIVALS)
        app.on_response_prepare.append(self._on_answer)

    @property
    def arrivals(self) -> list[tuple[float, str]]:
        """When each request came, in monotonic seconds of the machine, and its path."""
        return list(self._arrivals)

    async def _on_answer(self, request: web.Request, response: web.StreamResponse) -> None:
        if request.path in _OF_TESTS:
            return
        self._arrivals.append((time.monotonic(), request.path))
        per_s = self._limit_per_s()
        if per_s:
            response.headers[LIMIT_HEADER] = str(per_s)
