"""What stays the same over the attempts of one answer, and where its events go."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from reachlink.delivery import Position
from reachlink.entry._dispatcher import Ticket
from reachlink.kernel import steady_time
from reachlink.settings import ServiceInfo, ServicePolicy
from reachlink.upstreams import GenerationRequest, TokenEvent


class Sink(Protocol):
    """Where the events of an answer go."""

    async def begin(self, position: Position) -> None:
        """The answer comes from this generation; called again for a new one."""

    async def forward(self, events: Sequence[TokenEvent]) -> None:
        """Take the next events."""

    async def restart(self) -> None:
        """Drop what was taken: another generation begins."""


@dataclass(slots=True)
class AnswerJob:
    """All that stays the same over the attempts of one request."""

    request_id: str
    service: ServiceInfo
    policy: ServicePolicy
    workspace: str
    ticket: Ticket
    request: GenerationRequest
    repeatable: bool
    buffered: bool
    started_at: float = field(default_factory=steady_time)
