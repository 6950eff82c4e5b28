"""Requests whose answer is a stream of events, which continues if its replica is lost.

While a generation runs, its memory is copied to a second replica. If the primary is lost, the
generation resumes at the second replica after the last event that the caller got. Before that,
the primary is ordered to stop the generation: it may run on although nobody reads it.
"""

import asyncio
from collections import deque

from reachlink.quarantine import HELD, AnswerTiming, HeldRequestError
from reachlink.requests._answer_body import read_whole
from reachlink.requests._attempts import AttemptFailure, pacing_failure
from reachlink.requests._event_merger import EventMerger
from reachlink.requests._event_source import MAX_SILENCE_S, EventSource, StreamEnd
from reachlink.requests._generation_replicas import GenerationReplicas
from reachlink.requests._model import AnswerSink, CallerRequest, WholeAnswer
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._resumption import Resumption
from reachlink.requests._stream_log import StreamLog
from reachlink.requests._stream_times import StreamTimes
from reachlink.requests.exceptions import StreamCutError
from reachlink.scheduling import EventIntervalMeter
from reachlink.upstreams import (
    Continuation,
    MovedMemory,
    RelayAnswer,
    Replica,
    UnconfirmedRefusalError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamHeldBackError,
    UpstreamUnreachableError,
)

# Time in seconds for which connections to the only replica with a copy are tried: a busy replica
# may be slow to accept one, and nothing has been sent.
COPY_CONNECT_S = 1.5
# Pause between two of these attempts in seconds.
COPY_CONNECT_PAUSE_S = 0.05
# Longest time in seconds for which the connection to a silent replica that has not confirmed that
# it has stopped the generation stays open while another replica is to resume it. Callers' rules
# allow both to work for 0.4 s, and a replica takes some time to notice the close.
BOTH_OPEN_S = 0.2
# Time in seconds from which on a write counts as delayed by the caller. A caller that reads slowly
# determines itself when the next events are read.
SLOW_WRITE_S = 0.005


class StreamRunner:
    """Runs requests whose answers are streams.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Places and sends requests.
    """

    def __init__(self, dispatcher: RequestDispatcher) -> None:
        self._dispatcher = dispatcher

    async def run(self, request: CallerRequest, sink: AnswerSink) -> WholeAnswer | None:
        """Run one request to its end; return its answer if that is no stream."""
        dispatcher = self._dispatcher
        attempts = dispatcher.retry_policy.begin(request)
        tried: set[str] = set()
        while (replica := await dispatcher.place_or_wait(request, tried)) is not None:
            tried.add(replica.name)
            failure = await _Stream(dispatcher, request, sink).start(replica)
            if failure is None or isinstance(failure, WholeAnswer):
                return failure
            if failure in (AttemptFailure.LIMITED, AttemptFailure.BRITTLE):
                tried.discard(replica.name)
            if not dispatcher.retry_policy.may_retry(request, replica, failure, attempts):
                break
        raise dispatcher.retry_policy.failure(request, attempts)


