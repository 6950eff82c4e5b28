"""Drives one generation from placement to the end of its answer."""

import asyncio
from collections.abc import Sequence

from reachlink.delivery import (
    Delivery,
    Fail,
    Finish,
    Forward,
    Outcome,
    Position,
    Regenerate,
    Resume,
    StallDetector,
    Step,
)
from reachlink.entry._guardians import CarriedGeneration
from reachlink.entry._jobs import AnswerJob, Sink
from reachlink.entry._node import EntryNode
from reachlink.entry._stall_watch import StallWatch
from reachlink.entry.exceptions import (
    RequestError,
    after_dispatch,
    held_request,
    upstream_failed,
)
from reachlink.kernel import steady_time
from reachlink.limits import backoff_s
from reachlink.membership import LeavingSource
from reachlink.quarantine import AnswerTiming, BrokenRun, HeldRequestError
from reachlink.upstreams import (
    EngineAdapter,
    GenerationUnknownError,
    LoggedSend,
    Replica,
    TokenEvent,
    TokenStream,
    UnconfirmedRefusalError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamHeldBackError,
    UpstreamInvalidError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)

MAX_ATTEMPTS = 4
# How long an engine may take to name the generation of a request, in seconds.
ANSWER_TIMEOUT_S = 30.0
RESUME_TIMEOUT_S = 3.0
RESUME_PAUSE_S = 0.2
# Longest pause before a resume after others without a token, in seconds.
MAX_RESUME_PAUSE_S = 2.0


class _LostError(Exception):
    """The generation cannot be continued."""


