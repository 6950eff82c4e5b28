"""Refusing requests of operators that nobody waits for any more.

A connection may deliver a request seconds after it was sent: the process stood still, or the path
was cut. Its sender has turned to another instance then, and what it asks for may contradict what
was confirmed there since.
"""

import asyncio

from aiohttp import web

from reachlink.control.exceptions import OutdatedRequestError
from reachlink.kernel import LoopGaps
from reachlink.telemetry import get_logger

# Longest time in seconds that a request may have waited unread. Operators' clients turn to another
# instance after one second without an answer.
MAX_UNREAD_S = 0.85
# Time in seconds within which the end of a connection arrives that its sender closed before the
# request was read.
CLOSED_CHECK_S = 0.02


class RequestFreshness:
    """Tells whether the sender of a request still waits for its answer.

    Parameters
    ----------
    gaps : LoopGaps
        Times at which this process did not read.
    """

    def __init__(self, gaps: LoopGaps) -> None:
        self._gaps = gaps
        self._log = get_logger()

    async def check(self, request: web.BaseRequest) -> float:
        """Return for how long a request may have waited unread, in seconds.

        Raises
        ------
        OutdatedRequestError
            If it may have waited for too long, or its sender has closed the connection.
        """
        unread_s = self._gaps.max_unread_s()
        if unread_s > MAX_UNREAD_S:
            raise self._outdated(request, unread_s, f"it may have waited for {unread_s:.1f} s")
        await asyncio.sleep(CLOSED_CHECK_S)
        transport = request.transport
        if transport is None or transport.is_closing():
            raise self._outdated(request, unread_s, "its sender has closed the connection")
        return unread_s

    def _outdated(
        self, request: web.BaseRequest, unread_s: float, reason: str
    ) -> OutdatedRequestError:
        self._log.info(
            "operator_request_outdated",
            method=request.method,
            path=request.path,
            source=request.remote,
            unread_s=round(unread_s, 3),
            reason=reason,
        )
        return OutdatedRequestError(f"the request is outdated: {reason}")
