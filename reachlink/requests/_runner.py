"""Running a request from its arrival to its final answer."""

import asyncio
from dataclasses import dataclass
from typing import Any

from reachlink.delivery import Outcome
from reachlink.quarantine import HELD, HeldRequestError
from reachlink.requests._internal_errors import INTERNAL_ERROR, is_cancelled, log_internal_error
from reachlink.requests._model import AnswerSink, CallerRequest, WholeAnswer
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placer import Placer
from reachlink.requests._progress import RequestStage
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._retry_policy import RETRY_AFTER_S
from reachlink.requests._stop_limits import stopping_failure
from reachlink.requests._streams import StreamRunner
from reachlink.requests._whole_answers import WholeRunner
from reachlink.requests.exceptions import CallerGoneError, RequestFailedError, StreamCutError
from reachlink.routing import RequestKind
from reachlink.telemetry import get_logger


@dataclass(slots=True)
class _RunningRequest:
    """A request and its answer; `stopped` where a planned stop ends it before its deadline."""

    request: CallerRequest
    sink: AnswerSink
    stopped: bool = False


class RequestRunner:
    """Sends requests of callers to replicas and relays the answers.

    Parameters
    ----------
    parts : RunnerParts
        Dependencies.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._dispatcher = RequestDispatcher(parts)
        self._whole = WholeRunner(self._dispatcher)
        self._streams = StreamRunner(self._dispatcher)
        # Running requests, each by the timeout that ends it at its deadline.
        self._running: dict[asyncio.Timeout, _RunningRequest] = {}
        # All requests in progress, also those whose answer the caller has yet to take.
        self._in_progress: dict[int, CallerRequest] = {}
        self._log: Any = get_logger()

    @property
    def placer(self) -> Placer:
        """Component that chooses replicas."""
        return self._dispatcher.placer

    @property
    def in_progress(self) -> list[CallerRequest]:
        """Requests whose callers do not have the whole answer yet, the oldest first."""
        return list(self._in_progress.values())

    def is_service_unreachable(self, service: str) -> bool:
        """Return whether this zone is cut off and has no replica of a service."""
        return self._dispatcher.placer.reachable.none_reachable(service)

    def on_replica_restarted(self, replica: str) -> None:
        """Handle that a replica has restarted under the same name."""
        self._dispatcher.guard.on_replica_restarted(replica)

    def on_resumed(self) -> None:
        """Handle the end of a suspension of the machine.

        Timers did not advance meanwhile, so that the timeouts are set to the deadlines again;
        requests past their deadline end at once.
        """
        now = asyncio.get_running_loop().time()
        for scope, running in self._running.items():
            if not running.stopped and not scope.expired():
                left_s = running.request.deadline - self._parts.clock()
                scope.reschedule(now + max(0.0, left_s))

    def begin_stop(self, answers_due_at: float) -> None:
        """Begin a planned stop; refuse requests that wait for a replica and can't end in time.

        Parameters
        ----------
        answers_due_at : float
            Monotonic time in seconds at which all final answers are due.
        """
        self._dispatcher.stop_limits.begin(answers_due_at)

    def end_unanswered(self) -> None:
        """End the requests whose callers have got nothing yet, as their answers are due now.

        Answers that have begun go on: breaking them off serves nobody.
        """
        now = asyncio.get_running_loop().time()
        for scope, running in self._running.items():
            if not running.sink.begun and not scope.expired():
                running.stopped = True
                scope.reschedule(now)

    async def run(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Run one request to its end.

        Raises
        ------
        RequestFailedError
            If nothing was given to the caller yet; holds the final answer to give.
        StreamCutError
            If a started stream must be aborted.
        CallerGoneError
            If the caller has closed its connection.
        """
        started = self._parts.clock()
        code = "cancelled"
        self._in_progress[id(request)] = request
        try:
            answer = await self._run_to_deadline(request, sink)
            if answer is not None:
                # How long its caller takes to read it is not bounded by the deadline.
                request.progress.enter(RequestStage.ANSWERED, self._parts.clock())
                await sink.write_whole(answer.head, answer.body)
            code = "delivered"
        except HeldRequestError as error:
            code = HELD
            raise _held_failure(error, request.may_have_run) from error
        except (RequestFailedError, StreamCutError) as error:
            code = error.reason
            raise
        except CallerGoneError:
            raise
        except (Exception, asyncio.CancelledError) as error:
            if is_cancelled(error):
                raise
            failure = self._internal_failure(request, error)
            code = failure.reason
            raise failure from error
        finally:
            del self._in_progress[id(request)]
            self._parts.on_outcome(request, code, self._parts.clock() - started)

    async def _run_to_deadline(
        self, request: CallerRequest, sink: AnswerSink
    ) -> WholeAnswer | None:
        """Run one request until its deadline; return its answer if that is no stream."""
        left_s = max(0.0, request.deadline - self._parts.clock())
        scope = asyncio.timeout(left_s)
        running = _RunningRequest(request, sink)
        try:
            async with scope:
                self._running[scope] = running
                # A held request is refused at once, before it waits for a replica.
                self._dispatcher.guard.check(request.relay.features, request.request_id)
                if request.route.kind is RequestKind.STREAM:
                    return await self._streams.run(request, sink)
                return await self._whole.run(request)
        except TimeoutError as error:
            if not scope.expired():
                raise
            if running.stopped:
                raise stopping_failure(request) from error
            raise RequestFailedError(504, "timeout", Outcome.UNKNOWN) from error
        finally:
            self._running.pop(scope, None)

    def _internal_failure(self, request: CallerRequest, error: BaseException) -> RequestFailedError:
        """Return the final answer to a request that ended by an error that no part expects."""
        log_internal_error(self._log, request.request_id, error, request.may_have_run)
        if request.may_have_run:
            return RequestFailedError(502, INTERNAL_ERROR, Outcome.UNKNOWN)
        return RequestFailedError(503, INTERNAL_ERROR, Outcome.NOT_RUN, RETRY_AFTER_S)


def _held_failure(error: HeldRequestError, sent: bool) -> RequestFailedError:
    """Return the final answer to a held request, which was sent to a replica before or not."""
    if error.whole or sent:
        # Not 503, which would promise that the same request, sent before, has not run.
        return RequestFailedError(502, HELD, Outcome.UNKNOWN, message=error.describe(True))
    return RequestFailedError(
        503, HELD, Outcome.NOT_RUN, error.ends_in_s, message=error.describe(False)
    )
