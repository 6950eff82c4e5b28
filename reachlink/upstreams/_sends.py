"""Where a request was sent: each connection that was taken for it, and what became of that."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

from reachlink.upstreams._statuses import NOT_RUN_STATUSES
from reachlink.upstreams.exceptions import (
    AlreadySentError,
    UnconfirmedRefusalError,
    UpstreamInvalidError,
    UpstreamRefusedError,
)

# Outcome of a send whose answer promises by its status that the request has not run, while the
# replica does not say so.
UNCONFIRMED = "unconfirmed_refusal"


@dataclass(slots=True)
class Send:
    """One send of a request.

    Attributes
    ----------
    address : str
        Address that the connection leads to, as ``host:port``.
    connection : int
        Number of the connection in this process.
    requests_before : int
        Number of earlier requests on the connection; 0 for a new one.
    peer : str
        Name of the peer that relays the connection; empty if it is direct.
    heard_ago_s : float, optional
        Time in seconds since anything was heard from the address; None if nothing was.
    not_run : bool
        Whether the replica has said that it did not run the request.
    """

    address: str
    connection: int
    requests_before: int = 0
    peer: str = ""
    heard_ago_s: float | None = None
    not_run: bool = False


@dataclass(slots=True)
class SendRecord:
    """All sends of a request, in order.

    Attributes
    ----------
    once : bool
        Whether the request may be sent again only if no replica has run it.
    sends : list of Send
        The sends; attempts without a connection are none.
    """

    once: bool = False
    sends: list[Send] = field(default_factory=list)

    @property
    def count(self) -> int:
        """Number of sends."""
        return len(self.sends)

    def check(self) -> None:
        """Make sure that the request may be sent now.

        Raises
        ------
        AlreadySentError
            If it may run once and may have run.
        """
        if self.once and not all(send.not_run for send in self.sends):
            raise AlreadySentError("the request was sent before and may have run")

    def has_used(self, connection: int) -> bool:
        """Return whether the request was sent on a connection before."""
        return any(send.connection == connection for send in self.sends)

    def add(self, send: Send) -> None:
        """Record that the request is sent now."""
        self.sends.append(send)


_CURRENT: ContextVar[SendRecord | None] = ContextVar("current_send_record", default=None)


def current_record() -> SendRecord | None:
    """Return the record of the request that a connection is taken for now; None without one."""
    return _CURRENT.get()


@contextmanager
def recording(record: SendRecord | None) -> Iterator[None]:
    """Record the sends of a request within the context."""
    token = _CURRENT.set(record)
    try:
        yield
    finally:
        _CURRENT.reset(token)


class LoggedSend:
    """Context in which a request is sent; logs the send once its answer begins or fails.

    An attempt that gets no connection is no send. Only the first send of a request that
    may be repeated is not logged.

    Parameters
    ----------
    log : object
        Logger of the process.
    request_id : str
        Identifier of the request.
    replica : str
        Name of the replica that it is sent to.
    record : SendRecord
        Sends of the request.
    may_repeat : bool
        Whether the request may run more than once.
    """

    def __init__(
        self, log: Any, request_id: str, replica: str, record: SendRecord, may_repeat: bool
    ) -> None:
        self._log = log
        self._request_id = request_id
        self._replica = replica
        self._record = record
        self._may_repeat = may_repeat
        self._count_before = record.count
        self._status = 0
        self._not_run = False

    def note_answer(self, status: int, not_run: bool = False) -> None:
        """Note the status of the answer, and whether it says that the request has not run."""
        self._status = status
        self._not_run = not_run

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if isinstance(error, AlreadySentError):
            self._log.error(
                "request_not_sent_again",
                request_id=self._request_id,
                replica=self._replica,
                sent=self._record.count,
            )
        if self._record.count == self._count_before:
            return
        if isinstance(error, UpstreamRefusedError):
            self.note_answer(error.status, not_run=True)
        if isinstance(error, UnconfirmedRefusalError | UpstreamInvalidError):
            self.note_answer(error.status)
        send = self._record.sends[-1]
        send.not_run = self._not_run
        if self._record.count > 1 or not self._may_repeat:
            self._log_send(send, self._outcome(error))

    def _log_send(self, send: Send, outcome: str) -> None:
        self._log.info(
            "request_sent",
            request_id=self._request_id,
            replica=self._replica,
            address=send.address,
            number=self._record.count,
            connection=send.connection,
            requests_before=send.requests_before,
            peer=send.peer,
            heard_ago_s=_rounded(send.heard_ago_s),
            outcome=outcome,
            status=self._status,
        )

    def _outcome(self, error: BaseException | None) -> str:
        if self._not_run:
            return "not_run"
        if self._status in NOT_RUN_STATUSES:
            return UNCONFIRMED
        if error is None or isinstance(error, UpstreamInvalidError):
            return "answered"
        return "cancelled" if isinstance(error, asyncio.CancelledError) else "broken"


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
