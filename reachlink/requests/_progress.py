"""How far a request has come."""

from dataclasses import dataclass
from enum import Enum


class RequestStage(Enum):
    """Stage of a request that has been read completely."""

    WAITING = "waiting"
    """It waits for a replica."""
    SENT = "sent"
    """It was sent to a replica, and no answer has come."""
    ANSWERING = "answering"
    """The replica's answer is being read."""
    ANSWERED = "answered"
    """The answer has been read; the caller has yet to take it."""


@dataclass(slots=True)
class RequestProgress:
    """Progress of one request.

    Attributes
    ----------
    stage : RequestStage
        Present stage.
    replica : str
        Replica that it was sent to last; empty if to none.
    last_event : int
        Number of the last event passed on; -1 for none.
    changed_at : float
        Monotonic time in seconds at which one of these changed last.
    """

    stage: RequestStage = RequestStage.WAITING
    replica: str = ""
    last_event: int = -1
    changed_at: float = 0.0

    def enter(self, stage: RequestStage, now: float) -> None:
        """Note a new stage at `now`, in monotonic seconds."""
        self.stage, self.changed_at = stage, now

    def note_event(self, number: int, now: float) -> None:
        """Note the event passed on last at `now`, in monotonic seconds."""
        self.last_event, self.changed_at = number, now
