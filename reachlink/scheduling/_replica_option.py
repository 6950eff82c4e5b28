"""State of a replica that a placement decision uses."""

from dataclasses import dataclass

from reachlink.scheduling._pace import Pace


# Never modified, but not frozen: each decision creates one per replica, and creating an
# unfrozen instance takes a quarter of the time.
@dataclass(slots=True)
class ReplicaOption:
    """State of a replica that is a candidate for a request.

    Attributes
    ----------
    name : str
        Name of the replica.
    same_zone : bool
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
        Memory of evictable copies, in tokens.
    pending_transfers : int
        Number of pending transfers of copies to it.
    unread_tokens : int
        Length of the prompts that it has not read yet, in tokens.
    capacity_tokens : int
        Memory of the replica, in tokens; 0 for a plain service.
    allowance : float
        Share of its usual load that it may get, from 0 to 1; below 1 while it recovers from
        failures. It is the probability with which a request considers the replica.
    reported_tokens : int
        Memory in use according to the replica's own report, in tokens; for logs only.
    resumes_in_s : float, optional
        Time until a generation from a leaving replica is expected to resume here, in seconds.
    pace : Pace, optional
        Speed of the replica; None if it is not used.
    tokens_per_event : int
        Number of tokens in one event of its streams.
    own_running : int
        Number of the deciding instance's own requests among `running`; exact, since it does
        not depend on reports.
    """

    name: str
    same_zone: bool
    running: int
    slots: int
    tokens: int = 0
    unread_tokens: int = 0
    capacity_tokens: int = 0
    allowance: float = 1.0
    used_tokens: int = 0
    copy_tokens: int = 0
    pending_transfers: int = 0
    reported_tokens: int = 0
    resumes_in_s: float | None = None
    pace: Pace | None = None
    tokens_per_event: int = 1
    own_running: int = 0

    @property
    def remaining_tokens(self) -> int:
        """Output still expected from the requests at the replica, in tokens."""
        return max(0, self.tokens - self.used_tokens)
