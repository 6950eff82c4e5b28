"""Keeps the line of requests that wait for room, and grants places in its order.

It answers crowds: who waits asks once and gets the answer when there is room, and until
then costs one message and its answer each `LINE_HOLD_S`.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from msgspec import structs

from reachlink.coordination._kept_line import HeldQuestion, KeptLine
from reachlink.coordination._line_grants import LineGrants
from reachlink.coordination._line_outcomes import LineOutcomes
from reachlink.kernel import steady_time
from reachlink.membership import ReplicaDirectory
from reachlink.requests import (
    PlaceAnswer,
    PlaceQuestion,
    Placing,
    ReplicaBook,
    SharedLoad,
)
from reachlink.routing import Service
from reachlink.scheduling import (
    Begin,
    Need,
    RefusalReason,
    Refuse,
    ReturnCounts,
    Start,
    Wait,
    Waiting,
    expected_wait_s,
)
from reachlink.telemetry import get_logger

# Longest time that an answer is held, in seconds.
MAX_HOLD_S = 1.0
# How long a place is kept between two questions, in seconds.
BETWEEN_S = 0.3
# How often room is looked for at the least and at the most, in seconds.
LOOK_S = 0.05
FASTEST_LOOK_S = 0.02
# One that stands in line is refused where its wait will be so many times what it has: what
# is forecast varies, and it has waited already.
STAYS = 3.0


class LineExchange:
    """Keeps the lines that this instance owns.

    Parameters
    ----------
    name : str
        This instance.
    placing : Placing
        Decides where a request would begin.
    book : ReplicaBook
        Tells when something has ended here.
    shared : SharedLoad
        Where it is noted what was granted.
    directory : ReplicaDirectory
        The replicas.
    services : callable
        Returns the model engines' services.
    count : callable
        Is told a service and what became of a request: ``"granted"``, ``"left"`` or the
        reason of a refusal.
    clock : callable
        Monotonic time in seconds.
    random : random.Random, optional
        Spreads the times that are told to those who are refused, and draws whom replicas are
        compared for.
    """

    def __init__(
        self,
        name: str,
        placing: Placing,
        book: ReplicaBook,
        shared: SharedLoad,
        directory: ReplicaDirectory,
        services: Callable[[], list[Service]],
        count: Callable[[str, str], None] = lambda service, outcome: None,
        clock: Callable[[], float] = steady_time,
        random: Random | None = None,
    ) -> None:
        self._name = name
        self._placing = placing
        self._shared = shared
        self._directory = directory
        self._services = services
        self._clock = clock
        random = random or Random()
        self._outcomes = LineOutcomes(count, clock, random)
        self._grants = LineGrants(
            name, placing, book, shared, directory, self._outcomes, clock, random
        )
        self._kept: dict[str, KeptLine] = {}
        self._changed = asyncio.Event()
        self._looking: asyncio.Task[None] | None = None
        book.listen(self.wake)
        self._log: Any = get_logger()

    @property
    def returns(self) -> ReturnCounts:
        """What became of those who were refused here."""
        return self._outcomes.returns

    @property
    def waiting(self) -> dict[str, int]:
        """How many requests stand in line, by service."""
        return {name: len(kept.line) for name, kept in self._kept.items()}

    @property
    def oldest_s(self) -> dict[str, float]:
        """How long the oldest of them has stood there, in seconds, by service."""
        now = self._clock()
        return {name: kept.line.oldest_s(now) for name, kept in self._kept.items()}

    def wake(self) -> None:
        """Take that there may be room: something has ended, or a replica has come."""
        if self._looking is not None:
            self._changed.set()

    async def answer(self, question: PlaceQuestion) -> PlaceAnswer:
        """Return where a request should go, held until there is room or its hold is over.

        Parameters
        ----------
        question : PlaceQuestion
            A question with `hold_s` and `need`.
        """
        service = self._service(question.service)
        need = question.need
        if service is None or need is None or not _ever_fits(service, need):
            return PlaceAnswer(settled=True)
        kept = self._kept.setdefault(service.name, KeptLine(service.name))
        if kept.line.find(question.request_id) is None:
            question, need = self._outcomes.arrived(kept, question)
        begun = self._grants.begin_at_once(kept, service, question, need)
        return begun or await self._stand(kept, service, question, need)

    async def answer_own(self, question: PlaceQuestion) -> PlaceAnswer:
        """Return the same for a request of this instance."""
        try:
            answer = await self.answer(structs.replace(question, instance=self._name))
        except asyncio.CancelledError:
            self.leave(question.service, question.request_id)
            raise
        # From here on its flight counts.
        self._shared.forget(self._name)
        return answer

    def leave(self, service: str, request_id: str) -> None:
        """Take that a request is not asked for any more: its caller is gone."""
        kept = self._kept.get(service)
        if kept is None:
            return
        waiting = kept.line.leave(request_id, self._clock())
        if waiting is not None:
            self._outcomes.left(kept, waiting, "gone")
        kept.answer_without_place(request_id, Wait(0.0))

    def _service(self, name: str) -> Service | None:
        return next((s for s in self._services() if s.name == name), None)

    async def _stand(
        self, kept: KeptLine, service: Service, question: PlaceQuestion, need: Need
    ) -> PlaceAnswer:
        now = self._clock()
        hold_s = min(question.hold_s or 0.0, MAX_HOLD_S)
        known = kept.line.find(question.request_id) is not None
        lease_s = hold_s + BETWEEN_S
        waiting = kept.line.join(question.request_id, question.instance, need, now, lease_s)
        self._make_room(kept, now)
        if kept.line.find(question.request_id) is None:
            return self._outcomes.refused(kept, waiting, RefusalReason.LINE_FULL, now)
        start = self._start(kept, service, question, waiting, now)
        if isinstance(start, Begin):
            replica = self._grants.take(kept, waiting, question, start.replica, now)
            if replica is not None:
                return PlaceAnswer(settled=True, replica=replica)
        if isinstance(start, Refuse) and (not known or self._is_hopeless(kept, waiting, now)):
            answer = self._outcomes.refused(kept, waiting, start.reason, now)
            kept.line.leave(waiting.request_id, now)
            return answer
        if not known:
            self._outcomes.joined(kept, waiting, now)
        self._look_from_now_on()
        if hold_s <= 0.0:
            return self._wait_answer(kept, waiting, now)
        return await self._hold(kept, question, waiting, hold_s)

    def _start(
        self,
        kept: KeptLine,
        service: Service,
        question: PlaceQuestion,
        waiting: Waiting,
        now: float,
    ) -> Start:
        """Return what is forecast for a request that stands in line."""
        state = kept.line.state_before(waiting, now)
        told = self._outcomes.told_tokens(kept.service, now)
        state = replace(state, told_tokens=told)
        asked = structs.replace(question, need=waiting.need_at(now))
        start = self._placing.start(service, asked, state)
        refused = isinstance(start, Refuse) and state.ahead > 0
        if refused and self._grants.has_room(kept, service, asked, now):
            return Wait(expected_wait_s(waiting.need, state), state.ahead)
        return start

    def _is_hopeless(self, kept: KeptLine, waiting: Waiting, now: float) -> bool:
        """Return whether one that stands in line already will wait far beyond its time."""
        state = kept.line.state_before(waiting, now)
        return expected_wait_s(waiting.need, state) >= STAYS * (waiting.give_up_at - now)

    async def _hold(
        self, kept: KeptLine, question: PlaceQuestion, waiting: Waiting, hold_s: float
    ) -> PlaceAnswer:
        """Return the answer once there is one, or that it waits yet."""
        # A question that its asker has given up is answered first.
        kept.answer_without_place(question.request_id, Wait(0.0))
        future: asyncio.Future[PlaceAnswer] = asyncio.get_running_loop().create_future()
        held = HeldQuestion(question, self._clock() + hold_s, future)
        kept.held[question.request_id] = held
        try:
            await asyncio.wait({future}, timeout=hold_s)
        finally:
            if kept.held.get(question.request_id) is held:
                del kept.held[question.request_id]
        return future.result() if future.done() else self._wait_answer(kept, waiting, self._clock())

    def _wait_answer(self, kept: KeptLine, waiting: Waiting, now: float) -> PlaceAnswer:
        state = kept.line.state_before(waiting, now)
        in_s = expected_wait_s(waiting.need, state)
        return PlaceAnswer(settled=True, otherwise=Wait(in_s, state.ahead))

    def _make_room(self, kept: KeptLine, now: float) -> None:
        while (shed := kept.line.shed(now)) is not None:
            answer = self._outcomes.refused(kept, shed, RefusalReason.LINE_FULL, now)
            kept.answer(shed.request_id, answer)

    def _look_from_now_on(self) -> None:
        """Look for room for as long as somebody waits."""
        self._changed.set()
        if self._looking is None or self._looking.done():
            self._looking = asyncio.get_running_loop().create_task(self._look_on())
            self._looking.add_done_callback(self._on_looked)

    def _on_looked(self, task: asyncio.Task[None]) -> None:
        if self._looking is task:
            self._looking = None
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.error("line_failed", error=repr(error))

    async def _look_on(self) -> None:
        while any(len(kept.line) for kept in self._kept.values()):
            self._changed.clear()
            for kept in self._kept.values():
                self._look(kept)
            await asyncio.sleep(FASTEST_LOOK_S)
            try:
                async with asyncio.timeout(LOOK_S - FASTEST_LOOK_S):
                    await self._changed.wait()
            except TimeoutError:
                # Room that nobody tells of: others' notes, replicas that have come.
                continue

    def _look(self, kept: KeptLine) -> None:
        """Grant what room there is, in order."""
        now = self._clock()
        self._drop_over(kept, now)
        service = self._service(kept.service)
        if service is None or not self._directory.live(service.name):
            kept.line.stand_still(now)
            return
        self._grants.grant_in_order(kept, service, now)

    def _drop_over(self, kept: KeptLine, now: float) -> None:
        for waiting in kept.line.expire(now):
            if waiting.request_id in kept.held and now >= waiting.give_up_at:
                answer = self._outcomes.refused(kept, waiting, RefusalReason.NO_ROOM, now)
                kept.answer(waiting.request_id, answer)
            else:
                self._outcomes.left(kept, waiting, "lease")
                # This process stood still: who is there still asks again.
                kept.answer_without_place(waiting.request_id, Wait(0.0))


def _ever_fits(service: Service, need: Need) -> bool:
    """Return whether an empty replica would have room."""
    engine = service.engine
    return engine is not None and need.tokens <= engine.kv_capacity_tokens
