"""Requirements of a request on its replica.

This module does no input or output.
"""

from reachlink.requests._model import CallerRequest
from reachlink.scheduling import Need


def need_tokens(request: CallerRequest) -> int:
    """Return the memory that a generation is expected to need when it ends, in tokens."""
    facts = request.relay.generation
    if facts is None:
        return 0
    expected = facts.expected_output_tokens or facts.max_output_tokens
    return facts.prompt_tokens + min(expected, facts.max_output_tokens)


def need_of(request: CallerRequest, now: float) -> Need:
    """Return the requirements and time limits of a request as of `now` (monotonic seconds)."""
    return Need(
        tokens=need_tokens(request),
        prompt_tokens=request.prompt_tokens,
        first_event_due_in_s=request.arrived_at + request.route.objective_s - now,
        give_up_in_s=request.deadline - now,
        max_pause_s=request.route.event_gap_s,
        priority=request.relay.priority,
        workspace=request.relay.workspace,
        waited_s=now - request.arrived_at,
    )
