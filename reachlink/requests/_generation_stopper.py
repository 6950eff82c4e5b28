"""Stopping a generation whose connection was lost, while its replica may still run it."""

import asyncio

from reachlink.requests._model import CallerRequest
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.upstreams import MovedMemory, MoveFailure, MoveResult, Replica, UpstreamError

# Longest time in seconds for stopping a generation: callers leave after 2 s of silence, most of
# which may have passed.
STOP_TIMEOUT_S = 0.7
# Time in seconds between two orders while another transfer of the generation is in progress.
RETRY_INTERVAL_S = 0.05
# Maximum number of times that one generation is stopped.
MAX_STOPS = 2


class GenerationStopper:
    """Stops one generation at its primary, which keeps the memory or moves it.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Gives access to the replicas.
    request : CallerRequest
        Request of the generation.
    """

    def __init__(self, dispatcher: RequestDispatcher, request: CallerRequest) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._stops = 0

    async def stop(
        self, primary: Replica, target: Replica | None, after_event: int
    ) -> list[tuple[Replica, MovedMemory]]:
        """Stop the generation and return where it may resume, if anywhere.

        Parameters
        ----------
        primary : Replica
            Replica that may still run the generation.
        target : Replica, optional
            Replica with room for its memory; any other one is named if there is none.
        after_event : int
            Number of the last event that the caller got.
        """
        target = target or self._any_other(primary)
        if target is None or self._stops >= MAX_STOPS:
            return []
        self._stops += 1
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                result = await self._order_stop(primary, target)
        except (UpstreamError, TimeoutError) as error:
            self._log(primary, target, after_event, str(error) or type(error).__name__)
            return []
        outcome = "arrived" if result.arrived else result.failure.value
        self._log(primary, target, after_event, outcome)
        if result.memory is None:
            return []
        # A replica that has stopped resumes from its own memory.
        return [(target if result.arrived else primary, result.memory)]

    def _any_other(self, primary: Replica) -> Replica | None:
        reachable = self._dispatcher.placer.reachable
        live = reachable.live(self._request.service.name, self._dispatcher.now())
        return next((replica for replica in live if replica.name != primary.name), None)

    async def _order_stop(self, primary: Replica, target: Replica) -> MoveResult:
        """Order the primary to stop the generation and to move its memory."""
        move = self._dispatcher.adapter.move
        while True:
            result = await move(primary, self._request.request_id, target, True)
            if result.failure is not MoveFailure.MOVE_IN_PROGRESS or result.memory is not None:
                return result
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _log(self, primary: Replica, target: Replica, after_event: int, outcome: str) -> None:
        self._dispatcher.log.info(
            "generation_stopped",
            request_id=self._request.request_id,
            source=primary.name,
            target=target.name,
            after_event=after_event,
            outcome=outcome,
        )
