"""Requests that a planned stop of this instance would cut off are ended before that."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from reachlink.delivery import Outcome
from reachlink.requests._model import CallerRequest
from reachlink.requests.exceptions import RequestFailedError

# Reason of the final answers to such requests.
STOPPING = "stopping"
# Time in seconds after which a refused caller should retry: other instances are ready.
STOPPING_RETRY_S = 0.05


class StopLimits:
    """Limits that a planned stop of this instance sets to requests."""

    def __init__(self) -> None:
        self._answers_due_at: float | None = None
        self._waiting: dict[asyncio.Timeout, CallerRequest] = {}

    def begin(self, answers_due_at: float) -> None:
        """Begin a planned stop: requests that wait for a replica and can't end in time are refused.

        Parameters
        ----------
        answers_due_at : float
            Monotonic time in seconds at which all final answers are due.
        """
        self._answers_due_at = answers_due_at
        now = asyncio.get_running_loop().time()
        for scope, request in self._waiting.items():
            if self._must_refuse(request) and not scope.expired():
                scope.reschedule(now)

    @asynccontextmanager
    async def waiting(self, request: CallerRequest) -> AsyncIterator[None]:
        """Limit the time in which a request waits for a replica.

        Raises
        ------
        RequestFailedError
            If the request has run nowhere, and can't end before the planned stop does.
        """
        if self._must_refuse(request):
            raise stopping_failure(request)
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._waiting[scope] = request
                yield
        except TimeoutError as error:
            if not scope.expired():
                raise
            raise stopping_failure(request) from error
        finally:
            self._waiting.pop(scope, None)

    def _must_refuse(self, request: CallerRequest) -> bool:
        """Return whether another instance has to run a request."""
        due_at = self._answers_due_at
        return due_at is not None and request.deadline > due_at and not request.may_have_run


def stopping_failure(request: CallerRequest) -> RequestFailedError:
    """Return the final answer to a request that a planned stop ends."""
    if request.may_have_run:
        return RequestFailedError(504, STOPPING, Outcome.UNKNOWN)
    return RequestFailedError(503, STOPPING, Outcome.NOT_RUN, STOPPING_RETRY_S)