class _Stream:
    """Stream of one generation, which may resume at other replicas."""

    def __init__(
        self, dispatcher: RequestDispatcher, request: CallerRequest, sink: AnswerSink
    ) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._sink = sink
        self._merger = EventMerger()
        self._replicas = GenerationReplicas(dispatcher, request, self._merger)
        self._times = StreamTimes(request.arrived_at)
        self._interval_meter = EventIntervalMeter()
        # Whether the primary had unread prompts when the last event interval was measured.
        self._had_unread_prompts = True
        self._working = dispatcher.working_replicas(request)
        self._resumption = Resumption(
            dispatcher, request, self._replicas, self._merger, self._working
        )
        self._log = StreamLog(dispatcher, request, self._replicas, self._merger)
        # Whether no event has arrived since the generation resumed at another replica.
        self._no_event_since_move = False
        # Times of the answer of the present primary.
        self._timing = AnswerTiming()
        # Whether the head of the answer was passed on to the caller.
        self._head_sent = False

    async def start(self, replica: Replica) -> AttemptFailure | WholeAnswer | None:
        """Run the stream to its end.

        Returns
        -------
        AttemptFailure or WholeAnswer or None
            Why it did not start at the replica, or the replica's answer if that is no stream.
        """
        copy_task = asyncio.create_task(self._replicas.maintain_copies())
        features = self._request.relay.features
        try:
            await self._replicas.begin(replica)
            async with self._dispatcher.guard.watched(features, self._has_sent_no_event):
                return await self._run()
        except HeldRequestError as error:
            if self._head_sent:
                raise StreamCutError(HELD) from error
            raise
        finally:
            copy_task.cancel()
            self._resumption.close()
            self._replicas.release()

    def _has_sent_no_event(self) -> bool:
        """Return whether the caller has got no event yet."""
        return self._merger.last_event_number < 0

    async def _run(self) -> AttemptFailure | WholeAnswer | None:
        try:
            answer = await self._open(self._replicas.primary, None)
        except UpstreamHeldBackError as error:
            return pacing_failure(error)
        except UpstreamUnreachableError:
            return AttemptFailure.UNREACHABLE
        except UnconfirmedRefusalError:
            return AttemptFailure.UNCONFIRMED_REFUSAL
        except UpstreamBrokenError:
            return AttemptFailure.BROKEN
        try:
            if answer.head.not_run:
                return self._dispatcher.outcomes.record_refusal(
                    self._replicas.primary, answer.head, self._timing.sent_at
                )
            if answer.head.success and not answer.head.genuine:
                return AttemptFailure.BROKEN
            if not answer.head.success:
                return await self._read_no_stream(answer)
            self._head_sent = True
            await self._sink.begin(answer.head)
            await self._relay_to_end(self._source(answer))
        finally:
            answer.close()
            self._working.end(self._replicas.primary.name)
        await self._sink.end()
        self._log.delivered(self._times)
        return None

    def _source(self, answer: RelayAnswer) -> EventSource:
        return EventSource(answer, self._replicas, self._resumption)

    async def _relay_to_end(self, source: EventSource) -> None:
        """Pass on the events of one replica after the other until the stream is complete."""
        try:
            while (end := await self._relay_events(source)) is not StreamEnd.COMPLETE:
                source = await self._continue(source, end)
        finally:
            source.close()

    async def _continue(self, source: EventSource, end: StreamEnd) -> EventSource:
        """Resume at a replica that has a copy; return where to read on.

        The connection to a silent replica stays open until another one has resumed the
        generation: where none can, its replica is the only one that holds it.
        """
        if end is StreamEnd.BROKEN:
            source.close()
        options = await self._resumption.options()
        options.sort(key=lambda option: self._dispatcher.remaining_hold_s(option[0]))
        previous = self._replicas.primary
        tried: list[Replica] = []
        resumed = await self._resume_from(options, source, previous, tried)
        if resumed is None:
            options = await self._resumption.late_options()
            resumed = await self._resume_from(options, source, previous, tried)
        if resumed is not None:
            return resumed
        if end is StreamEnd.SILENT and self._resumption.may_run_at_primary:
            return await self._stay(source, previous, tried)
        raise StreamCutError("no_copy_left")

    async def _resume_from(
        self,
        options: list[tuple[Replica, MovedMemory]],
        source: EventSource,
        previous: Replica,
        tried: list[Replica],
    ) -> EventSource | None:
        """Resume at the first replica that can; return where to read on, None if none can.

        Replicas at which an attempt broke off after it was sent are added to `tried`.
        """
        waiting = deque(options)
        while waiting:
            target, memory = waiting.popleft()
            if not await self._dispatcher.wait_for_permit(self._request, target):
                self._log.continuation_failed(target, "held back")
                continue
            connect_s = COPY_CONNECT_S if len(options) == 1 else 0.0
            try:
                answer = await self._continue_at(target, memory, connect_s, source)
            except UpstreamBrokenError as error:
                self._log.continuation_failed(target, str(error))
                tried.append(target)
                waiting.extendleft(await self._resumption.options_after(target))
                continue
            if answer is None:
                continue
            source.close()
            self._resumption.note_resumed(previous, tried)
            return self._source(answer)
        return None

    async def _stay(
        self, source: EventSource, replica: Replica, tried: list[Replica]
    ) -> EventSource:
        """Read on at a silent replica, as no other one is known to hold the generation."""
        if self._replicas.primary.name != replica.name:
            await self._replicas.move_to(replica)
        self._resumption.note_stays(tried)
        self._log.stays(replica)
        return source

    async def _continue_at(
        self, target: Replica, memory: MovedMemory, connect_s: float, source: EventSource
    ) -> RelayAnswer | None:
        """Ask a replica to resume the generation; return None if it does not.

        Raises
        ------
        UpstreamBrokenError
            If the connection failed after the request was sent: the replica may run it.
        """
        lost = await self._replicas.move_to(target)
        self._no_event_since_move = True
        self._reset_interval()
        self._log.continues(lost, target, memory)
        self._resumption.pause_orders(target)
        try:
            continuation = Continuation(self._merger.last_event_number, memory)
            answer = await self._open_copy(target, continuation, connect_s, source)
        except UpstreamBrokenError:
            raise
        except UpstreamError as error:
            self._resumption.continue_orders(target)
            self._log.continuation_failed(target, str(error))
            return None
        if not answer.head.success:
            answer.close()
            self._resumption.continue_orders(target)
            self._log.continuation_failed(target, f"status {answer.head.status}")
            return None
        return answer

    async def _open_copy(
        self,
        target: Replica,
        continuation: Continuation,
        connect_s: float,
        source: EventSource,
    ) -> RelayAnswer:
        """Open a continuation; try again while no connection is made, for some time."""
        loop = asyncio.get_running_loop()
        ends_at = self._dispatcher.now() + connect_s
        while True:
            closing = loop.call_later(BOTH_OPEN_S, source.close)
            try:
                return await self._open(target, continuation)
            except UpstreamUnreachableError:
                if self._dispatcher.now() >= ends_at:
                    raise
            finally:
                closing.cancel()
            await asyncio.sleep(COPY_CONNECT_PAUSE_S)

    async def _relay_events(self, source: EventSource) -> StreamEnd:
        """Pass on events until the answer ends or the generation is to resume elsewhere."""
        outcomes = self._dispatcher.outcomes
        try:
            while data := await source.read(self._merger.last_event_number >= 0):
                await self._pass_on(source, data)
        except (UpstreamBrokenError, ValueError) as error:
            self._on_broken(str(error))
            return StreamEnd.BROKEN
        except TimeoutError as error:
            raise StreamCutError("stream_timeout") from error
        if data is None:
            self._on_silent()
            return StreamEnd.SILENT
        if source.splitter.rest:
            self._on_broken("stream ended within an event")
            return StreamEnd.BROKEN
        outcomes.record_answer(self._replicas.primary, succeeded=True)
        outcomes.record_sound(self._request, self._timing.sound_since)
        return StreamEnd.COMPLETE

    async def _pass_on(self, source: EventSource, data: bytes) -> None:
        """Give the caller the events that some bytes complete."""
        ready = self._merger.merge(source.splitter.feed(data))
        if not ready:
            return
        if self._timing.note_part(self._dispatcher.now()):
            self._dispatcher.outcomes.record_progress(self._request, self._timing.sound_since)
        self._resumption.forget()
        self._replicas.note_prompt_read()
        self._replicas.note_progress()
        self._note_pause()
        await self._write(ready)

    async def _write(self, ready: bytes) -> None:
        """Write events to the caller; discard the interval measurement if that takes long."""
        started_at = self._dispatcher.now()
        await self._sink.write(ready)
        if self._dispatcher.now() - started_at >= SLOW_WRITE_S:
            self._reset_interval()

    def _reset_interval(self) -> None:
        """Discard the current and the next measurement, since delayed events come in a burst."""
        self._had_unread_prompts = True
        self._interval_meter.reset()

    async def _read_no_stream(self, answer: RelayAnswer) -> AttemptFailure | WholeAnswer:
        """Return an answer that is no stream, or a failure if its body breaks off."""
        try:
            body = await read_whole(answer, self._request.caller_buffer)
        except UpstreamBrokenError:
            self._note_broken(self._replicas.primary)
            return AttemptFailure.BROKEN
        return WholeAnswer(answer.head, body)

    async def _open(self, replica: Replica, continuation: Continuation | None) -> RelayAnswer:
        self._timing.start(self._dispatcher.now())
        self._working.begin(replica.name)
        try:
            answer = await self._dispatcher.open(
                self._request, replica, continuation, self._replicas.backup
            )
        except (UpstreamHeldBackError, UnconfirmedRefusalError):
            self._working.end(replica.name)
            raise
        except UpstreamUnreachableError as error:
            self._working.end(replica.name)
            self._dispatcher.outcomes.record_unreachable(replica, error)
            raise
        except UpstreamError:
            self._note_broken(replica)
            raise
        if not answer.head.success:
            self._working.end(replica.name)
        return answer

    def _note_broken(self, replica: Replica) -> None:
        timing = self._timing
        self._dispatcher.outcomes.record_broken(
            self._request, replica, timing.sent_at, timing.begun_at
        )

    def _note_pause(self) -> None:
        """Record the pause before an event; log it if it exceeds the limit of the route."""
        now = self._dispatcher.now()
        self._request.progress.note_event(self._merger.last_event_number, now)
        pause = self._times.note(self._merger.last_event_number, now)
        event_s = self._interval_meter.record(self._merger.last_event_number, now)
        if event_s is not None:
            self._record_interval(event_s)
        if self._no_event_since_move:
            self._no_event_since_move = False
            self._log.joined(pause)
        longest = self._request.route.event_gap_s
        if not longest or pause <= longest:
            return
        self._log.paused(pause)

    def _record_interval(self, event_s: float) -> None:
        """Record the event interval if the primary had no unread prompts at its start and end."""
        primary = self._replicas.primary
        had_unread_before, self._had_unread_prompts = (
            self._had_unread_prompts,
            self._dispatcher.pace.has_unread_prompts(primary),
        )
        if not had_unread_before and not self._had_unread_prompts:
            self._dispatcher.pace.note_event_interval(self._request, primary, event_s)

    def _on_broken(self, reason: str) -> None:
        replica = self._replicas.primary
        if not self._dispatcher.placer.stays(replica):
            self._dispatcher.allocations.note_gone(replica)
        self._note_broken(replica)
        self._log.broken(reason)

    def _on_silent(self) -> None:
        """Record that the generation leaves a silent replica, a failure unless it was stopped."""
        if self._resumption.may_run_at_primary:
            self._note_broken(self._replicas.primary)
        self._log.broken(f"silent for {MAX_SILENCE_S} s", self._resumption.stop_result)
