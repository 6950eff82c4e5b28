"""Questions for settings, put to another control instance as soon as one is late.

A control instance that is gone is silent, and so may be those that are asked next. The
time without an answer must not grow with their number, so the others are asked one
shortly after the other until one answers, without waiting for those before it.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from reachlink.control import ControlClient, WatchRequest
from reachlink.entry._answer_timeout import AnswerTimeout
from reachlink.membership import SettingsAnswer
from reachlink.messaging import MessagingError

# How long beyond the time asked for an answer is awaited before the others are asked, in
# seconds.
HEDGE_AFTER_S = 0.15
# Time between two of the others, in seconds: one that is there answers within it.
HEDGE_INTERVAL_S = 0.1


@dataclass(slots=True, frozen=True)
class Answered:
    """An answer with the question that it belongs to.

    Attributes
    ----------
    address : str
        Who answered.
    request : WatchRequest
        What was asked.
    asked_at : float
        When, in seconds of the loop's time.
    answer : SettingsAnswer
        The answer.
    """

    address: str
    request: WatchRequest
    asked_at: float
    answer: SettingsAnswer

    @property
    def took_s(self) -> float:
        """Time from the question until now beyond the time asked for, in seconds."""
        return _now() - self.asked_at - self.request.wait_s

    @property
    def is_current(self) -> bool:
        """Whether it tells what the newest settings are."""
        answer = self.answer
        if answer.stale or answer.revision < self.request.revision:
            return False
        return answer.fresh or not self.request.fresh


@dataclass(slots=True)
class _Round:
    """Questions under way that are one question of the instance."""

    pending: dict[asyncio.Task[Answered | None], str] = field(default_factory=dict)
    asked: list[str] = field(default_factory=list)
    # An answer that will do where there is no better one.
    fallback: Answered | None = None

    def take(self, done: Iterable[asyncio.Task[Answered | None]]) -> Answered | None:
        """Take what has ended; return an answer that tells what the newest settings are."""
        for task in done:
            self.pending.pop(task)
            answered = task.result()
            if answered is not None and answered.is_current:
                return answered
            self.fallback = self.fallback or answered
        return None

    def cancel(self) -> None:
        """Wait for nothing more."""
        for task in self.pending:
            task.cancel()


class ControlQuestions:
    """Asks control instances for settings.

    Parameters
    ----------
    control : ControlClient
        Knows the control instances, those to ask first at the front.
    timeout : AnswerTimeout
        Says how long an answer may take.
    log : logger
        Gets a line where another control instance answers in place of the one asked first.
    """

    def __init__(self, control: ControlClient, timeout: AnswerTimeout, log: Any) -> None:
        self._control = control
        self._timeout = timeout
        self._log = log
        # Whether the last question came to nothing: who is there has to be found out first.
        self._unanswered = False
        self._last_failure = ""
        # Who was late last, and logged for it.
        self._late = ""

    async def ask(self, request: WatchRequest, fetching: bool, hedged: bool) -> Answered | None:
        """Ask for settings; return None if that came to nothing.

        Parameters
        ----------
        request : WatchRequest
            The question. An answer to a question with `head_only` may come in its place.
        fetching : bool
            Whether it asks for the next piece of a content.
        hedged : bool
            Whether others are asked as well while the first one is late. Not for large
            answers: they take long over slow links, and longer beside others.
        """
        first = self._control.addresses[0]
        was_unanswered = self._unanswered
        if was_unanswered:
            answered = await self._ask_others(_Round(), request, [*self._control.addresses])
        elif hedged:
            answered = await self._ask_hedged(first, request)
        else:
            answered = await self._ask_one(first, request)
        self._unanswered = answered is None
        if answered is None:
            self._timeout.note_failed(first, self._last_failure, request.revision, fetching)
            return None
        if not was_unanswered:
            self._note_late(first, answered)
        self._timeout.note_answered(answered.address, answered.took_s)
        return answered

    async def _ask_hedged(self, first: str, request: WatchRequest) -> Answered | None:
        """Ask one, and the others once it is late."""
        questions = _Round()
        task = self._start(questions, first, request)
        try:
            await asyncio.wait({task}, timeout=request.wait_s + HEDGE_AFTER_S)
            if task.done() and task.result() is not None:
                return task.result()
            return await self._ask_others(questions, request, self._control.addresses[1:])
        finally:
            questions.cancel()

    async def _ask_others(
        self, questions: _Round, request: WatchRequest, others: list[str]
    ) -> Answered | None:
        """Ask one after the other until one answers; return any answer where none is current."""
        brief = msgspec.structs.replace(request, wait_s=0.0, head_only=True)
        try:
            while others or questions.pending:
                if others:
                    self._start(questions, others.pop(0), brief)
                timeout_s = HEDGE_INTERVAL_S if others else None
                done, _ = await asyncio.wait(
                    questions.pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                answered = questions.take(done)
                if answered is not None:
                    self._prefer(answered.address, questions)
                    return answered
            fallback = questions.fallback
            if fallback is not None:
                self._prefer(fallback.address, questions)
            return fallback
        finally:
            questions.cancel()

    def _start(
        self, questions: _Round, address: str, request: WatchRequest
    ) -> "asyncio.Task[Answered | None]":
        task = asyncio.create_task(self._ask_one(address, request))
        questions.pending[task] = address
        questions.asked.append(address)
        return task

    async def _ask_one(self, address: str, request: WatchRequest) -> Answered | None:
        asked_at = _now()
        timeout_s = request.wait_s + self._timeout.margin_s
        try:
            answer = await self._control.ask(address, request, timeout_s)
        except MessagingError as error:
            # Logged where no other question is answered either.
            self._last_failure = str(error)
            return None
        if not isinstance(answer, SettingsAnswer):
            self._log.error(
                "settings_answer_unexpected", control=address, answer=type(answer).__name__
            )
            return None
        return Answered(address, request, asked_at, answer)

    def _prefer(self, address: str, questions: _Round) -> None:
        """Ask who answered first from now on, and those that did not answer last."""
        known = self._control.addresses
        silent = [a for a in questions.asked if a != address and a in known]
        rest = [a for a in known if a != address and a not in silent]
        self._control.reorder([address, *rest, *silent])

    def _note_late(self, first: str, answered: Answered) -> None:
        """Log that another one answered, once for one that stays late."""
        if answered.address == first or first == self._late:
            return
        self._late = first
        self._log.info(
            "control_late",
            control=first,
            answered_by=answered.address,
            revision=answered.answer.revision,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
