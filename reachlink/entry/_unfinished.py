"""Log lines about the requests that a planned stop leaves unfinished."""

from collections.abc import Iterable
from typing import Any

from reachlink.requests import CallerRequest

# Maximum number of requests that are logged one by one, so that writing does not delay the last
# answers.
MAX_LOGGED = 100


def log_unfinished(log: Any, requests: Iterable[CallerRequest], now: float) -> None:
    """Log the requests in progress shortly before the process is ended.

    Parameters
    ----------
    log : object
        Logger of the process.
    requests : iterable of CallerRequest
        Requests in progress.
    now : float
        Monotonic time in seconds.
    """
    unfinished = list(requests)
    for request in unfinished[:MAX_LOGGED]:
        progress = request.progress
        log.warning(
            "request_unfinished",
            request_id=request.request_id,
            route=request.route.name,
            stage=progress.stage.value,
            replica=progress.replica,
            last_event=progress.last_event,
            unchanged_s=round(now - max(progress.changed_at, request.arrived_at), 3),
            age_s=round(now - request.arrived_at, 3),
        )
    log.info("stop_ends", unfinished=len(unfinished), unlogged=len(unfinished[MAX_LOGGED:]))
