"""Decision where and when a request starts, or that it is refused; free of I/O and clocks.

An instance that decides alone and a coordinator that decides for its members use the same
function, each with the state that it knows.
"""

from collections.abc import Sequence
from random import Random

import msgspec

from reachlink.scheduling._choice import choose_replica
from reachlink.scheduling._need import Need
from reachlink.scheduling._placement_rules import REQUEST_RULES, PlacementRules
from reachlink.scheduling._queue_state import EMPTY_QUEUE, QueueState
from reachlink.scheduling._refusal import Refuse, expected_wait_s, refusal_if_needed
from reachlink.scheduling._replica_option import ReplicaOption


class Begin(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """The request starts now.

    Attributes
    ----------
    replica : str
        Replica at which it starts.
    """

    replica: str


class Wait(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The request waits in the queue: capacity is expected before its caller disconnects.

    Attributes
    ----------
    expected_wait_s : float
        Expected time until it starts, in seconds; a default if unknown.
    ahead : int
        Number of requests ahead of it.
    """

    expected_wait_s: float
    ahead: int = 0


Start = Begin | Wait | Refuse
"""Decision about the start of a request."""


def best_start(
    options: Sequence[ReplicaOption],
    need: Need,
    random: Random,
    queue: QueueState = EMPTY_QUEUE,
    rules: PlacementRules = REQUEST_RULES,
) -> Start:
    """Return where and when a request starts, or its refusal.

    Parameters
    ----------
    options : sequence of ReplicaOption
        Candidate replicas.
    need : Need
        Resources and deadlines of the request.
    random : random.Random
        Source of random numbers for drawing and for breaking ties.
    queue : QueueState
        State of the queue ahead of the request.
    rules : PlacementRules
        Rules by which the memory of engines is given.
    """
    name = choose_replica(options, need.tokens, random, rules, need)
    if name is not None and not queue.ahead:
        return Begin(name)
    # While a replica has capacity, waiting requests start soon, this one among them.
    refused = refusal_if_needed(need, queue, random) if name is None else None
    return refused or Wait(expected_wait_s(need, queue), queue.ahead)
