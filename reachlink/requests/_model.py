"""Protocol-independent request of a caller, and the interface that takes its answer."""

from dataclasses import dataclass, field
from typing import Protocol

from reachlink.limits import CallerBuffer
from reachlink.pacing import Hold
from reachlink.requests._progress import RequestProgress
from reachlink.routing import Route, Service
from reachlink.scheduling import Refuse
from reachlink.upstreams import AnswerHead, RelayRequest


@dataclass(slots=True)
class CallerRequest:
    """A completely read request with its route.

    Attributes
    ----------
    relay : RelayRequest
        Request as it is sent to a replica.
    route : Route
        Route that the request matched.
    service : Service
        Service that was selected at random from the services of the route.
    arrived_at : float
        Monotonic time in seconds at which the request was read.
    caller_timeout_s : float
        Time in seconds that the caller waits for the answer, from `arrived_at` on.
    zones : frozenset of str, optional
        Availability zones that the request may run in; None for any.
    refusal : Refuse, optional
        Refusal by the owner of the queue, with its reason and the time to retry.
    last_hold : Hold, optional
        Why pacing held the request back from all replicas in the last placement, if it did.
    caller_buffer : CallerBuffer, optional
        Buffer account of the caller; None if nothing is accounted for.
    may_have_run : bool
        Whether a replica may have run the request by now.
    progress : RequestProgress
        How far the request has come.
    """

    relay: RelayRequest
    route: Route
    service: Service
    arrived_at: float
    caller_timeout_s: float
    zones: frozenset[str] | None = None
    refusal: Refuse | None = None
    last_hold: Hold | None = None
    caller_buffer: CallerBuffer | None = None
    may_have_run: bool = False
    progress: RequestProgress = field(default_factory=RequestProgress)

    @property
    def request_id(self) -> str:
        """Request id that the caller gave."""
        return self.relay.request_id

    @property
    def deadline(self) -> float:
        """Monotonic time in seconds by which the final answer must be given."""
        return self.arrived_at + min(self.caller_timeout_s, self.route.timeout_s)

    @property
    def prompt_tokens(self) -> int:
        """Size of the prompt in tokens; 0 for a plain call."""
        return self.relay.generation.prompt_tokens if self.relay.generation else 0


@dataclass(slots=True, frozen=True)
class WholeAnswer:
    """A replica's answer that was read completely."""

    head: AnswerHead
    body: bytes


class AnswerSink(Protocol):
    """Writes an answer to the caller.

    Each method raises `CallerGoneError` if the caller has closed its connection.
    """

    @property
    def begun(self) -> bool:
        """Whether a part of an answer was written, so that no other answer can be given."""

    async def write_whole(self, head: AnswerHead, body: bytes) -> None:
        """Write a whole answer."""

    async def begin(self, head: AnswerHead) -> None:
        """Write the head of an answer whose body follows in chunks."""

    async def write(self, data: bytes) -> None:
        """Write the next chunk of the body."""

    async def end(self) -> None:
        """End the body; the answer is complete."""
