"""Requests whose answer is a stream of events, which may outlive its replica.

While a generation runs, its memory is copied to a second replica as it
grows. Where the first one is lost, the second goes on after the last event
that the caller got.
"""

import asyncio
from dataclasses import dataclass

from reachlink.requests._attempts import Setback
from reachlink.requests._book import Flight
from reachlink.requests._choice import COPY, COPY_HOME, RESCUE, Terms
from reachlink.requests._dispatch import Dispatch, read_whole
from reachlink.requests._joint import Joint
from reachlink.requests._model import AnswerSink, CallerRequest
from reachlink.requests._shadow import Shadow
from reachlink.requests.exceptions import StreamCutError
from reachlink.upstreams import (
    Continuation,
    EventSplitter,
    MovedMemory,
    RelayAnswer,
    Replica,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamUnreachableError,
)

# How often a stream looks whether its replicas stay, in seconds.
WATCH_S = 0.1
# A replica that gives no event for this long, in seconds, is taken for lost:
# well above what reading other prompts takes, below what callers bear.
SILENCE_S = 0.8
# Shortest expected output, in tokens, that is copied from the start: the long
# ones are worth most and are at risk longest, and memory is short.
COPY_FROM_TOKENS = 800
# Shortest one that is copied when its replica leaves: a shorter one ends first.
RESCUE_FROM_TOKENS = 100


@dataclass(slots=True)
class _Place:
    """A replica that carries a generation or a copy of it."""

    replica: Replica
    flight: Flight


