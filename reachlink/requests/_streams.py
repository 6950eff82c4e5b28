"""Requests whose answer is a stream of events, which continues if its replica is lost.

While a generation runs, its memory is copied to a second replica. If the primary is lost, the
generation resumes at the second replica after the last event that the caller got. Before that,
the primary is ordered to stop the generation: it may run on although nobody reads it.
"""

import asyncio

from reachlink.quarantine import HELD, AnswerTiming, HeldRequestError
from reachlink.requests._answer_body import read_part, read_whole, read_within
from reachlink.requests._attempts import AttemptFailure, pacing_failure
from reachlink.requests._event_merger import EventMerger
from reachlink.requests._generation_replicas import GenerationReplicas
from reachlink.requests._model import AnswerSink, CallerRequest, WholeAnswer
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._stream_times import StreamTimes
from reachlink.requests.exceptions import StreamCutError
from reachlink.scheduling import EventIntervalMeter
from reachlink.upstreams import (
    Continuation,
    EventSplitter,
    MovedMemory,
    RelayAnswer,
    Replica,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamHeldBackError,
    UpstreamUnreachableError,
)

# Time in seconds without an event after which a generation with a copy is to leave its replica.
# Longer than a sound replica may be silent, and below the silence after which callers leave.
MAX_SILENCE_S = 1.4
# Interval in seconds between two checks of a replica at which a generation waits for memory.
WAITING_CHECK_INTERVAL_S = 0.2
# Time in seconds for which bytes are read that arrived while this process stood still: the event
# loop runs the timers that are due before it reads.
ARRIVED_READ_S = 0.05
# Time in seconds for which connections to the only replica with a copy are tried: a busy replica
# may be slow to accept one, and nothing has been sent.
COPY_CONNECT_S = 1.5
# Pause between two of these attempts in seconds.
COPY_CONNECT_PAUSE_S = 0.05
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
        self._moves = 0
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
            ended = await self._relay_events(answer)
        finally:
            answer.close()
        while not ended:
            ended = await self._continue()
        await self._sink.end()
        self._log_delivered()
        return None

    async def _continue(self) -> bool:
        """Resume at a replica that has a copy; return whether the stream is complete."""
        options = await self._replicas.continuations()
        options.sort(key=lambda option: self._dispatcher.remaining_hold_s(option[0]))
        may_run_at = [self._replicas.primary]
        for target, memory in options:
            if not await self._dispatcher.wait_for_permit(self._request, target):
                self._log_continuation_failed(target, "held back")
                continue
            connect_s = COPY_CONNECT_S if len(options) == 1 else 0.0
            answer = await self._continue_at(target, memory, connect_s)
            if answer is None:
                may_run_at.append(target)
                continue
            self._replicas.confirm_stopped(may_run_at)
            try:
                return await self._relay_events(answer)
            finally:
                answer.close()
        raise StreamCutError("no_copy_left")

    async def _continue_at(
        self, target: Replica, memory: MovedMemory, connect_s: float
    ) -> RelayAnswer | None:
        """Ask a replica to resume the generation; return None if it cannot."""
        lost = await self._replicas.move_to(target)
        self._moves += 1
        self._no_event_since_move = True
        self._reset_interval()
        self._dispatcher.log.info(
            "stream_continues",
            request_id=self._request.request_id,
            lost=lost.name,
            replica=target.name,
            copy=_name(self._replicas.backup),
            handle=memory.handle,
            after_event=self._merger.last_event_number,
        )
        try:
            continuation = Continuation(self._merger.last_event_number, memory)
            answer = await self._open_copy(target, continuation, connect_s)
        except UpstreamError as error:
            self._log_continuation_failed(target, str(error))
            return None
        if not answer.head.success:
            answer.close()
            self._log_continuation_failed(target, f"status {answer.head.status}")
            return None
        return answer

    async def _open_copy(
        self, target: Replica, continuation: Continuation, connect_s: float
    ) -> RelayAnswer:
        """Open a continuation; try again while no connection is made, for some time."""
        ends_at = self._dispatcher.now() + connect_s
        while True:
            try:
                return await self._open(target, continuation)
            except UpstreamUnreachableError:
                if self._dispatcher.now() >= ends_at:
                    raise
            await asyncio.sleep(COPY_CONNECT_PAUSE_S)

    def _log_continuation_failed(self, target: Replica, reason: str) -> None:
        self._dispatcher.log.warning(
            "continuation_failed",
            request_id=self._request.request_id,
            replica=target.name,
            reason=reason,
        )

    async def _relay_events(self, answer: RelayAnswer) -> bool:
        """Pass on events until the answer ends; return whether the stream is complete."""
        splitter = EventSplitter()
        outcomes = self._dispatcher.outcomes
        try:
            while data := await self._read(answer):
                ready = self._merger.merge(splitter.feed(data))
                if ready:
                    if self._timing.note_part(self._dispatcher.now()):
                        outcomes.record_progress(self._request, self._timing.sound_since)
                    self._replicas.note_prompt_read()
                    self._replicas.note_progress()
                    self._note_pause()
                    await self._write(ready)
        except (UpstreamBrokenError, ValueError) as error:
            self._on_broken(str(error))
            return False
        except TimeoutError as error:
            raise StreamCutError("stream_timeout") from error
        if splitter.rest:
            self._on_broken("stream ended within an event")
            return False
        outcomes.record_answer(self._replicas.primary, succeeded=True)
        outcomes.record_sound(self._request, self._timing.sound_since)
        return True

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

    async def _read(self, answer: RelayAnswer) -> bytes:
        """Return the next bytes.

        Raises
        ------
        UpstreamBrokenError
            If the connection breaks, or the replica is silent for long and the generation may
            resume from a copy.
        """
        if self._merger.last_event_number < 0:
            return await read_part(answer)
        wait_s = MAX_SILENCE_S
        while (data := await read_within(answer, wait_s)) is None:
            wait_s = MAX_SILENCE_S
            if not self._replicas.has_arrived_copy:
                continue
            data = await read_within(answer, ARRIVED_READ_S)
            if data is not None:
                return data
            if await self._replicas.leaves_silent_primary():
                raise UpstreamBrokenError(f"silent for {MAX_SILENCE_S} s")
            wait_s = WAITING_CHECK_INTERVAL_S
        return data

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
        try:
            return await self._dispatcher.open(
                self._request, replica, continuation, self._replicas.backup
            )
        except UpstreamHeldBackError:
            raise
        except UpstreamUnreachableError as error:
            self._dispatcher.outcomes.record_unreachable(replica, error)
            raise
        except UpstreamError:
            self._note_broken(replica)
            raise

    def _note_broken(self, replica: Replica) -> None:
        timing = self._timing
        self._dispatcher.outcomes.record_broken(
            self._request, replica, timing.sent_at, timing.begun_at
        )

    def _note_pause(self) -> None:
        """Record the pause before an event; log it if it exceeds the limit of the route."""
        now = self._dispatcher.now()
        pause = self._times.note(self._merger.last_event_number, now)
        event_s = self._interval_meter.record(self._merger.last_event_number, now)
        if event_s is not None:
            self._record_interval(event_s)
        if self._no_event_since_move:
            self._no_event_since_move = False
            self._log_stream_joined(pause)
        longest = self._request.route.event_gap_s
        if not longest or pause <= longest:
            return
        self._dispatcher.log.info(
            "stream_paused",
            request_id=self._request.request_id,
            replica=self._replicas.primary.name,
            event_number=self._merger.last_event_number,
            pause_ms=round(pause * 1000.0),
        )

    def _record_interval(self, event_s: float) -> None:
        """Record the event interval if the primary had no unread prompts at its start and end."""
        primary = self._replicas.primary
        had_unread_before, self._had_unread_prompts = (
            self._had_unread_prompts,
            self._dispatcher.pace.has_unread_prompts(primary),
        )
        if not had_unread_before and not self._had_unread_prompts:
            self._dispatcher.pace.note_event_interval(self._request, primary, event_s)

    def _log_stream_joined(self, pause_s: float) -> None:
        self._dispatcher.log.info(
            "stream_joined",
            request_id=self._request.request_id,
            replica=self._replicas.primary.name,
            event_number=self._merger.last_event_number,
            pause_ms=round(pause_s * 1000.0),
            replicas=self._dispatcher.placer.options.describe(self._request.service, set()),
        )

    def _log_delivered(self) -> None:
        """Log the timing of a complete stream beside the objectives of its route."""
        times = self._times
        self._dispatcher.log.info(
            "stream_delivered",
            request_id=self._request.request_id,
            route=self._request.route.name,
            workspace=self._request.relay.workspace,
            replica=self._replicas.primary.name,
            prompt_tokens=self._request.prompt_tokens,
            last_event=self._merger.last_event_number,
            first_event_ms=round((times.first_s or 0.0) * 1000.0),
            objective_ms=round(self._request.route.objective_s * 1000.0),
            longest_pause_ms=round(times.longest_pause_s * 1000.0),
            longest_pause_at=times.longest_pause_at,
            pause_goal_ms=round((self._request.route.event_gap_s or 0.0) * 1000.0),
            moves=self._moves,
        )

    def _on_broken(self, reason: str) -> None:
        replica = self._replicas.primary
        if not self._dispatcher.placer.stays(replica):
            self._dispatcher.allocations.note_gone(replica)
        self._note_broken(replica)
        self._dispatcher.log.warning(
            "stream_broken",
            request_id=self._request.request_id,
            replica=replica.name,
            last_event=self._merger.last_event_number,
            copy=_name(self._replicas.backup),
            shadow=_name(self._replicas.shadow),
            reason=reason,
        )


def _name(replica: Replica | None) -> str:
    return replica.name if replica is not None else ""
