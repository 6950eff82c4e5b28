"""What is known of a generation at a replica that was ordered to stop it."""

from dataclasses import dataclass
from enum import Enum

from reachlink.upstreams import MovedMemory, MoveFailure, MoveResult, Replica


class StopOutcome(Enum):
    """What is known of a generation after an order to stop it; the value appears in log lines."""

    STOPPED = "stopped"
    # The replica does not run it now: it has ended there, or was preempted and waits.
    NOT_RUNNING = "not_running"
    # It was preempted and waits for memory, as far as the replica's report shows.
    WAITING = "waiting"
    # Pacing does not allow an order at this time.
    HELD_BACK = "held_back"
    # The replica executes only one move of a generation at a time.
    MOVE_IN_PROGRESS = "move_in_progress"
    # No connection could be made.
    UNREACHABLE = "unreachable"
    UNANSWERED = "unanswered"


@dataclass(slots=True, frozen=True)
class StopResult:
    """Result of an order to stop a generation.

    Attributes
    ----------
    outcome : StopOutcome
        What is known of the generation at the replica.
    target : Replica, optional
        Replica that the memory was to be moved to; None if no order was sent.
    memory : MovedMemory, optional
        Memory from which the stopped generation can resume, if any.
    arrived : bool
        Whether `target` has received the memory; if not, the stopped replica keeps it.
    """

    outcome: StopOutcome
    target: Replica | None = None
    memory: MovedMemory | None = None
    arrived: bool = False

    @property
    def stopped(self) -> bool:
        """Whether the replica has confirmed that the generation has stopped."""
        return self.outcome is StopOutcome.STOPPED

    def options(self, primary: Replica) -> list[tuple[Replica, MovedMemory]]:
        """Return where the generation may resume from the memory of the stopped primary."""
        if self.memory is None or self.target is None:
            return []
        # A replica that has stopped resumes from its own memory.
        return [(self.target if self.arrived else primary, self.memory)]


def result_of(moved: MoveResult, target: Replica) -> StopResult:
    """Return what the answer to an order to stop shows."""
    if moved.arrived or moved.memory is not None:
        return StopResult(StopOutcome.STOPPED, target, moved.memory, moved.arrived)
    if moved.failure is MoveFailure.NOT_RUNNING:
        return StopResult(StopOutcome.NOT_RUNNING, target)
    if moved.failure is MoveFailure.MOVE_IN_PROGRESS:
        return StopResult(StopOutcome.MOVE_IN_PROGRESS, target)
    # Without a handle it is not known whether the generation has stopped.
    return StopResult(StopOutcome.UNANSWERED, target)
