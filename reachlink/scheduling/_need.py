"""Resources and deadlines of a request."""

import msgspec


class Need(msgspec.Struct, array_like=True, frozen=True):
    """Resources that a request needs and the deadlines of its caller.

    It is sent as an array: the order of the fields is the wire format, and new fields are
    added at the end with a default.

    Attributes
    ----------
    tokens : int
        Memory that the generation likely takes at its end, in tokens; 0 for a plain call.
    prompt_tokens : int
        Length of the prompt, which is processed first, in tokens.
    first_event_due_in_s : float
        Time until the first event, or the answer of a plain call, is late, in seconds;
        negative if the request is late already.
    give_up_in_s : float
        Time until the caller disconnects, in seconds.
    max_pause_s : float
        Longest pause between events that is in time, in seconds; 0 if pauses are not limited.
    priority : int
        Priority; 0 is the most urgent.
    workspace : str
        Workspace of the request; empty if none.
    waited_s : float
        Time that the caller has waited, including refused attempts, in seconds.
    is_announced_retry : bool
        Whether the caller retries at the time given in an earlier refusal.
    """

    tokens: int = 0
    prompt_tokens: int = 0
    first_event_due_in_s: float = float("inf")
    give_up_in_s: float = float("inf")
    max_pause_s: float = 0.0
    priority: int = 5
    workspace: str = ""
    waited_s: float = 0.0
    is_announced_retry: bool = False

    @property
    def output_tokens(self) -> int:
        """Expected length of the output, in tokens."""
        return max(0, self.tokens - self.prompt_tokens)
