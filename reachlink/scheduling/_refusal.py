"""Refusal of requests on arrival, and the time after which they retry; free of I/O and clocks.

Under overload, in bursts or for long, by few workspaces or by many, a request that could not
end before its deadline is refused on arrival. Each refusal carries a retry time of its own,
so that requests that are refused together do not retry together.
"""

from collections.abc import Mapping
from enum import Enum
from random import Random

import msgspec

from reachlink.scheduling._duration import latest_start_s
from reachlink.scheduling._need import Need
from reachlink.scheduling._queue_state import QueueState

# Minimum retry time, in seconds: the known state of the capacity is this old.
MIN_RETRY_AFTER_S = 0.1
# Maximum retry time, in seconds: the grant rate is not predictable for longer.
MAX_RETRY_AFTER_S = 30.0
# Callers respect a retry time up to this share of their remaining time and shorten a longer
# one.
RESPECTED_SHARE = 1.0 / 3.0
# Random share by which a retry time is lengthened, or shortened if it is at its maximum.
JITTER_SHARE = 0.1
# A service is overloaded for a request whose wait takes at least this share of the time until
# its first event is due: with a longer wait, too little is left for processing its prompt.
OVERLOAD_SHARE = 0.25
# Maximum share of the freed capacity that is reserved for retries: retries are usually late
# already and take the capacity from requests that could be in time.
RESERVED_SHARE = 0.1
# Assumed wait while no grant rate is known, in seconds.
DEFAULT_WAIT_S = 1.0
# Maximum of an expected wait, in seconds.
MAX_EXPECTED_WAIT_S = 3600.0


class RefusalReason(Enum):
    """Reason of a refusal; the value is its code in logs and metrics."""

    NO_ROOM = "no_room"
    LINE_FULL = "line_full"
    OVER_SHARE = "over_share"


class Refuse(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The request is refused; its caller may retry.

    Attributes
    ----------
    retry_after_s : float
        Time after which the caller should retry, in seconds; finite.
    reason : RefusalReason
        Reason of the refusal.
    place_reserved : bool
        Whether capacity is expected at that time and reserved for the retry. Otherwise the
        time is only the longest that the caller respects.
    """

    retry_after_s: float
    reason: RefusalReason = RefusalReason.NO_ROOM
    place_reserved: bool = False


def expected_wait_s(need: Need, queue: QueueState) -> float:
    """Return the expected time until there is capacity for a request, in seconds; finite.

    A retry at its given time goes ahead of a new request, and behind earlier retries.

    Parameters
    ----------
    need : Need
        Resources and deadlines of the request.
    queue : QueueState
        State of the queue ahead of the request.
    """
    if queue.granted_tokens_per_s <= 0.0:
        return DEFAULT_WAIT_S
    wait_s = (queue.ahead_tokens + need.tokens) / queue.granted_tokens_per_s
    if not need.is_announced_retry:
        # Retries take at most their reserved share of the capacity.
        reserved_s = queue.reserved_tokens / queue.granted_tokens_per_s
        wait_s = min(wait_s + reserved_s, wait_s / (1.0 - RESERVED_SHARE))
    return min(MAX_EXPECTED_WAIT_S, wait_s)


def refusal_if_needed(need: Need, queue: QueueState, random: Random) -> Refuse | None:
    """Return the refusal of a request that finds no capacity, or None if it may wait.

    No request is refused while the grant rate is unknown. Requests of a workspace that has
    its share already are refused as soon as the service is overloaded, before others. A retry
    at its given time is not refused for that again.

    Parameters
    ----------
    need : Need
        Resources and deadlines of the request.
    queue : QueueState
        State of the queue ahead of the request.
    random : random.Random
        Source of the jitter on retry times.
    """
    if queue.granted_tokens_per_s <= 0.0:
        return None
    wait_s = expected_wait_s(need, queue)
    if wait_s >= latest_start_s(need):
        return make_refusal(need, queue, RefusalReason.NO_ROOM, random)
    overloaded = wait_s >= OVERLOAD_SHARE * need.first_event_due_in_s
    if queue.over_share and overloaded and not need.is_announced_retry:
        return make_refusal(need, queue, RefusalReason.OVER_SHARE, random)
    return None


def make_refusal(need: Need, queue: QueueState, reason: RefusalReason, random: Random) -> Refuse:
    """Return a refusal with its retry time.

    Parameters
    ----------
    need : Need
        Resources and deadlines of the request.
    queue : QueueState
        State of the queue ahead of the request.
    reason : RefusalReason
        Reason of the refusal.
    random : random.Random
        Source of the jitter on retry times.
    """
    max_s = max_retry_after_s(need)
    reserved_s = _earliest_reservation_s(need, queue) * (1.0 + JITTER_SHARE * random.random())
    known = queue.granted_tokens_per_s > 0.0
    if reserved_s <= max_s:
        return Refuse(max(MIN_RETRY_AFTER_S, reserved_s), reason, place_reserved=known)
    return Refuse(max(MIN_RETRY_AFTER_S, max_s * (1.0 - JITTER_SHARE * random.random())), reason)


def _earliest_reservation_s(need: Need, queue: QueueState) -> float:
    """Return the time until capacity can be reserved for a retry, in seconds.

    It comes after the retries for which capacity is reserved already.
    """
    if queue.granted_tokens_per_s <= 0.0:
        return DEFAULT_WAIT_S
    share_s = (queue.reserved_tokens + need.tokens) / (RESERVED_SHARE * queue.granted_tokens_per_s)
    return max(expected_wait_s(need, queue), share_s)


def max_retry_after_s(need: Need) -> float:
    """Return the longest retry time that a caller respects, in seconds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, RESPECTED_SHARE * need.give_up_in_s))


def is_over_share(workspace: str, demand: Mapping[str, float], capacity: float) -> bool:
    """Return whether a workspace demands more than its share of the capacity.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    demand : mapping of str to float
        Demand of each workspace, including what it has already.
    capacity : float
        Capacity, in the same unit.

    Examples
    --------
    >>> is_over_share("large", {"large": 60.0, "small": 10.0, "other": 50.0}, 100.0)
    True
    >>> is_over_share("other", {"large": 60.0, "small": 10.0, "other": 40.0}, 100.0)
    False
    """
    return demand.get(workspace, 0.0) > fair_share(demand, capacity)


def fair_share(demand: Mapping[str, float], capacity: float) -> float:
    """Return the max-min fair share of each workspace.

    What a workspace leaves of its share goes to the others.

    Parameters
    ----------
    demand : mapping of str to float
        Demand of each workspace.
    capacity : float
        Capacity, in the same unit.

    Returns
    -------
    float
        Maximum for each workspace; infinite if the capacity suffices for all.
    """
    left, remaining = capacity, len(demand)
    for demanded in sorted(demand.values()):
        if demanded * remaining > left:
            return left / remaining
        left -= demanded
        remaining -= 1
    return float("inf")
