"""Requests whose answer is read completely and checked before it is passed on."""

import asyncio

from reachlink.limits import BufferKind
from reachlink.requests._answer_body import read_whole
from reachlink.requests._attempts import AttemptFailure, AttemptLog, pacing_failure
from reachlink.requests._model import CallerRequest, WholeAnswer
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.upstreams import (
    Replica,
    UnconfirmedRefusalError,
    UpstreamBrokenError,
    UpstreamHeldBackError,
    UpstreamUnreachableError,
)

# Time after which a repeatable request is sent to another replica, as a multiple of the objective
# of the route.
SLOW_REPLICA_OBJECTIVES = 1.0
# First HTTP status that means a server error (RFC 9110, section 15.6).
SERVER_ERROR = 500


class WholeRunner:
    """Runs requests whose answers are passed on as a whole.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Places and sends the requests.
    """

    def __init__(self, dispatcher: RequestDispatcher) -> None:
        self._dispatcher = dispatcher

    async def run(self, request: CallerRequest) -> WholeAnswer:
        """Run one request and return its answer.

        Raises
        ------
        RequestFailedError
            If there is none.
        """
        attempts = self._dispatcher.retry_policy.begin(request)
        tried: set[str] = set()
        fallback: WholeAnswer | None = None
        while (replica := await self._dispatcher.place_or_wait(request, tried)) is not None:
            tried.add(replica.name)
            allocation = self._dispatcher.allocations.add(request, replica)
            try:
                previous_bytes = len(fallback.body) if fallback is not None else 0
                result = await self._attempt(request, replica, attempts, previous_bytes)
            finally:
                self._dispatcher.allocations.remove(replica, allocation)
            if isinstance(result, WholeAnswer):
                # Passed on to the caller if no other replica gives a better answer.
                fallback = result
                _record_buffered(request, fallback.body)
                if fallback.head.status < SERVER_ERROR or not request.route.may_repeat:
                    break
                result = AttemptFailure.FAILED
            if result in (AttemptFailure.LIMITED, AttemptFailure.BRITTLE):
                # Other requests used up the permits; the replica may take this one later.
                tried.discard(replica.name)
            if not self._dispatcher.retry_policy.may_retry(request, replica, result, attempts):
                break
        if fallback is not None:
            return fallback
        raise self._dispatcher.retry_policy.failure(request, attempts)

    async def _attempt(
        self, request: CallerRequest, replica: Replica, attempts: AttemptLog, previous_bytes: int
    ) -> WholeAnswer | AttemptFailure:
        """Return the answer of one replica, or why there is none.

        `previous_bytes` is the size of the answer of an earlier attempt that is still buffered.
        """
        may_retry = attempts.may_repeat and attempts.sent + 1 < attempts.max_attempts
        timeout_s = request.route.objective_s * SLOW_REPLICA_OBJECTIVES if may_retry else None
        sent_at = self._dispatcher.now()
        try:
            async with (
                self._dispatcher.guard.watched(request.relay.features),
                asyncio.timeout(timeout_s) as scope,
            ):
                answer = await self._dispatcher.open(request, replica)
                begun_at = self._dispatcher.now()
                if answer.head.not_run:
                    answer.close()
                    return self._dispatcher.outcomes.record_refusal(replica, answer.head, sent_at)
                wait = _BufferWait(scope)
                body = await read_whole(answer, request.caller_buffer, wait.begin, previous_bytes)
        except UpstreamHeldBackError as error:
            return pacing_failure(error)
        except UpstreamUnreachableError as error:
            self._dispatcher.outcomes.record_unreachable(replica, error)
            return AttemptFailure.UNREACHABLE
        except UnconfirmedRefusalError:
            return AttemptFailure.UNCONFIRMED_REFUSAL
        except UpstreamBrokenError:
            self._dispatcher.outcomes.record_broken(request, replica, sent_at)
            return AttemptFailure.BROKEN
        except TimeoutError:
            self._dispatcher.outcomes.record_no_answer(replica)
            self._dispatcher.pace.note_call(request, replica, sent_at)
            return AttemptFailure.SLOW
        if answer.head.success and not answer.head.genuine:
            self._dispatcher.outcomes.record_no_answer(replica)
            return AttemptFailure.BROKEN
        if answer.head.status >= SERVER_ERROR:
            self._dispatcher.outcomes.record_answer(replica, succeeded=False)
        else:
            self._dispatcher.outcomes.record_answer(replica, succeeded=True)
            if answer.head.success:
                self._dispatcher.outcomes.record_sound(request, begun_at)
            if not wait.begun:
                self._dispatcher.pace.note_call(request, replica, sent_at)
        return WholeAnswer(answer.head, body)


def _record_buffered(request: CallerRequest, body: bytes) -> None:
    """Account for the answer that is kept; an earlier one is dropped."""
    if request.caller_buffer is not None:
        request.caller_buffer.set_size(BufferKind.ANSWER, len(body))


class _BufferWait:
    """Wait of an answer for buffer space here, which must not count as slowness of the replica.

    Parameters
    ----------
    scope : asyncio.Timeout
        Timeout for the answer of the replica.
    """

    def __init__(self, scope: asyncio.Timeout) -> None:
        self._scope = scope
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether the answer had to wait for buffer space."""
        return self._begun

    def begin(self) -> None:
        """Cancel the timeout, because the time is no longer that of the replica alone."""
        self._begun = True
        if not self._scope.expired():
            self._scope.reschedule(None)
