"""State of a queue ahead of one request."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class QueueState:
    """State of a queue ahead of one request, as its owner knows it.

    Attributes
    ----------
    ahead : int
        Number of requests ahead.
    ahead_tokens : int
        Memory that the requests ahead of the same class need, in tokens: those of the same
        priority that can also be in time, or can also only be late.
    granted_tokens_per_s : float
        Memory granted to waiting requests per second, in tokens; 0 if unknown.
    reserved_tokens : int
        Memory reserved for refused callers that were given a retry time, in tokens.
    over_share : bool
        Whether the request's workspace already has its share of the capacity.
    """

    ahead: int = 0
    ahead_tokens: int = 0
    granted_tokens_per_s: float = 0.0
    reserved_tokens: int = 0
    over_share: bool = False


EMPTY_QUEUE = QueueState()
