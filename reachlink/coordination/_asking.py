"""Queries to one instance after the other for the placement of a request."""

from collections.abc import Awaitable, Callable, Iterable
from itertools import islice

from reachlink.membership import InstanceRecord
from reachlink.requests import PlacementReply

# Timeout of a placement query in seconds; then the next instance is asked. A reply takes about
# 3 ms within a zone, and longer from a coordinator that is busy or just starting.
REPLY_TIMEOUT_S = 0.15
# Number of instances that are asked before this one decides by itself.
MAX_ASKED = 2


async def ask_in_order(
    instances: Iterable[InstanceRecord],
    ask: Callable[[InstanceRecord], Awaitable[PlacementReply | None]],
) -> tuple[PlacementReply | None, InstanceRecord | None]:
    """Return the first reply of an instance that is ready to decide.

    Parameters
    ----------
    instances : iterable of InstanceRecord
        Instances to ask, in this order; only the first `MAX_ASKED` are asked.
    ask : callable
        Coroutine function that returns the reply of one instance, or None if it does not
        reply.

    Returns
    -------
    answer : PlacementReply or None
        The reply, or None if no ready instance replied.
    not_ready : InstanceRecord or None
        The first instance that replied but is not ready, if no ready instance replied. It
        decides only if the query forces it to.
    """
    not_ready: InstanceRecord | None = None
    for instance in islice(instances, MAX_ASKED):
        answer = await ask(instance)
        if answer is not None and answer.ready:
            return answer, None
        if answer is not None:
            not_ready = not_ready or instance
    return None, not_ready
