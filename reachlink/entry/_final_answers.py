"""Final answers of requests that are unfinished when a planned stop ends the process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from aiohttp import web

from reachlink.delivery import Outcome
from reachlink.entry._unfinished import MAX_LOGGED
from reachlink.entry.exceptions import stopping_error
from reachlink.kernel import steady_time

# Keys of a request: what is known of whether it has run, and the scope that it is handled in.
OUTCOME_KEY, SCOPE_KEY = "outcome", "final_scope"


class FinalAnswers:
    """Breaks off requests at the time at which all final answers are due.

    Parameters
    ----------
    log : callable
        Returns the logger of the process.
    event : str
        Event that is logged for each of them.
    """

    def __init__(self, log: Callable[[], Any], event: str = "request_unfinished") -> None:
        self._log = log
        self._event = event
        self._count = 0
        self._due_at: float | None = None
        self._scopes: set[asyncio.Timeout] = set()

    def set_due(self, due_at: float) -> None:
        """Break off all requests at `due_at`, in monotonic seconds, also those that come later."""
        self._due_at = due_at
        for scope in self._scopes:
            if not scope.expired():
                scope.reschedule(self._loop_time())

    def on_resumed(self) -> None:
        """Handle the end of a suspension of the machine, during which timers stood still."""
        if self._due_at is not None:
            self.set_due(self._due_at)

    @asynccontextmanager
    async def scope(self, request: web.BaseRequest) -> AsyncIterator[None]:
        """Enclose the handling of a request.

        Raises
        ------
        RequestError
            If it is broken off.
        """
        async with asyncio.timeout_at(self._loop_time()) as scope:
            request[SCOPE_KEY] = scope
            self._scopes.add(scope)
            try:
                yield
            except asyncio.CancelledError as error:
                if not scope.expired():
                    raise
                raise stopping_error(_outcome(request)) from error
            finally:
                self._scopes.discard(scope)
                if scope.expired():
                    self._note(request)

    def _note(self, request: web.BaseRequest) -> None:
        self._count += 1
        if self._count <= MAX_LOGGED:
            self._log().warning(
                self._event,
                request_id=request.get("request_id", ""),
                path=request.path,
                outcome=_outcome(request).value,
                sent_bytes=request.writer.output_size,
            )

    def _loop_time(self) -> float | None:
        """Return the time of the event loop at which requests are broken off."""
        if self._due_at is None:
            return None
        return asyncio.get_running_loop().time() + self._due_at - steady_time()


def set_outcome(request: web.BaseRequest, outcome: Callable[[], Outcome]) -> None:
    """Set what tells whether a request has run, should it be broken off."""
    request[OUTCOME_KEY] = outcome


def is_broken_off(request: web.BaseRequest) -> bool:
    """Return whether a request is broken off, as the process is about to end."""
    scope: asyncio.Timeout | None = request.get(SCOPE_KEY)
    return scope is not None and scope.expired()


def _outcome(request: web.BaseRequest) -> Outcome:
    told: Callable[[], Outcome] | None = request.get(OUTCOME_KEY)
    return Outcome.UNKNOWN if told is None else told()