class AnswerRun:
    """One answer, over as many attempts as it takes.

    Parameters
    ----------
    node : EntryNode
        The entry instance.
    job : AnswerJob
        The request.
    sink : Sink
        Where events go.
    """

    def __init__(self, node: EntryNode, job: AnswerJob, sink: Sink) -> None:
        self._node = node
        self._job = job
        self._sink = sink
        self._adapter: EngineAdapter = node.adapter(job.service.adapter)
        self._delivery = Delivery(job.request_id, job.repeatable, job.buffered)
        self._replica: Replica | None = None
        self._rhythm = StallDetector()
        # Monotonic time in seconds of the last token, or of the start of the generation.
        self._token_at = steady_time()
        # Times of the answer of the present replica.
        self._timing = AnswerTiming()
        # Attempts so far, the present one included, and whether the first was counted.
        self._attempt = 1
        self._earned_retries = False
        # Whether a replica has got the request and did not say that it had not run.
        self._may_have_run = False

    @property
    def job(self) -> AnswerJob:
        """The request."""
        return self._job

    @property
    def delivery(self) -> Delivery:
        """State of the answer."""
        return self._delivery

    @property
    def outcome(self) -> Outcome:
        """What is known of the attempts so far: none of them ran, or one may have."""
        return Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN

    async def run(self) -> None:
        """Deliver a new answer.

        Raises
        ------
        RequestError
            If it cannot be delivered whole.
        """
        try:
            async with self._node.guard.watched(self._job.request.features, self._given_nothing):
                await self._run_attempts()
        except HeldRequestError as error:
            self._drop(self._delivery.generation)
            raise held_request(error, self._may_have_run) from error
        except RequestError as error:
            if self._may_have_run:
                raise after_dispatch(error) from error
            raise
        finally:
            self._leave()

    async def _run_attempts(self) -> None:
        while self._attempt <= MAX_ATTEMPTS:
            stream = await self._dispatch(self._attempt)
            if stream is None:
                continue
            if await self._deliver(stream):
                return
            await self._before_retry(self._attempt, "the generation was lost")
        raise self._failed("every attempt failed")

    def _failed(self, reason: str) -> RequestError:
        """Return the final answer after the last attempt."""
        job = self._job
        hold = self._node.hold(job.service.upstream, job.ticket.excluded)
        return upstream_failed(reason, self.outcome, hold)

    def _given_nothing(self) -> bool:
        """Return whether the caller has no token yet."""
        return self._delivery.next_offset == 0

    async def resume(self, position: Position, replica: Replica) -> None:
        """Continue an answer that the caller has up to a position.

        Raises
        ------
        RequestError
            If the rest cannot be delivered.
        """
        self._replica = replica
        self._may_have_run = True
        self._delivery.start_at(position.generation, position.offset + 1)
        ticket = self._job.ticket
        ticket.flight = self._node.ledger.place(ticket.key, replica.name, 0)
        try:
            self._carry()
            await self._sink.begin(position)
            if not await self._follow(await self._reopen_or_fail()):
                raise RequestError(502, "upstream_failed", "the answer is lost", Outcome.RAN)
        finally:
            self._leave()

    async def _reopen_or_fail(self) -> TokenStream:
        try:
            return await self._reopen(self._delivery.next_offset)
        except _LostError as error:
            raise RequestError(
                410, "answer_lost", f"the rest is not available: {error}", Outcome.RAN
            ) from error

    async def _dispatch(self, attempt: int) -> TokenStream | None:
        """Place and dispatch; None where the request did not run and may try again."""
        job, guard = self._job, self._node.guard
        # At once, before it waits for room, and again when it has got some.
        guard.check(job.request.features, job.request_id)
        replica = await self._place()
        # The place may have come late within a planned stop.
        self._node.check_end(self._node.longest_s(job.ticket))
        await guard.admit(job.request.features, job.request_id)
        if not self._earned_retries:
            self._earned_retries = True
            self._node.budget(job.service.upstream).on_first_attempt(job.policy.retry_share)
        health = self._node.ledger.replica(replica.name).health
        self._timing.start(steady_time())
        self._node.client.pacing.note_sent(replica.address, self._timing.sent_at)
        earlier, self._may_have_run = self._may_have_run, True
        try:
            stream = await self._open(replica)
        except UpstreamHeldBackError:
            # It asked for that after it was chosen, or others had the permit: nothing was
            # sent, nor is it excluded, nor does it count.
            self._may_have_run = earlier
            return None
        except UpstreamUnreachableError as error:
            self._may_have_run = earlier
            health.on_failure(steady_time(), self._node.random)
            await self._not_run(attempt, str(error))
            return None
        except UpstreamRefusedError as error:
            self._may_have_run = earlier
            self._note_refusal(replica, error)
            await self._not_run(attempt, error.message)
            return None
        except UpstreamInvalidError as error:
            raise RequestError(error.status, error.code, error.message, Outcome.UNKNOWN) from error
        except UnconfirmedRefusalError as error:
            health.on_failure(steady_time(), self._node.random)
            self._note_leaving(replica, error.leaving)
            return await self._after_broken_dispatch(attempt, replica, str(error))
        except UpstreamBrokenError as error:
            health.on_failure(steady_time(), self._node.random)
            self._note_broken(replica)
            return await self._after_broken_dispatch(attempt, replica, str(error))
        await self._bind(stream.generation)
        return stream

    async def _open(self, replica: Replica) -> TokenStream:
        """Send the request; an engine that stays silent counts as a broken connection."""
        request = self._job.request
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                with LoggedSend(
                    self._node.log,
                    request.request_id,
                    replica.name,
                    request.record,
                    self._job.repeatable,
                ):
                    return await self._adapter.open(replica, request)
        except TimeoutError as error:
            raise UpstreamBrokenError("no answer in time") from error

    def _note_broken(self, replica: Replica) -> None:
        """Have it found out whether the replica ended, or only the connection."""
        request, now = self._job.request, steady_time()
        timing = self._timing
        run = BrokenRun(
            request.request_id, request.features, replica, timing.sent_at, now, timing.begun_at
        )
        self._node.guard.on_broken(run)

    async def _bind(self, generation: str) -> None:
        """The answer comes from this generation."""
        self._delivery.bind(generation)
        self._token_at = steady_time()
        self._carry()
        await self._sink.begin(self._position())

    def _carry(self) -> None:
        """Let the guardian know of the generation, in case this instance dies."""
        job, replica = self._job, self._replica
        assert replica is not None
        self._node.carried.add(
            CarriedGeneration(
                self._delivery.generation, replica.name, job.service.name, job.policy.grace_s
            )
        )

    async def _place(self) -> Replica:
        job, node = self._job, self._node
        self._leave()
        decision = await node.dispatcher(job.service).place(job.ticket)
        node.explain(job.request_id, decision)
        replica = node.directory.find(decision.replica)
        if replica is None or not node.directory.may_get_work(decision.replica):
            raise RequestError(503, "no_replica", "the chosen replica left", Outcome.NOT_RUN, 0.5)
        self._replica = replica
        node.ledger.replica(replica.name).cache.stored(job.ticket.blocks)
        return replica

    def _note_refusal(self, replica: Replica, error: UpstreamRefusedError) -> None:
        self._note_leaving(replica, error.leaving)
        if error.final:
            raise RequestError(error.status, error.code, error.message, Outcome.NOT_RUN)

    def _note_leaving(self, replica: Replica, leaving: bool) -> None:
        """Record that a replica says with a refusal that it is leaving."""
        if leaving:
            self._node.directory.mark_leaving(replica.name, LeavingSource.REFUSAL, steady_time())

    async def _not_run(self, attempt: int, reason: str) -> None:
        """The attempt did not run: try elsewhere within the budget."""
        await self._before_retry(attempt, reason)

    async def _before_retry(self, attempt: int, reason: str) -> None:
        replica, job = self._replica, self._job
        self._leave()
        if replica is not None:
            job.ticket.excluded.add(replica.name)
        if attempt >= MAX_ATTEMPTS or not self._node.budget(job.service.upstream).take():
            raise self._failed(reason)
        self._node.metrics.retries.add(1, {"service": job.service.name})
        self._attempt = attempt + 1
        await asyncio.sleep(backoff_s(attempt, self._node.random))

    async def _after_broken_dispatch(
        self, attempt: int, replica: Replica, reason: str
    ) -> TokenStream | None:
        """The request may run: look for its generation before anything else."""
        generation = ""
        try:
            async with asyncio.timeout(RESUME_TIMEOUT_S):
                info = await self._adapter.find(replica, self._job.request_id)
            generation = info.generation
            await self._bind(generation)
            async with asyncio.timeout(RESUME_TIMEOUT_S):
                return await self._adapter.resume(replica, generation, 0)
        except (UpstreamError, TimeoutError) as error:
            self._log_not_found(replica, generation, str(error) or type(error).__name__)
        if not self._job.repeatable:
            raise RequestError(502, "upstream_broken", reason, Outcome.UNKNOWN)
        self._drop(generation)
        await self._before_retry(attempt, reason)
        return None

    def _log_not_found(self, replica: Replica, generation: str, reason: str) -> None:
        self._node.log.info(
            "generation_not_found",
            request_id=self._job.request_id,
            replica=replica.name,
            generation=generation,
            reason=reason,
        )

    async def _deliver(self, stream: TokenStream) -> bool:
        """Follow a new generation; False where it must be generated anew."""
        done = await self._follow(stream)
        if not done:
            await self._sink.restart()
        return done

    async def _follow(self, stream: TokenStream) -> bool:
        """Carry out the steps of the delivery until its end."""
        while True:
            generation = self._delivery.generation
            try:
                steps = await self._read(stream)
            except RequestError:
                # The rest of the answer is not wanted.
                self._drop(generation)
                raise
            finally:
                # Also when the caller is gone: an open link keeps its generation.
                stream.close()
            step = steps[-1]
            self._log_step(step)
            if isinstance(step, Finish):
                self._node.carried.remove(generation)
                self._succeed()
                return True
            if self._replica is not None:
                self._note_broken(self._replica)
            while isinstance(step, Resume):
                try:
                    stream = await self._reopen(step.offset)
                    break
                except _LostError as error:
                    step = self._delivery.on_generation_lost(str(error))[0]
            if isinstance(step, Regenerate):
                self._count_failure()
                self._drop(generation)
                return False
            if isinstance(step, Fail):
                self._count_failure()
                # Not cancelled: its caller may come back for the rest until the grace is over.
                self._node.spawn(self.abandon())
                raise RequestError(502, "stream_lost", step.reason, step.outcome)

    def _log_step(self, step: Step) -> None:
        if isinstance(step, Finish):
            return
        self._node.log.info(
            "stream_interrupted",
            request_id=self._job.request_id,
            replica=self._replica.name if self._replica else "",
            step=type(step).__name__.lower(),
            reason=self._delivery.last_break,
            offset=self._delivery.next_offset,
        )

    async def _read(self, stream: TokenStream) -> list[Step]:
        """Read until a step other than `Forward` is due."""
        delivery, rhythm = self._delivery, self._rhythm
        rhythm.start(steady_time())
        with StallWatch(rhythm, stream.close) as watch:
            while True:
                try:
                    events = await stream.read()
                except UpstreamBrokenError as error:
                    if watch.fired:
                        return delivery.on_stalled(steady_time() - self._token_at)
                    return delivery.on_broken(str(error))
                if not events:
                    return delivery.on_broken("the stream ended early")
                steps = delivery.on_events(events)
                if steps and type(steps[0]) is Forward:
                    # Repeated and foreign events are no sign that the answer goes on.
                    rhythm.on_batch(steady_time())
                    if self._timing.note_part(steady_time()):
                        features = self._job.request.features
                        self._node.guard.on_progress(features, self._timing.sound_since)
                    watch.pause()
                    await self._forward(steps[0].events)
                    watch.go_on()
                if steps and type(steps[-1]) is not Forward:
                    return steps

    async def _forward(self, events: Sequence[TokenEvent]) -> None:
        delivery, flight = self._delivery, self._job.ticket.flight
        self._token_at = steady_time()
        if flight is not None:
            if flight.tokens == 0:
                wait = steady_time() - self._job.started_at
                self._node.metrics.first_token.record(wait, {"service": self._job.service.name})
            self._node.ledger.advance(flight, delivery.next_offset - int(delivery.finished))
        await self._sink.forward(events)

    async def _reopen(self, offset: int) -> TokenStream:
        """Resume the generation; retry while its engine may still have it."""
        replica = self._replica
        assert replica is not None
        self._node.metrics.resumes.add(1, {"service": self._job.service.name})
        last = "unknown"
        # The first resume goes out at once; an engine that gives nothing gets time.
        pause_s = RESUME_PAUSE_S * (self._delivery.resumes_without_token - 1)
        await asyncio.sleep(min(pause_s, MAX_RESUME_PAUSE_S))
        for attempt in range(1, self._delivery.max_resumes + 1):
            try:
                async with asyncio.timeout(RESUME_TIMEOUT_S):
                    return await self._adapter.resume(replica, self._delivery.generation, offset)
            except GenerationUnknownError as error:
                raise _LostError("the engine dropped the generation") from error
            except UpstreamHeldBackError as error:
                # The replica runs on meanwhile, and is not to blame.
                last = str(error)
                await asyncio.sleep(min(error.remaining_s, RESUME_TIMEOUT_S))
                continue
            except (UpstreamError, TimeoutError) as error:
                last = str(error) or type(error).__name__
            self._node.ledger.replica(replica.name).health.on_failure(
                steady_time(), self._node.random
            )
            await asyncio.sleep(RESUME_PAUSE_S * attempt)
        raise _LostError(f"the engine cannot be reached: {last}")

    def _position(self) -> Position:
        assert self._replica is not None
        job = self._job
        return Position(
            job.service.name,
            job.workspace,
            self._replica.name,
            self._delivery.generation,
            job.request_id,
            0,
        )

    def _succeed(self) -> None:
        assert self._replica is not None
        self._node.ledger.replica(self._replica.name).health.on_success(steady_time())
        self._node.guard.on_answer(self._job.request.features, self._timing.sound_since)
        self._release(ended=True)

    def _cancel_later(self, generation: str) -> None:
        """Free the memory of a generation that another one replaces."""
        replica = self._replica
        if replica is not None and generation:
            self._node.spawn(self._cancel(replica, generation))

    def _drop(self, generation: str) -> None:
        """A generation that failed is cancelled now, and by nobody later."""
        self._cancel_later(generation)
        self._node.carried.remove(generation)

    async def _cancel(self, replica: Replica, generation: str) -> None:
        await self._node.cancellation.run(self._adapter, replica, generation)

    def _count_failure(self) -> None:
        if self._replica is not None:
            health = self._node.ledger.replica(self._replica.name).health
            health.on_failure(steady_time(), self._node.random)

    def _leave(self) -> None:
        self._release(ended=False)

    def _release(self, ended: bool) -> None:
        """Count the generation out, and let waiting requests have its room."""
        flight, self._job.ticket.flight = self._job.ticket.flight, None
        if flight is not None:
            self._node.ledger.finish(flight, ended)
            self._node.pump()

    async def abandon(self) -> None:
        """The caller is gone: cancel the generation after the grace to reconnect."""
        replica, generation = self._replica, self._delivery.generation
        if replica is None or not generation or self._delivery.finished:
            return
        if self._node.draining:
            if not self._job.buffered and self._node.hand_over():
                return
        else:
            await asyncio.sleep(self._job.policy.grace_s)
        await self._cancel(replica, generation)
        self._node.carried.remove(generation)
