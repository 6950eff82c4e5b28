"""A caller's request, free of any border, and where its answer goes."""

from dataclasses import dataclass
from typing import Protocol

from reachlink.limits import CallerBuffer
from reachlink.pacing import Hold
from reachlink.routing import Route, Service
from reachlink.scheduling import Refuse
from reachlink.upstreams import AnswerHead, RelayRequest


@dataclass(slots=True)
class CallerRequest:
    """A request that was read whole, with what the routing table says of it.

    Attributes
    ----------
    relay : RelayRequest
        What is sent on.
    route : Route
        Its route.
    service : Service
        The one of the route's services that was drawn for it.
    arrived_at : float
        When it was read, in monotonic seconds.
    caller_timeout_s : float
        How long its caller waits from then on, in seconds.
    zones : frozenset of str, optional
        Availability zones that it may run in; None for any.
    refusal : Refuse, optional
        Why and until when there is no place for it, as the line's owner says.
    last_hold : Hold, optional
        Why its replicas got nothing as it was last looked for one.
    caller_buffer : CallerBuffer, optional
        Counts what is held for its caller; None where nobody counts.
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

    @property
    def request_id(self) -> str:
        """The caller's name for it."""
        return self.relay.request_id

    @property
    def deadline(self) -> float:
        """When it must have its final answer, in monotonic seconds."""
        return self.arrived_at + min(self.caller_timeout_s, self.route.timeout_s)

    @property
    def prompt_tokens(self) -> int:
        """Size of its prompt in tokens; 0 for a plain call."""
        return self.relay.generation.prompt_tokens if self.relay.generation else 0


class AnswerSink(Protocol):
    """Takes an answer and gives it to the caller."""

    async def write_whole(self, head: AnswerHead, body: bytes) -> None:
        """Give a whole answer."""

    async def begin(self, head: AnswerHead) -> None:
        """Begin an answer whose body follows in pieces."""

    async def write(self, data: bytes) -> None:
        """Give the next piece."""

    async def end(self) -> None:
        """End the body: the answer is complete."""
