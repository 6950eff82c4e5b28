"""The queue of one service, with the queries whose replies are held until there is room."""

import asyncio
from dataclasses import dataclass, field

from reachlink.coordination._unfit_cache import UnfitCache
from reachlink.requests import PlacementQuery, PlacementReply
from reachlink.scheduling import Refuse, RequestQueue, RetryReservation, Wait


@dataclass(slots=True, eq=False)
class HeldQuery:
    """A placement query whose reply is held until there is room.

    Attributes
    ----------
    query : PlacementQuery
        The query.
    until : float
        Monotonic time in seconds until which the asking instance waits for the reply.
    answer : asyncio.Future
        Future that receives the reply.
    """

    query: PlacementQuery
    until: float
    answer: asyncio.Future[PlacementReply]


@dataclass(slots=True, eq=False)
class ServiceQueue:
    """Queue of one service, with the queries about its requests.

    Attributes
    ----------
    service : str
        Name of the service.
    requests : RequestQueue
        Requests that wait for room.
    held_queries : dict of str to HeldQuery
        Queries whose replies are held, by request id.
    arrivals : dict of str to tuple
        First query about each request that is neither started nor refused yet, and the
        reservation that the request claimed, by request id.
    unfit : UnfitCache
        Sizes of requests for which the current scan found no room.
    """

    service: str
    requests: RequestQueue = field(default_factory=RequestQueue)
    held_queries: dict[str, HeldQuery] = field(default_factory=dict)
    arrivals: dict[str, tuple[PlacementQuery, RetryReservation | None]] = field(
        default_factory=dict
    )
    unfit: UnfitCache = field(default_factory=UnfitCache)

    def answer_without_place(self, request_id: str, otherwise: Wait | Refuse) -> None:
        """Reply to a held query that its request should wait or is refused."""
        self.answer(request_id, PlacementReply(ready=True, wait_or_refuse=otherwise))

    def answer(self, request_id: str, answer: PlacementReply) -> None:
        """Reply to the held query about a request, if there is one."""
        held = self.held_queries.pop(request_id, None)
        if held is not None and not held.answer.done():
            held.answer.set_result(answer)
