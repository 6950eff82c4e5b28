"""Records what replicas ask for in their answers: backoffs, rate limits, few rejections."""

import time
from collections.abc import Callable
from typing import Any

import aiohttp

from reachlink.kernel import steady_time
from reachlink.pacing import PacingTracker, parse_limit, parse_refusals
from reachlink.telemetry import get_logger
from reachlink.upstreams._connections import address_of
from reachlink.upstreams._retry_after import requested_backoff_s

# Maximum length of the reason in a log line about an unreadable field, in characters.
MAX_LOGGED_CHARACTERS = 40
# Header field of an answer with the rate limit of the replica for all senders together, in
# requests per second.
LIMIT_HEADER = "X-Fleet-Rate-Limit"
# Header field of an answer with the rejections per second, over all senders, above which the
# replica falls over.
BRITTLE_HEADER = "X-Fleet-Brittle"
# HTTP statuses of success (RFC 9110, section 15.3).
_SUCCESS_STATUSES = range(200, 300)
# Statuses with which replicas reject requests that they have no room for.
_NO_ROOM_STATUSES = frozenset({429, 503})


class PacingRecorder:
    """Records what the answers of replicas ask for.

    Parameters
    ----------
    pacing : PacingTracker
        Keeps what they ask for.

    Attributes
    ----------
    limit_header : str
        Header field of an answer in which a replica advertises its rate limit.
    brittle_header : str
        Header field of an answer in which a replica states that it is brittle.
    on_limit_change : callable
        Called when a rate limit of a replica is new, changes or ends.
    """

    def __init__(self, pacing: PacingTracker) -> None:
        self.limit_header = LIMIT_HEADER
        self.brittle_header = BRITTLE_HEADER
        self.on_limit_change: Callable[[], None] = lambda: None
        self._pacing = pacing
        self._log: Any = get_logger()

    def record(self, response: aiohttp.ClientResponse, sent_at: float | None = None) -> None:
        """Record what an answer says about the requests that its replica wants.

        Parameters
        ----------
        response : aiohttp.ClientResponse
            Answer of the replica.
        sent_at : float, optional
            Monotonic time in seconds at which the request was sent; None for control requests.
        """
        self._record_backoff(response)
        self._record_limit(response, sent_at)
        self._record_brittle(response, sent_at)

    def _record_brittle(self, response: aiohttp.ClientResponse, sent_at: float | None) -> None:
        """Record that a replica states that it is brittle, or no longer, and its rejections.

        The answers to control requests never end the state, and neither do rejections.
        """
        address, brittle = address_of(response.url), self._pacing.brittle
        text = response.headers.get(self.brittle_header)
        if text is not None:
            self._record_brittle_statement(address, text)
        elif sent_at is not None and self._ends_brittle(response, sent_at):
            self._log.info("brittle_ended", address=address)
        if sent_at is None or response.status not in _NO_ROOM_STATUSES:
            return
        now = steady_time()
        if brittle.note_refused(address, sent_at, now):
            held_s = round(brittle.remaining_s(address, now), 3)
            self._log.info("brittle_refused", address=address, held_s=held_s)

    def _ends_brittle(self, response: aiohttp.ClientResponse, sent_at: float) -> bool:
        """Return whether an answer without a statement ends the state of a brittle replica."""
        if response.status not in _SUCCESS_STATUSES:
            return False
        return self._pacing.brittle.record_absence(address_of(response.url), sent_at)

    def _record_brittle_statement(self, address: str, text: str) -> None:
        try:
            per_s = parse_refusals(text)
        except ValueError as error:
            reason = str(error)[:MAX_LOGGED_CHARACTERS]
            self._log.info("brittle_unreadable", address=address, reason=reason)
            return
        if self._pacing.brittle.record(address, per_s, steady_time()):
            self._log.info("brittle_stated", address=address, refusals_per_s=per_s)

    def _record_backoff(self, response: aiohttp.ClientResponse) -> None:
        """Record the backoff that an answer requests, or that it requests none."""
        address = address_of(response.url)
        try:
            wait_s = requested_backoff_s(response.status, response.headers, time.time())
        except ValueError as error:
            reason = str(error)[:MAX_LOGGED_CHARACTERS]
            self._log.info("backoff_unreadable", address=address, reason=reason)
            return
        if wait_s is None:
            self._pacing.note_answer(address, steady_time())
            return
        self._pacing.backoffs.record(address, wait_s, steady_time())
        self._log.info(
            "backoff_requested", address=address, status=response.status, wait_s=round(wait_s, 3)
        )

    def _record_limit(self, response: aiohttp.ClientResponse, sent_at: float | None = None) -> None:
        """Record the rate limit that an answer advertises, or the end of the limit.

        Parameters
        ----------
        response : aiohttp.ClientResponse
            Answer of the replica.
        sent_at : float, optional
            Monotonic time in seconds at which the request was sent. None for control requests:
            their answers never end a limit. Refusals do not end one either.
        """
        address = address_of(response.url)
        text = response.headers.get(self.limit_header)
        if text is None:
            succeeded = response.status in _SUCCESS_STATUSES
            ends = sent_at is not None and succeeded
            if ends and self._pacing.limits.record_absence(address, sent_at or 0.0, steady_time()):
                self._log.info("limit_ended", address=address)
                self.on_limit_change()
            return
        try:
            per_s = parse_limit(text)
        except ValueError as error:
            reason = str(error)[:MAX_LOGGED_CHARACTERS]
            self._log.info("limit_unreadable", address=address, reason=reason)
            return
        if self._pacing.limits.record(address, per_s, steady_time()):
            self._log.info("limit_named", address=address, per_s=per_s)
            self.on_limit_change()
