"""Requests whose answer is a stream of events, which may outlive its replica.

While a generation runs, its memory is copied to a second replica as it
grows. Where the first one is lost, the second goes on after the last event
that the caller got.
"""

from dataclasses import dataclass

from reachlink.requests._attempts import Setback
from reachlink.requests._book import Flight
from reachlink.requests._dispatch import Dispatch, read_whole
from reachlink.requests._joint import Joint
from reachlink.requests._model import AnswerSink, CallerRequest
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
            replica = dispatch.place(request, tried)
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

    async def start(self, replica: Replica) -> Setback | None:
        """Begin at a replica and follow to the end; return why it did not begin, if so."""
        self._home = self._occupy(replica)
        try:
            return await self._run()
        finally:
            self._leave(self._home)
            self._leave(self._copy)

    async def _run(self) -> Setback | None:
        assert self._home is not None
        self._choose_copy()
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

    async def _go_on(self) -> bool:
        """Continue at the replica that has the copy; return whether the stream ended."""
        lost, target = self._home, self._copy
        self._home, self._copy = target, None
        assert lost is not None
        self._leave(lost)
        if target is None:
            raise StreamCutError("lost_without_copy")
        memory = MovedMemory(target.replica.address, self._request.request_id)
        self._choose_copy(lost.replica.name)
        self._dispatch.log.info(
            "stream_continues",
            request_id=self._request.request_id,
            lost=lost.replica.name,
            replica=target.replica.name,
            after_event=self._joint.last,
        )
        try:
            answer = await self._open(target.replica, Continuation(self._joint.last, memory))
        except UpstreamError as error:
            raise StreamCutError("continuation_failed") from error
        try:
            if not answer.head.success:
                raise StreamCutError(f"continuation_refused_{answer.head.status}")
            return await self._follow(answer)
        finally:
            answer.close()

    async def _follow(self, answer: RelayAnswer) -> bool:
        """Give events on until the answer ends; return whether it ended well."""
        splitter = EventSplitter()
        try:
            while data := await answer.read():
                ready = self._joint.take(splitter.feed(data))
                if ready:
                    await self._sink.write(ready)
        except (UpstreamBrokenError, ValueError) as error:
            self._on_broken(str(error))
            return False
        except TimeoutError as error:
            raise StreamCutError("stream_timeout") from error
        if splitter.rest:
            self._on_broken("the last event is not whole")
            return False
        assert self._home is not None
        self._dispatch.succeeded(self._home.replica)
        return True

    async def _open(self, replica: Replica, continuation: Continuation | None) -> RelayAnswer:
        backup = self._copy.replica if self._copy is not None else None
        try:
            return await self._dispatch.open(self._request, replica, continuation, backup)
        except UpstreamError:
            self._dispatch.distrust(replica)
            raise

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
            reason=reason,
        )

    def _choose_copy(self, *excluded: str) -> None:
        """Choose where the generation's memory is copied as it grows, if anywhere."""
        engine = self._request.service.engine
        if engine is None or not engine.backups or self._home is None:
            return
        home = self._home.replica
        found = self._dispatch.place(
            self._request, {home.name, *excluded}, favour=home.availability_zone
        )
        self._copy = self._occupy(found) if found is not None else None

    def _occupy(self, replica: Replica) -> _Place:
        return _Place(replica, self._dispatch.take_off(self._request, replica))

    def _leave(self, place: _Place | None) -> None:
        if place is not None:
            self._dispatch.land(place.replica, place.flight)
