"""How long a request waits for a replica before it is refused; pure."""

from reachlink.requests._model import CallerRequest

# How long a request waits for room, as a share of its objective: a refusal
# after that would come too late for another attempt in time.
ROOM_WAIT_SHARE = 0.22
# How often it looks for room meanwhile, in seconds.
ROOM_POLL_INTERVAL_S = 0.02
# The same where its replicas are all held back by what they have asked for: up to there it may
# still be answered in time, as what it waits for is known and short. Beyond, who is told
# the exact time at once may meet another instance, which was not asked for a backoff.
PACING_WAIT_SHARE = 0.5
# How often such a one looks for a replica that is not, in seconds.
PACING_POLL_INTERVAL_S = 0.1
# How long a request waits for the first list of replicas, in seconds, and as a share of what
# its caller waits in all: the rest is for the request itself, or for another attempt.
FIRST_LIST_WAIT_S = 1.0
FIRST_LIST_WAIT_SHARE = 0.33
# How long the owner of a line may hold its answer, in seconds: until then who waits says
# nothing more, and from then on its place is another's.
QUEUE_POLL_TIMEOUT_S = 0.5


def may_wait_for_room(request: CallerRequest, now: float) -> bool:
    """Return whether a request may wait for room still, at a monotonic time in seconds."""
    return now < request.arrived_at + request.route.objective_s * ROOM_WAIT_SHARE


def first_list_deadline(request: CallerRequest) -> float:
    """Return until when a request may wait for the first list, in monotonic seconds."""
    total_s = request.deadline - request.arrived_at
    return request.arrived_at + min(FIRST_LIST_WAIT_S, total_s * FIRST_LIST_WAIT_SHARE)


def max_permit_wait_s(request: CallerRequest, now: float) -> float:
    """Return how long a request may wait for its permit at a replica, in seconds; 0 for not."""
    until = request.arrived_at + request.route.objective_s * PACING_WAIT_SHARE
    return max(0.0, until - now)


def poll_delay_s(request: CallerRequest, now: float, held_s: float | None) -> float | None:
    """Return when a request should look for a replica again; None for it not to.

    Parameters
    ----------
    request : CallerRequest
        The request.
    now : float
        Monotonic time in seconds.
    held_s : float, optional
        Time until the first of its replicas may get something, in seconds; None where
        that is not what keeps it waiting.

    Returns
    -------
    float or None
        Pause in seconds.
    """
    if held_s is None:
        return ROOM_POLL_INTERVAL_S if may_wait_for_room(request, now) else None
    if held_s >= max_permit_wait_s(request, now):
        return None
    return max(ROOM_POLL_INTERVAL_S, min(held_s, PACING_POLL_INTERVAL_S))
