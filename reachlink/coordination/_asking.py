"""Asking one instance after the other where a request should go."""

from collections.abc import Awaitable, Callable, Iterable
from itertools import islice

from reachlink.membership import InstanceRecord
from reachlink.requests import PlaceAnswer

# How long an answer to a question may take, in seconds: some 3 ms within a zone,
# and what a coordinator that is busy or just starting takes. Then the next is asked.
ANSWER_TIMEOUT_S = 0.15
# How many instances are asked before this one decides by itself.
MAX_ASKED = 2


async def ask_in_order(
    instances: Iterable[InstanceRecord],
    ask: Callable[[InstanceRecord], Awaitable[PlaceAnswer | None]],
) -> tuple[PlaceAnswer | None, InstanceRecord | None]:
    """Return the first answer of one that has listened for long enough to decide.

    Parameters
    ----------
    instances : iterable of InstanceRecord
        Whom to ask, in this order; `ASKED` of them at the most.
    ask : callable
        Returns the answer of one of them; None where it is silent.

    Returns
    -------
    answer : PlaceAnswer or None
        The answer; None where none has listened for long enough.
    unsettled : InstanceRecord or None
        The first that answered but has just started, in that case: it decides where no other
        does, and only where the question insists.
    """
    unsettled: InstanceRecord | None = None
    for instance in islice(instances, MAX_ASKED):
        answer = await ask(instance)
        if answer is not None and answer.settled:
            return answer, None
        if answer is not None:
            unsettled = unsettled or instance
    return None, unsettled
