"""State of a replica that a placement decision uses."""

from dataclasses import dataclass

from reachlink.scheduling._pace import Pace


# Never modified, but not frozen: each decision creates one per replica, and creating an
# unfrozen instance takes a quarter of the time.
@dataclass(slots=True)
class Option:
    """State of a replica that is a candidate for a request.

    Attributes
    ----------
    name : str
        Name of the replica.
    near : bool
        Whether it is in this instance's zone.
    running : int
        Estimated number of requests at the replica.
    slots : int
        Number of requests that it processes at once; 0 if unknown.
    tokens : int
        Memory that its requests need at their end, in tokens.
    used_tokens : int
        Memory that its requests use now, in tokens.
    copy_tokens : int
        Memory of copies, which are dropped on demand, in tokens.
    arriving : int
        Number of copies in transfer to it.
    unread_tokens : int
        Length of the prompts that it still has to process, in tokens.
    capacity_tokens : int
        Memory of the replica, in tokens; 0 for a plain service.
    trust : float
        Probability with which the replica is considered for a request, from 0 to 1; below 1
        while it recovers from failures.
    reported_tokens : int
        Memory in use according to the replica's own report, in tokens; for logs only.
    joins_in_s : float, optional
        Time until a generation from a leaving replica is expected to continue here, in
        seconds.
    pace : Pace, optional
        Speed of the replica; None if it is not used.
    tokens_per_event : int
        Number of tokens in one event of its streams.
    own_running : int
        Number of the deciding instance's own requests among `running`; exact, since it does
        not depend on reports.
    """

    name: str
    near: bool
    running: int
    slots: int
    tokens: int = 0
    unread_tokens: int = 0
    capacity_tokens: int = 0
    trust: float = 1.0
    used_tokens: int = 0
    copy_tokens: int = 0
    arriving: int = 0
    reported_tokens: int = 0
    joins_in_s: float | None = None
    pace: Pace | None = None
    tokens_per_event: int = 1
    own_running: int = 0

    @property
    def remaining_tokens(self) -> int:
        """Output still expected from the requests at the replica, in tokens."""
        return max(0, self.tokens - self.used_tokens)
