"""The way of a request: place, dispatch, follow, finish."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from reachlink.delivery import Outcome
from reachlink.limits import RetryBudget
from reachlink.placement import allowances
from reachlink.requests._attempts import AttemptLog, Setback
from reachlink.requests._book import Flight, ReplicaBook
from reachlink.requests._choice import Option, choose
from reachlink.requests._model import AnswerSink, CallerRequest
from reachlink.requests.exceptions import RequestFailedError, StreamCutError
from reachlink.routing import RequestKind, Service
from reachlink.telemetry import get_logger
from reachlink.upstreams import (
    AnswerHead,
    EventSplitter,
    RelayAdapter,
    RelayAnswer,
    Replica,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)

# Share of first attempts that may be sent again.
RETRY_SHARE = 0.1
# A whole answer larger than this, in bytes, is not held to be checked.
MAX_WHOLE_BYTES = 8 << 20
# When to come back after a refusal, in seconds: the next attempt reaches
# another entry instance, whose view of the replicas differs.
RETRY_AFTER_S = 0.1
# How long a replica may take for a repeatable request before another is asked,
# as a multiple of the route's objective.
PATIENCE_OBJECTIVES = 1.0


class Directory(Protocol):
    """Which replicas exist and may get new work."""

    def live(self, upstream: str) -> list[Replica]:
        """Return the replicas of a service that may get new work."""

    def find(self, name: str) -> Replica | None:
        """Return a replica by name."""

    def may_get_work(self, name: str) -> bool:
        """Return whether a replica may get new work now."""

    def suspect_leaving(self, name: str, now: float) -> bool:
        """Note a sign that a replica leaves; return whether that is news."""


@dataclass(slots=True)
class RunnerParts:
    """What `RequestRunner` works with.

    Attributes
    ----------
    zone : str
        This instance's availability zone.
    adapter : RelayAdapter
        Speaks with replicas.
    directory : Directory
        The replicas.
    book : ReplicaBook
        What is known of them.
    random : random.Random
        Source of tie-breaks.
    clock : callable
        Monotonic time in seconds.
    on_outcome : callable
        Called with the request, outcome code and duration in seconds.
    """

    zone: str
    adapter: RelayAdapter
    directory: Directory
    book: ReplicaBook
    random: Random
    on_outcome: Callable[[CallerRequest, str, float], None]
    clock: Callable[[], float] = time.monotonic


class RequestRunner:
    """Carries requests from callers to replicas and answers back.

    Parameters
    ----------
    parts : RunnerParts
        What it works with.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._budgets: dict[str, RetryBudget] = {}
        self._log: Any = get_logger()

    async def run(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Carry one request to its end.

        Raises
        ------
        RequestFailedError
            With the final answer to give; nothing was given yet.
        StreamCutError
            The stream that was begun must be broken off.
        """
        started = self._parts.clock()
        code = "cancelled"
        try:
            async with asyncio.timeout(max(0.0, request.give_up_at - started)):
                if request.route.kind is RequestKind.STREAM:
                    await self._stream(request, sink)
                else:
                    await self._whole(request, sink)
            code = "delivered"
        except TimeoutError as error:
            code = "timeout"
            raise RequestFailedError(504, "timeout", Outcome.UNKNOWN) from error
        except (RequestFailedError, StreamCutError) as error:
            code = error.reason
            raise
        finally:
            self._parts.on_outcome(request, code, self._parts.clock() - started)

    async def _whole(self, request: CallerRequest, sink: AnswerSink) -> None:
        attempts = AttemptLog(request.route.may_repeat, request.route.max_attempts)
        tried: set[str] = set()
        budget = self._budget(request.service)
        held: tuple[AnswerHead, bytes] | None = None
        reason = "no_replica"
        while True:
            replica = self._place(request, tried)
            if replica is None:
                break
            tried.add(replica.name)
            flight = self._take_off(request, replica)
            try:
                result = await self._whole_from(request, replica, attempts)
            finally:
                self._land(replica, flight)
            if isinstance(result, tuple):
                held = result
                if held[0].status < 500 or not request.route.may_repeat:
                    break
                setback, reason = Setback.FAILED, f"status_{held[0].status}"
            else:
                setback, reason = result, result.value
            attempts.note(setback)
            self._log_setback(request, replica, setback, attempts.sent)
            if not attempts.may_go_on():
                break
            if setback is not Setback.UNREACHABLE and not budget.take():
                reason = f"{reason}_no_budget"
                break
        if held is not None:
            await sink.whole(*held)
            return
        raise self._failure(reason, attempts)

    async def _whole_from(
        self, request: CallerRequest, replica: Replica, attempts: AttemptLog
    ) -> tuple[AnswerHead, bytes] | Setback:
        """Return the whole answer of one replica, or why there is none."""
        more = attempts.may_repeat and attempts.sent + 1 < attempts.max_attempts
        patience = request.route.objective_s * PATIENCE_OBJECTIVES if more else None
        try:
            async with asyncio.timeout(patience):
                answer = await self._open(request, replica)
                if answer.head.not_run:
                    answer.close()
                    return Setback.NOT_RUN
                body = await _read_whole(answer)
        except UpstreamUnreachableError:
            self._distrust(replica)
            return Setback.UNREACHABLE
        except UpstreamBrokenError:
            self._distrust(replica)
            return Setback.BROKEN
        except TimeoutError:
            self._distrust(replica)
            return Setback.SLOW
        if answer.head.success and not answer.head.genuine:
            self._distrust(replica)
            return Setback.BROKEN
        if answer.head.status >= 500:
            self._distrust(replica)
        else:
            self._parts.book.state(replica.name).health.on_success(self._parts.clock())
        return answer.head, body

    async def _stream(self, request: CallerRequest, sink: AnswerSink) -> None:
        attempts = AttemptLog(False, request.route.max_attempts)
        tried: set[str] = set()
        reason = "no_replica"
        while True:
            replica = self._place(request, tried)
            if replica is None:
                break
            tried.add(replica.name)
            flight = self._take_off(request, replica)
            try:
                setback = await self._stream_from(request, replica, sink)
            finally:
                self._land(replica, flight)
            if setback is None:
                return
            reason = setback.value
            attempts.note(setback)
            self._log_setback(request, replica, setback, attempts.sent)
            if not attempts.may_go_on():
                break
            if setback is not Setback.UNREACHABLE and not self._budget(request.service).take():
                reason = f"{reason}_no_budget"
                break
        raise self._failure(reason, attempts)

    async def _stream_from(
        self, request: CallerRequest, replica: Replica, sink: AnswerSink
    ) -> Setback | None:
        """Relay a stream from one replica; return why it did not begin, if so."""
        try:
            answer = await self._open(request, replica)
        except UpstreamUnreachableError:
            self._distrust(replica)
            return Setback.UNREACHABLE
        except UpstreamBrokenError:
            self._distrust(replica)
            return Setback.BROKEN
        try:
            if answer.head.not_run:
                return Setback.NOT_RUN
            if answer.head.success and not answer.head.genuine:
                self._distrust(replica)
                return Setback.BROKEN
            await self._follow(request, replica, answer, sink)
        finally:
            answer.close()
        return None

    async def _follow(
        self, request: CallerRequest, replica: Replica, answer: RelayAnswer, sink: AnswerSink
    ) -> None:
        """Give a stream on, whole events at a time."""
        if not answer.head.success:
            await sink.whole(answer.head, await _read_whole(answer))
            return
        await sink.begin(answer.head)
        splitter = EventSplitter()
        last = -1
        try:
            while data := await answer.read():
                events = splitter.feed(data)
                if not events:
                    continue
                for event in events:
                    if event.number >= 0 and last >= 0 and event.number != last + 1:
                        raise StreamCutError("gap")
                    last = event.number if event.number >= 0 else last
                await sink.write(b"".join(event.data for event in events))
        except (UpstreamBrokenError, ValueError) as error:
            self._distrust(replica)
            self._log.warning(
                "stream_broken",
                request_id=request.request_id,
                replica=replica.name,
                last_event=last,
                reason=str(error),
            )
            raise StreamCutError("stream_broken") from error
        except TimeoutError as error:
            raise StreamCutError("stream_timeout") from error
        if splitter.rest:
            raise StreamCutError("partial_event")
        await sink.end()
        self._parts.book.state(replica.name).health.on_success(self._parts.clock())

    async def _open(self, request: CallerRequest, replica: Replica) -> RelayAnswer:
        parts = self._parts
        left = request.arrived_at + request.patience_s - parts.clock()
        left = min(left, request.give_up_at - parts.clock())
        answer = await parts.adapter.open(replica, request.relay, left)
        now = parts.clock()
        if answer.head.load is not None:
            parts.book.state(replica.name).take_sample(answer.head.load, now)
        if answer.head.leaving and parts.directory.suspect_leaving(replica.name, now):
            self._log.info("upstream_leaving", replica=replica.name, source="answer")
        return answer

    def _place(self, request: CallerRequest, tried: set[str]) -> Replica | None:
        parts = self._parts
        now = parts.clock()
        live = {r.name: r for r in parts.directory.live(request.service.name)}
        states = {name: parts.book.state(name) for name in live if name not in tried}
        trust = allowances({name: s.health for name, s in states.items()}, now)
        engine = request.service.engine
        options = [
            Option(
                name,
                live[name].availability_zone == parts.zone,
                state.running(now),
                engine.slots if engine else state.sample.slots if state.sample else 0,
                state.own_tokens + state.others_tokens,
                engine.kv_capacity_tokens if engine else 0,
                trust[name],
            )
            for name, state in states.items()
        ]
        chosen = choose(options, _need_tokens(request), parts.random)
        return live[chosen] if chosen is not None else None

    def _take_off(self, request: CallerRequest, replica: Replica) -> Flight:
        flight = Flight(request.request_id, _need_tokens(request))
        self._parts.book.state(replica.name).flights.add(flight)
        return flight

    def _land(self, replica: Replica, flight: Flight) -> None:
        self._parts.book.state(replica.name).flights.discard(flight)

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.setdefault(service.name, RetryBudget())
        budget.on_first_attempt(RETRY_SHARE)
        return budget

    def _distrust(self, replica: Replica) -> None:
        state = self._parts.book.state(replica.name)
        state.health.on_failure(self._parts.clock(), self._parts.random)

    def _log_setback(
        self, request: CallerRequest, replica: Replica, setback: Setback, sent: int
    ) -> None:
        self._log.info(
            "attempt_failed",
            request_id=request.request_id,
            route=request.route.name,
            replica=replica.name,
            reason=setback.value,
            sent=sent,
        )

    def _failure(self, reason: str, attempts: AttemptLog) -> RequestFailedError:
        if attempts.may_have_run:
            return RequestFailedError(502, reason, Outcome.UNKNOWN)
        return RequestFailedError(503, reason, Outcome.NOT_RUN, RETRY_AFTER_S)


def _need_tokens(request: CallerRequest) -> int:
    """Return the memory that a generation will likely need at its end, in tokens."""
    facts = request.relay.generation
    if facts is None:
        return 0
    expected = facts.expected_output_tokens or facts.max_output_tokens
    return facts.prompt_tokens + min(expected, facts.max_output_tokens)


async def _read_whole(answer: RelayAnswer) -> bytes:
    pieces: list[bytes] = []
    size = 0
    while data := await answer.read():
        pieces.append(data)
        size += len(data)
        if size > MAX_WHOLE_BYTES:
            raise UpstreamBrokenError("the answer is too long")
    return b"".join(pieces)
