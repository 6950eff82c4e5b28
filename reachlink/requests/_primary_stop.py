"""Making sure that a generation has stopped at its primary before it resumes elsewhere."""

import math

from reachlink.requests._model import CallerRequest
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._stop_order import NOTHING_KNOWN, LeftGeneration, Patience, StopOrder
from reachlink.requests._stop_results import StopOutcome, StopResult
from reachlink.requests._working_replicas import WorkingReplicas
from reachlink.upstreams import Replica

# Longest time in seconds for stopping a generation whose primary is silent. Callers leave after
# 2 s of silence, 1.4 s of which have passed.
SILENT_STOP_TIMEOUT_S = 0.5
# Longest wait in seconds for an answer of a primary whose connection broke, if there is a copy: a
# replica in reach answers sooner, and most of the others have crashed. Orders go on meanwhile, and
# callers' rules allow both replicas to work for 0.4 s.
UNANSWERED_WAIT_S = 0.15
# The same of a primary that leaves, which most probably has ended.
LEAVING_WAIT_S = 0.08
# Longest wait in seconds until pacing allows an order, if there is a copy.
HELD_BACK_WAIT_S = 1.0
# Time since the last event in seconds until which a generation with a copy may wait for memory
# at a primary whose connection broke: callers leave after 2 s.
WAITING_LIMIT_S = 1.5
# Longest wait in seconds for an answer about a generation without a copy, and for all that keeps
# a primary that leaves from stopping it.
NO_COPY_WAIT_S = 2.0
# Longest wait in seconds for a replica at which an attempt to resume broke off.
BROKEN_OFF_WAIT_S = 0.5
# Maximum number of times that one generation without a copy is stopped.
MAX_STOPS = 2


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
        self._request = request
        self._working = working
        self._order: StopOrder | None = None
        self._result: StopResult | None = None
        # Order to a silent primary at which the generation stays; it may be carried out late.
        self._withdrawn: StopOrder | None = None
        # Last order to each replica, by name.
        self._orders: dict[str, StopOrder] = {}
        self._stops = 0

    @property
    def result(self) -> StopResult | None:
        """What is known of the generation at the present primary; None before an order."""
        return self._result

    @property
    def can_stop(self) -> bool:
        """Whether the replicas of the service stop a generation on request."""
        engine = self._request.service.engine
        return engine is not None and engine.moves

    @property
    def has_stopped(self) -> bool:
        """Whether the primary has stopped the generation, be it by an order answered late."""
        order = self._order or self._withdrawn
        return order is not None and order.result.stopped

    def reset(self) -> None:
        """Forget what is known, since the primary has changed or makes events again."""
        self._result = None
        self._order = None

    async def leaves_silent(
        self,
        primary: Replica,
        born: int,
        target: Replica | None,
        after_event: int,
        known: LeftGeneration,
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
        known : LeftGeneration
            What is known of the generation there.
        """
        if self._dispatcher.placer.is_gone(primary, born):
            self._working.end(primary.name)
            self._result = StopResult(StopOutcome.NOT_RUNNING)
            return True
        order = self._order
        if order is None and self.has_stopped:
            order, self._withdrawn = self._withdrawn, None
        order = order or self._order_to(primary, target, after_event, known)
        if order is None:
            self._result = StopResult(StopOutcome.UNANSWERED)
            return True
        self._order = order
        result = order.result
        if not order.settled:
            result = await order.check(SILENT_STOP_TIMEOUT_S)
        if result.outcome is StopOutcome.UNANSWERED and known.is_transferring():
            order.start()
            result = await order.settle(_SILENT)
        if not order.settled and result.outcome is not StopOutcome.UNANSWERED:
            order.withdraw()
            return False
        self._result = result
        order.start()
        return True

    async def stop_broken(
        self,
        primary: Replica,
        born: int,
        target: Replica | None,
        after_event: int,
        silent_s: float,
        known: LeftGeneration,
    ) -> None:
        """Stop a generation that has a copy and whose connection to its primary broke.

        Parameters
        ----------
        primary : Replica
            The primary.
        born : int
            Start time of the primary when it got the generation, in Unix milliseconds.
        target : Replica, optional
            Replica with the copy.
        after_event : int
            Number of the last event that the caller got.
        silent_s : float
            Time since that event, in seconds.
        known : LeftGeneration
            What is known of the generation there.
        """
        if self._dispatcher.placer.is_gone(primary, born):
            self._working.end(primary.name)
            return
        unanswered_s = LEAVING_WAIT_S
        if self._dispatcher.placer.stays(primary):
            unanswered_s = UNANSWERED_WAIT_S
        patience = Patience(unanswered_s, HELD_BACK_WAIT_S, max(0.0, WAITING_LIMIT_S - silent_s))
        order = self._order or self._order_to(primary, target, after_event, known)
        if order is not None:
            await self._settle(order, patience)

    async def stop_without_copy(
        self, primary: Replica, target: Replica | None, after_event: int
    ) -> None:
        """Stop a generation without a copy, so that it may resume from its primary's memory."""
        if self._stops >= MAX_STOPS:
            return
        self._stops += 1
        # An order to the primary while it was silent may be carried out late.
        order, self._withdrawn = self._order or self._withdrawn, None
        if order is None or order.replica.name != primary.name:
            order = self._order_to(primary, target, after_event)
        if order is not None:
            await self._settle(order, self._patience_without_copy(primary))

    async def stop_broken_off(self, replica: Replica, after_event: int) -> StopOrder | None:
        """Stop a generation at a replica at which an attempt to resume it broke off.

        Parameters
        ----------
        replica : Replica
            Replica that may have resumed it.
        after_event : int
            Number of the last event that the caller got.
        """
        if not self.can_stop or self._stops >= MAX_STOPS:
            return None
        self._stops += 1
        order = self._order_to(replica, None, after_event)
        if order is not None:
            order.start()
            await order.settle(_BROKEN_OFF)
        return order

    async def update(self, wait: bool) -> None:
        """Take what the primary has answered since; with `wait`, wait longer for it."""
        if self._order is None:
            return
        if wait:
            await self._order.settle(self._patience_without_copy(self._order.replica))
        self._result = self._order.result

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
        if self._withdrawn is not None and self._withdrawn.replica.name != current.name:
            self._withdrawn = None
        for replica in earlier:
            if replica.name == current.name:
                continue
            order = self._order
            if order is None or order.replica.name != replica.name:
                order = self._order_to(replica, current, after_event)
            if order is not None:
                order.abandon()
                order.start()

    def close(self) -> None:
        """Have memory freed that the primary hands over from now on."""
        if self._order is not None:
            self._order.abandon()

    def pause(self, replica: Replica) -> None:
        """Send no orders to a replica at which the generation is to resume."""
        order = self._orders.get(replica.name)
        if order is not None:
            order.withdraw()

    def go_on(self, replica: Replica) -> None:
        """Send orders again to a replica at which the generation could not resume."""
        order = self._orders.get(replica.name)
        if order is not None:
            order.start()

    def withdraw(self) -> None:
        """Send no more orders to the primary, since the generation stays there."""
        if self._order is not None:
            self._order.withdraw()
            self._withdrawn = self._order

    def _patience_without_copy(self, primary: Replica) -> Patience:
        return _NO_COPY if self._dispatcher.placer.stays(primary) else _NO_COPY_LEAVING

    async def _settle(self, order: StopOrder, patience: Patience) -> None:
        self._order = order
        order.start()
        self._result = await order.settle(patience)

    def _order_to(
        self,
        replica: Replica,
        target: Replica | None,
        after_event: int,
        known: LeftGeneration = NOTHING_KNOWN,
    ) -> StopOrder | None:
        """Return an order to a replica; None without any replica to move the memory to."""
        target = target or self._any_other(replica)
        if target is None:
            return None
        order = StopOrder(
            self._dispatcher, self._request, self._working, replica, target, after_event, known
        )
        self._orders[replica.name] = order
        return order

    def _any_other(self, replica: Replica) -> Replica | None:
        reachable = self._dispatcher.placer.reachable
        live = reachable.live(self._request.service.name, self._dispatcher.now())
        return next((other for other in live if other.name != replica.name), None)


_SILENT = Patience(SILENT_STOP_TIMEOUT_S, SILENT_STOP_TIMEOUT_S, 0.0)
_BROKEN_OFF = Patience(BROKEN_OFF_WAIT_S, BROKEN_OFF_WAIT_S, BROKEN_OFF_WAIT_S)
_NO_COPY = Patience(NO_COPY_WAIT_S, NO_COPY_WAIT_S, math.inf)
_NO_COPY_LEAVING = Patience(NO_COPY_WAIT_S, NO_COPY_WAIT_S, NO_COPY_WAIT_S, NO_COPY_WAIT_S)
