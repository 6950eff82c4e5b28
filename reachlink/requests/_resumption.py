"""Where a generation may resume, after it was stopped at the primary that it leaves."""

from reachlink.requests._event_merger import EventMerger
from reachlink.requests._generation_replicas import GenerationReplicas
from reachlink.requests._model import CallerRequest
from reachlink.requests._primary_stop import PrimaryStop
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._stop_order import LeftGeneration
from reachlink.requests._stop_results import StopResult
from reachlink.requests._working_replicas import WorkingReplicas
from reachlink.upstreams import MovedMemory, Replica

# Time since the last event in seconds within which a generation counts as running.
RAN_WITHIN_S = 0.25


class Resumption:
    """Has one generation leave its primary.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Gives access to the replicas.
    request : CallerRequest
        Request of the generation.
    replicas : GenerationReplicas
        Replicas of the generation.
    merger : EventMerger
        Provides the number of the last event.
    working : WorkingReplicas
        Replicas that may work on the generation.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        request: CallerRequest,
        replicas: GenerationReplicas,
        merger: EventMerger,
        working: WorkingReplicas,
    ) -> None:
        self._placer = dispatcher.placer
        self._replicas = replicas
        self._merger = merger
        # Primary that the generation leaves.
        self._left: Replica | None = None
        # Whether it still holds the generation as far as known, and its connection is open.
        self._may_stay = False
        self._stop = PrimaryStop(dispatcher, request, working)

    @property
    def stop_result(self) -> StopResult | None:
        """What is known of the generation at the primary since an order to stop it."""
        return self._stop.result

    @property
    def may_run_at_primary(self) -> bool:
        """Whether the primary has not confirmed that it has stopped the generation."""
        return self.stop_result is None or not self.stop_result.stopped

    @property
    def primary_has_stopped(self) -> bool:
        """Whether the primary has stopped the generation, be it by an order answered late."""
        return self._stop.has_stopped

    def forget(self) -> None:
        """Forget what is known of the generation at the primary, which makes events again."""
        self._stop.reset()
        self._replicas.pause_checks(False)

    async def leaves_silent_primary(self) -> bool:
        """Stop the generation at a silent primary; return whether it may resume elsewhere."""
        replicas = self._replicas
        # The memory of a stopped generation may be that of the copy.
        replicas.pause_checks(True)
        leaves = await self._stop.leaves_silent(
            replicas.primary,
            replicas.primary_born,
            replicas.shadow,
            self._merger.last_event_number,
            self._known(),
        )
        replicas.pause_checks(leaves)
        return leaves

    async def options(self) -> list[tuple[Replica, MovedMemory]]:
        """Return the replicas and memory from which the generation may resume, best first.

        Unless the primary has stopped the generation already, it is ordered to.
        """
        self._replicas.pause_checks(True)
        # A primary that is left for its silence was ordered to stop before.
        self._may_stay = self.stop_result is not None and self.may_run_at_primary
        if self.stop_result is None:
            await self._stop_broken_primary()
        copies = await self._replicas.copies()
        primary = self._left = self._replicas.primary
        stopped = self.stop_result.options(primary) if self.stop_result is not None else []
        moved = [option for option in stopped if option[0].name != primary.name]
        kept = [option for option in stopped if option[0].name == primary.name]
        return [*moved, *(copy for copy in copies if copy not in moved), *kept]

    def pause_orders(self, target: Replica) -> None:
        """Send no orders to a replica at which the generation is to resume."""
        self._stop.pause(target)

    def continue_orders(self, target: Replica) -> None:
        """Send orders again to a replica at which the generation could not resume."""
        self._stop.go_on(target)

    def note_resumed(self, previous: Replica, tried: list[Replica]) -> None:
        """Have all others stopped that may run the generation, now that its primary has resumed it.

        Parameters
        ----------
        previous : Replica
            The previous primary.
        tried : list of Replica
            Replicas at which an attempt to resume broke off after it was sent.
        """
        earlier = [previous, *tried] if self.may_run_at_primary else tried
        self._stop.keep_stopping(earlier, self._replicas.primary, self._merger.last_event_number)
        self.forget()

    def note_stays(self, tried: list[Replica]) -> None:
        """Have all others stopped that may run the generation, which stays at its primary."""
        self._stop.withdraw()
        self._stop.keep_stopping(tried, self._replicas.primary, self._merger.last_event_number)
        self.forget()

    def close(self) -> None:
        """Have memory freed from which nobody resumes, since the stream has ended."""
        self._stop.close()

    async def late_options(self) -> list[tuple[Replica, MovedMemory]]:
        """Return where the generation may resume if the primary has answered late that it stopped.

        The answer is waited for, unless the generation may stay at the primary.
        """
        if self._left is None or not self.may_run_at_primary:
            return []
        await self._stop.update(wait=not self._may_stay)
        return self.stop_result.options(self._left) if self.stop_result is not None else []

    async def options_after(self, tried: Replica) -> list[tuple[Replica, MovedMemory]]:
        """Return where the generation may resume after an attempt to resume it broke off.

        The replica of that attempt may run the generation, and is ordered to stop it. Its memory
        is used only if the primary that the generation leaves has stopped it.
        """
        order = await self._stop.stop_broken_off(tried, self._merger.last_event_number)
        if order is None:
            return []
        if self._may_stay:
            order.abandon()
            return []
        return order.result.options(tried)

    def _known(self) -> LeftGeneration:
        """Return what is known of the generation at the primary."""
        replicas = self._replicas
        return LeftGeneration(
            ran=replicas.silent_s < RAN_WITHIN_S,
            not_running_since=replicas.not_running_since,
            is_transferring=replicas.is_transferring,
        )

    async def _stop_broken_primary(self) -> None:
        """Stop the generation at a primary that may still run it although its connection broke."""
        replicas = self._replicas
        primary = replicas.primary
        if not self._stop.can_stop:
            return
        after_event = self._merger.last_event_number
        if replicas.has_arrived_copy:
            born, target = replicas.primary_born, replicas.shadow
            await self._stop.stop_broken(
                primary, born, target, after_event, replicas.silent_s, self._known()
            )
            return
        target = await replicas.choose_departure_target()
        await self._stop.stop_without_copy(primary, target, after_event)
