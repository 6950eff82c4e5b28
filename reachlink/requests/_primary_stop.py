"""Making sure that a generation has stopped at its primary before it resumes elsewhere."""

from reachlink.requests._generation_stopper import GenerationStopper, StopOutcome, StopResult
from reachlink.requests._model import CallerRequest
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._working_replicas import WorkingReplicas
from reachlink.upstreams import Replica

# Longest time in seconds for stopping a generation whose primary is silent. Callers leave after
# 2 s of silence, 1.4 s of which have passed.
SILENT_STOP_TIMEOUT_S = 0.5
# Longest time in seconds for stopping a generation whose connection broke and that has a copy: a
# replica in reach answers sooner, and most of the others have crashed.
BROKEN_STOP_TIMEOUT_S = 0.08
# Longest time in seconds for stopping a generation without a copy.
STOP_TIMEOUT_S = 0.7
# Maximum number of times that one generation without a copy is stopped.
MAX_STOPS = 2
# Number of consecutive checks that must find that a silent primary neither runs the generation
# nor lets it wait: its report is some hundred milliseconds old.
MIN_ENDED_CHECKS = 2
# The generation is still at its primary, and nothing can stop it there at this time.
_STAYS = frozenset({StopOutcome.WAITING, StopOutcome.HELD_BACK, StopOutcome.MOVE_IN_PROGRESS})


class PrimaryStop:
    """Stops one generation at the primary that it leaves.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Gives access to the replicas.
    request : CallerRequest
        Request of the generation.
    working : WorkingReplicas
        Replicas that may work on the generation.
    """

    def __init__(
        self, dispatcher: RequestDispatcher, request: CallerRequest, working: WorkingReplicas
    ) -> None:
        self._dispatcher = dispatcher
        self._stopper = GenerationStopper(dispatcher, request, working)
        self._result: StopResult | None = None
        self._ended_checks = 0
        self._stops = 0

    @property
    def result(self) -> StopResult | None:
        """What is known of the generation at the present primary; None before an order."""
        return self._result

    @property
    def can_stop(self) -> bool:
        """Whether the replicas of the service stop a generation on request."""
        return self._stopper.can_stop

    def reset(self) -> None:
        """Forget what is known, since the primary has changed or makes events again."""
        self._result = None
        self._ended_checks = 0
        self._stopper.reset()

    async def leaves_silent(
        self, primary: Replica, born: int, target: Replica | None, after_event: int
    ) -> bool:
        """Stop the generation at a silent primary; return whether it may resume elsewhere.

        It may not while it waits at the primary for memory: it cannot be stopped then, and
        would run there again as soon as there is room.

        Parameters
        ----------
        primary : Replica
            The silent primary.
        born : int
            Start time of the primary when it got the generation, in Unix milliseconds.
        target : Replica, optional
            Replica with the copy, to which the newest memory is moved.
        after_event : int
            Number of the last event that the caller got.
        """
        if self._dispatcher.placer.is_gone(primary, born):
            self._result = StopResult(StopOutcome.NOT_RUNNING)
            return True
        result = await self._stopper.stop(primary, target, after_event, SILENT_STOP_TIMEOUT_S)
        if result.outcome in _STAYS:
            self._ended_checks = 0
            return False
        if result.outcome is StopOutcome.NOT_RUNNING:
            self._ended_checks += 1
            if self._ended_checks < MIN_ENDED_CHECKS:
                return False
        self._result = result
        return True

    async def stop_broken(
        self, primary: Replica, born: int, target: Replica | None, after_event: int
    ) -> None:
        """Stop a generation that has a copy and whose connection to its primary broke."""
        if not self._dispatcher.placer.is_gone(primary, born):
            self._result = await self._stopper.stop(
                primary, target, after_event, BROKEN_STOP_TIMEOUT_S
            )

    async def stop_without_copy(
        self, primary: Replica, target: Replica | None, after_event: int
    ) -> None:
        """Stop a generation without a copy, so that it may resume from its primary's memory."""
        if self._stops >= MAX_STOPS:
            return
        self._stops += 1
        self._result = await self._stopper.stop(primary, target, after_event, STOP_TIMEOUT_S)

    def keep_stopping(self, earlier: list[Replica], current: Replica, after_event: int) -> None:
        """Have replicas stopped at which the generation may run beside the present primary.

        Parameters
        ----------
        earlier : list of Replica
            Replicas that have not confirmed that they have stopped it.
        current : Replica
            Replica at which the generation runs now.
        after_event : int
            Number of the last event that the caller got.
        """
        for replica in earlier:
            if replica.name != current.name:
                self._stopper.keep_stopping(replica, current, after_event)