class StreamRunner:
    """Carries streams.

    Parameters
    ----------
    dispatch : Dispatch
        Places and sends requests.
    """

    def __init__(self, dispatch: Dispatch) -> None:
        self._dispatch = dispatch

    async def run(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Carry one request to its end."""
        dispatch = self._dispatch
        attempts = dispatch.begin(request)
        tried: set[str] = set()
        reason = "no_replica"
        while True:
            replica = await dispatch.place_or_wait(request, tried)
            if replica is None:
                break
            tried.add(replica.name)
            setback = await _Stream(dispatch, request, sink).start(replica)
            if setback is None:
                return
            reason = setback.value
            attempts.note(setback)
            dispatch.log_setback(request, replica, setback, attempts.sent)
            if not attempts.may_go_on():
                break
            if not dispatch.may_send_again(request, setback):
                reason = f"{reason}_no_budget"
                break
        raise dispatch.failure(reason, attempts)


class _Stream:
    """One generation on its way through one replica or several."""

    def __init__(self, dispatch: Dispatch, request: CallerRequest, sink: AnswerSink) -> None:
        self._dispatch = dispatch
        self._request = request
        self._sink = sink
        self._joint = Joint()
        self._home: _Place | None = None
        self._copy: _Place | None = None
        self._shadow: Shadow | None = None
        self._shadow_place: _Place | None = None
        self._no_room: set[str] = set()
        self._given_at = 0.0

    async def start(self, replica: Replica) -> Setback | None:
        """Begin at a replica and follow to the end; return why it did not begin, if so."""
        self._home = self._occupy(replica, reads=True)
        watch = asyncio.create_task(self._watch())
        try:
            return await self._run()
        finally:
            watch.cancel()
            self._drop_shadow()
            self._leave(self._home)
            self._leave(self._copy)

    async def _run(self) -> Setback | None:
        assert self._home is not None
        self._copy = self._choose_copy(set())
        try:
            answer = await self._open(self._home.replica, None)
        except UpstreamUnreachableError:
            return Setback.UNREACHABLE
        except UpstreamBrokenError:
            return Setback.BROKEN
        try:
            if answer.head.not_run:
                return Setback.NOT_RUN
            if answer.head.success and not answer.head.genuine:
                return Setback.BROKEN
            if not answer.head.success:
                await self._sink.whole(answer.head, await read_whole(answer))
                return None
            await self._sink.begin(answer.head)
            ended = await self._follow(answer)
        finally:
            answer.close()
        while not ended:
            ended = await self._go_on()
        await self._sink.end()
        return None

    async def _watch(self) -> None:
        """Copy the generation elsewhere where its copy is about to be lost."""
        while True:
            await asyncio.sleep(WATCH_S)
            if self._is_shadowed() or not self._needs_shadow():
                continue
            self._drop_shadow()
            self._begin_shadow()

    def _is_shadowed(self) -> bool:
        if self._shadow is None:
            return False
        if self._shadow.failed:
            self._no_room.add(self._shadow.target.name)
            return False
        return self._dispatch.stays(self._shadow.target)

    def _needs_shadow(self) -> bool:
        """Return whether no replica that stays has a copy of the generation."""
        engine = self._request.service.engine
        if self._home is None or self._joint.last < 0 or engine is None or not engine.moves:
            return False
        if self._copy is not None and self._dispatch.stays(self._copy.replica):
            return False
        stays = self._dispatch.stays(self._home.replica)
        return self._is_longer_than(COPY_FROM_TOKENS if stays else RESCUE_FROM_TOKENS)

    def _begin_shadow(self) -> None:
        assert self._home is not None
        home = self._home.replica
        excluded = {home.name, *self._no_room}
        if self._copy is not None:
            excluded.add(self._copy.replica.name)
        # Nothing is worse than to lose it: where this replica leaves, any room will do.
        if self._dispatch.stays(home):
            target = self._dispatch.place(self._request, excluded, self._copy_terms(home))
        else:
            # Time is short, and within the replica's zone a copy takes half of it.
            zone = home.availability_zone
            target = self._dispatch.place(self._request, excluded, RESCUE, zone)
        if target is None:
            self._no_room.clear()
            return
        self._dispatch.log.info(
            "generation_shadowed",
            request_id=self._request.request_id,
            source=home.name,
            target=target.name,
            copy=self._copy.replica.name if self._copy else "",
            home_stays=self._dispatch.stays(home),
            after_event=self._joint.last,
        )
        self._shadow_place = self._occupy(target, copy=True)
        self._shadow = Shadow(
            self._dispatch.adapter, self._request.request_id, home, target, self._dispatch.log
        )

    def _drop_shadow(self) -> None:
        if self._shadow is not None:
            self._shadow.abandon()
        self._shadow = None
        self._leave(self._shadow_place)
        self._shadow_place = None

    async def _go_on(self) -> bool:
        """Continue where the generation's memory is; return whether the stream ended."""
        options = await self._continuations()
        for target, memory in options:
            answer = await self._continue_at(target, memory)
            if answer is None:
                continue
            try:
                return await self._follow(answer)
            finally:
                answer.close()
        raise StreamCutError("no_copy_left")

    async def _continuations(self) -> list[tuple[Replica, MovedMemory]]:
        """Return where the generation may go on, the best first."""
        found: list[tuple[Replica, MovedMemory]] = []
        if self._shadow is not None and self._shadow_place is not None:
            memory = await self._shadow.take()
            if memory is not None:
                found.append((self._shadow_place.replica, memory))
            self._shadow = None
        if self._copy is not None:
            replica = self._copy.replica
            found.append((replica, MovedMemory(replica.address, self._request.request_id)))
        return found

    async def _continue_at(self, target: Replica, memory: MovedMemory) -> RelayAnswer | None:
        """Ask a replica to go on; return None where it cannot."""
        lost, copy = self._home, self._copy
        assert lost is not None
        self._leave(lost)
        self._leave(copy)
        self._drop_shadow()
        self._home = self._occupy(target, reads=False)
        self._copy = self._choose_copy({target.name}, lost.replica)
        self._dispatch.log.info(
            "stream_continues",
            request_id=self._request.request_id,
            lost=lost.replica.name,
            replica=target.name,
            copy=self._copy.replica.name if self._copy else "",
            handle=memory.handle,
            after_event=self._joint.last,
        )
        try:
            answer = await self._open(target, Continuation(self._joint.last, memory))
        except UpstreamError as error:
            self._log_stuck(target, str(error))
            return None
        if not answer.head.success:
            answer.close()
            self._log_stuck(target, f"status {answer.head.status}")
            return None
        return answer

    def _log_stuck(self, target: Replica, reason: str) -> None:
        self._dispatch.log.warning(
            "continuation_failed",
            request_id=self._request.request_id,
            replica=target.name,
            reason=reason,
        )

    async def _follow(self, answer: RelayAnswer) -> bool:
        """Give events on until the answer ends; return whether it ended well."""
        assert self._home is not None
        splitter = EventSplitter()
        try:
            while data := await self._read(answer):
                ready = self._joint.take(splitter.feed(data))
                if ready:
                    self._dispatch.has_read(self._home.flight)
                    self._note_pause()
                    await self._sink.write(ready)
        except (UpstreamBrokenError, ValueError) as error:
            self._on_broken(str(error))
            return False
        except TimeoutError as error:
            raise StreamCutError("stream_timeout") from error
        if splitter.rest:
            self._on_broken("the last event is not whole")
            return False
        self._dispatch.succeeded(self._home.replica)
        return True

    async def _read(self, answer: RelayAnswer) -> bytes:
        """Return the next bytes; a silence that a copy can end is a break."""
        if self._joint.last < 0 or (self._copy is None and self._shadow is None):
            return await answer.read()
        try:
            async with asyncio.timeout(SILENCE_S):
                return await answer.read()
        except TimeoutError as error:
            raise UpstreamBrokenError(f"silent for {SILENCE_S} s") from error

    async def _open(self, replica: Replica, continuation: Continuation | None) -> RelayAnswer:
        backup = self._copy.replica if self._copy is not None else None
        try:
            return await self._dispatch.open(self._request, replica, continuation, backup)
        except UpstreamUnreachableError:
            self._dispatch.unreachable(replica)
            raise
        except UpstreamError:
            self._dispatch.distrust(replica)
            raise

    def _note_pause(self) -> None:
        """Log a pause between events that is longer than the route promises."""
        now = self._dispatch.now()
        pause, self._given_at = now - self._given_at, now
        longest = self._request.route.event_gap_s
        if self._home is None or not longest or pause <= longest or pause == now:
            return
        self._dispatch.log.info(
            "stream_paused",
            request_id=self._request.request_id,
            replica=self._home.replica.name,
            event_number=self._joint.last,
            pause_ms=round(pause * 1000.0),
        )

    def _on_broken(self, reason: str) -> None:
        assert self._home is not None
        replica = self._home.replica
        self._dispatch.distrust(replica)
        self._dispatch.log.warning(
            "stream_broken",
            request_id=self._request.request_id,
            replica=replica.name,
            last_event=self._joint.last,
            copy=self._copy.replica.name if self._copy else "",
            shadow=self._shadow_place.replica.name if self._shadow_place else "",
            reason=reason,
        )

    def _is_longer_than(self, tokens: int) -> bool:
        """Return whether more output than that is expected, or has come already."""
        facts = self._request.relay.generation
        engine = self._request.service.engine
        if facts is None or engine is None:
            return False
        expected = facts.expected_output_tokens or facts.max_output_tokens
        made = self._joint.last * engine.tokens_per_event
        return max(made, min(expected, facts.max_output_tokens)) >= tokens

    def _choose_copy(self, excluded: set[str], before: Replica | None = None) -> _Place | None:
        """Choose where the generation's memory is copied as it grows, if anywhere.

        The replica that it comes from is as good as any while it stays.
        """
        engine = self._request.service.engine
        if self._home is None or engine is None or not engine.backups:
            return None
        if not self._is_longer_than(COPY_FROM_TOKENS):
            return None
        home = self._home.replica
        if before is not None and self._may_keep_copy(before, home):
            return self._occupy(before, copy=True)
        found = self._dispatch.place(
            self._request, {home.name, *excluded}, terms=self._copy_terms(home)
        )
        return self._occupy(found, copy=True) if found is not None else None

    def _may_keep_copy(self, before: Replica, home: Replica) -> bool:
        """Return whether the replica that a generation comes from may have its copy."""
        if before.name == home.name or not self._dispatch.stays(before):
            return False
        return self._dispatch.is_near(before) or self._dispatch.is_near(home)

    def _copy_terms(self, home: Replica) -> Terms:
        return COPY if self._dispatch.is_near(home) else COPY_HOME

    def _occupy(self, replica: Replica, reads: bool = False, copy: bool = False) -> _Place:
        return _Place(replica, self._dispatch.take_off(self._request, replica, reads, copy))

    def _leave(self, place: _Place | None) -> None:
        if place is not None:
            self._dispatch.land(place.replica, place.flight)
