"""Limits on the time that a request waits for a replica before it is refused. No I/O."""

from reachlink.requests._model import CallerRequest

# Longest wait for room, as a fraction of the objective of the route. A refusal after that would
# be too late for the caller to retry within the objective.
ROOM_WAIT_SHARE = 0.22
# Interval in seconds at which a waiting request checks for room.
ROOM_POLL_INTERVAL_S = 0.02
# Longest wait, as a fraction of the objective, if all replicas are held back by a backoff or a
# rate limit. The end of this wait is known, so that the request may still be answered in time.
# If the wait would be longer, the caller is told the exact time at once, and its retry may reach
# another instance that was not asked for a backoff.
PACING_WAIT_SHARE = 0.5
# Interval in seconds at which such a request checks for a replica that is not held back.
PACING_POLL_INTERVAL_S = 0.1
# Longest wait for the first list of replicas, in seconds and as a fraction of the time that the
# request has in total. The rest is left for the request itself, or for a retry of the caller.
FIRST_LIST_WAIT_S = 1.0
FIRST_LIST_WAIT_SHARE = 0.33
# Longest time in seconds for which the owner of a queue holds back its reply (long polling). A
# queued request sends nothing else meanwhile, and loses its place if it does not ask again then.
QUEUE_POLL_TIMEOUT_S = 0.5


def may_wait_for_room(request: CallerRequest, now: float) -> bool:
    """Return whether a request may still wait for room at `now`, in monotonic seconds."""
    return now < request.arrived_at + request.route.objective_s * ROOM_WAIT_SHARE


def first_list_deadline(request: CallerRequest) -> float:
    """Return the monotonic time in seconds until which a request may wait for the first list."""
    total_s = request.deadline - request.arrived_at
    return request.arrived_at + min(FIRST_LIST_WAIT_S, total_s * FIRST_LIST_WAIT_SHARE)


def max_permit_wait_s(request: CallerRequest, now: float) -> float:
    """Return how long a request may wait for a permit, in seconds; 0 if it may not wait."""
    until = request.arrived_at + request.route.objective_s * PACING_WAIT_SHARE
    return max(0.0, until - now)


def poll_delay_s(request: CallerRequest, now: float, held_s: float | None) -> float | None:
    """Return the delay until a request checks for a replica again; None if it is to give up.

    Parameters
    ----------
    request : CallerRequest
        The request.
    now : float
        Monotonic time in seconds.
    held_s : float, optional
        Time in seconds until pacing allows a request at the first of the replicas; None if
        the request waits for room instead.

    Returns
    -------
    float or None
        Delay in seconds.
    """
    if held_s is None:
        return ROOM_POLL_INTERVAL_S if may_wait_for_room(request, now) else None
    if held_s >= max_permit_wait_s(request, now):
        return None
    return max(ROOM_POLL_INTERVAL_S, min(held_s, PACING_POLL_INTERVAL_S))
