"""Log lines for the requests that a stop cuts."""

from collections.abc import Sequence
from typing import Any

from aiohttp import web

# Requests that are named; the others are only counted.
MAX_NAMED_REQUESTS = 20


def log_cut_requests(log: Any, cut: Sequence[tuple[web.BaseRequest, float]], now: float) -> None:
    """Name the requests that are still being handled, which are about to be cut.

    Parameters
    ----------
    log : structlog logger
        Logger of the process.
    cut : sequence of (aiohttp.web.BaseRequest, float)
        The requests, each with the monotonic time in seconds at which it began to be handled.
    now : float
        Monotonic time in seconds.
    """
    for request, began_at in cut[:MAX_NAMED_REQUESTS]:
        log.warning(
            "request_cut",
            request_id=request.get("request_id", ""),
            path=request.path,
            ran_ms=round((now - began_at) * 1000.0),
            sent_bytes=request.writer.output_size,
        )
    if cut:
        log.warning("requests_cut", count=len(cut))
