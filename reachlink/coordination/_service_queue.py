"""The line of one service, and the questions whose answers are held until there is room."""

import asyncio
from dataclasses import dataclass, field

from reachlink.coordination._unfit_cache import UnfitCache
from reachlink.requests import PlaceAnswer, PlaceQuestion
from reachlink.scheduling import Refuse, RequestQueue, RetryReservation, Wait


@dataclass(slots=True, eq=False)
class HeldQuestion:
    """A question whose answer is held.

    Attributes
    ----------
    question : PlaceQuestion
        The question.
    until : float
        Until when its asker waits, in monotonic seconds.
    answer : asyncio.Future
        Where the answer is put.
    """

    question: PlaceQuestion
    until: float
    answer: asyncio.Future[PlaceAnswer]


@dataclass(slots=True, eq=False)
class ServiceQueue:
    """The line of one service, with the questions of those that wait."""

    service: str
    requests: RequestQueue = field(default_factory=RequestQueue)
    held_queries: dict[str, HeldQuestion] = field(default_factory=dict)
    # Those that have arrived, by their names: what was asked first, and what they had been
    # promised when they were refused before.
    arrivals: dict[str, tuple[PlaceQuestion, RetryReservation | None]] = field(default_factory=dict)
    unfit: UnfitCache = field(default_factory=UnfitCache)

    def answer_without_place(self, request_id: str, otherwise: Wait | Refuse) -> None:
        """Answer a held question with what its request should do."""
        self.answer(request_id, PlaceAnswer(settled=True, otherwise=otherwise))

    def answer(self, request_id: str, answer: PlaceAnswer) -> None:
        """Answer a held question, if there is one."""
        held = self.held_queries.pop(request_id, None)
        if held is not None and not held.answer.done():
            held.answer.set_result(answer)
