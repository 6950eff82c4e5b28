"""Requests to whichever control instance can answer them."""

import asyncio
from dataclasses import dataclass

from reachlink.control._commands import Command, Result
from reachlink.control._protocol import (
    CHANNEL_CONTROL,
    Answer,
    LostAnswer,
    MembersRequest,
    ProposeAnswer,
    ProposeRequest,
    RefusedAnswer,
    Request,
)
from reachlink.control.exceptions import ControlUnavailableError, OutcomeUnknownError
from reachlink.messaging import (
    Bus,
    CallTimeoutError,
    MessagingError,
    PeerUnreachableError,
    decode,
    encode,
)

# A command whose answer is lost is sent again: it takes effect once.
FIRST_ATTEMPT_S = 0.5
ATTEMPT_GROWTH = 1.5
PAUSE_S = 0.1
# How long a control instance that did not answer is passed over.
AVOID_S = 3.0


@dataclass(slots=True, frozen=True)
class _Attempt:
    """What came of asking one control instance once."""

    answer: Answer | None = None
    maybe_done: bool = False
    reason: str = ""
    silent: bool = False


class ControlClient:
    """Knows the control instances and tries them in turn.

    Parameters
    ----------
    bus : Bus
        The process's bus.
    addresses : list of str
        Control instances, the nearest first.
    """

    def __init__(self, bus: Bus, addresses: list[str]) -> None:
        self._bus = bus
        self._addresses = list(addresses)
        self._avoided: dict[str, float] = {}
        self._closed = False

    @property
    def addresses(self) -> list[str]:
        """Control instances; the one that answered last comes first."""
        return list(self._addresses)

    def learn(self, addresses: list[str]) -> None:
        """Take the control instances that exist now; those asked first stay first."""
        known = [a for a in self._addresses if a in addresses]
        self._addresses = known + [a for a in addresses if a not in known]

    def close(self) -> None:
        """Repeat nothing more: requests under way end after their present attempt."""
        self._closed = True

    async def ask(self, address: str, request: Request, timeout_s: float) -> Answer:
        """Ask one control instance once.

        Raises
        ------
        PeerUnreachableError
            Nothing was sent.
        MessagingError
            No answer came.
        """
        raw = await self._bus.call(address, CHANNEL_CONTROL, encode(request), timeout_s)
        return decode(raw, Answer)  # type: ignore[arg-type]

    async def propose(self, command: Command, timeout_s: float) -> Result:
        """Have a command committed; safe to repeat, so it is repeated until answered.

        Every command names itself (edit id, request id), so that a repeated
        one takes effect once.

        Raises
        ------
        ControlUnavailableError
            Nothing was done: no control instance took it.
        OutcomeUnknownError
            It may have been done.
        """
        answer = await self.request(ProposeRequest(command), timeout_s)
        if not isinstance(answer, ProposeAnswer):
            raise OutcomeUnknownError(f"unexpected answer {type(answer).__name__}")
        return answer.result

    async def request(self, request: Request, timeout_s: float) -> Answer:
        """Repeat a request at one control instance after the other until one answers.

        A membership change is the one request that must not be sent twice: it
        is not repeated once it may have been done.

        Raises
        ------
        ControlUnavailableError
            Nothing was done.
        OutcomeUnknownError
            It may have been done.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        once = isinstance(request, MembersRequest)
        patience = timeout_s if once else FIRST_ATTEMPT_S
        failed = _Attempt(reason="no control instance is configured or this instance stops")
        while self._addresses and not self._closed and loop.time() < deadline:
            address = self._next_address(loop.time())
            attempt = await self._attempt(address, request, min(patience, deadline - loop.time()))
            if attempt.answer is not None:
                return attempt.answer
            failed = _Attempt(None, failed.maybe_done or attempt.maybe_done, attempt.reason)
            if attempt.silent:
                self._avoided[address] = loop.time() + AVOID_S
                patience *= ATTEMPT_GROWTH
            if once and failed.maybe_done:
                break
            self.rotate()
            await asyncio.sleep(PAUSE_S)
        if failed.maybe_done:
            raise OutcomeUnknownError(failed.reason)
        raise ControlUnavailableError(failed.reason)

    def reorder(self, addresses: list[str]) -> None:
        """Ask the control instances in this order from now on."""
        self._addresses = list(addresses)

    def rotate(self) -> None:
        """Try another control instance first from now on."""
        self._addresses.append(self._addresses.pop(0))

    def _next_address(self, now: float) -> str:
        """Return the first address that was not silent a moment ago, and put it first."""
        for address in self._addresses:
            if self._avoided.get(address, 0.0) <= now:
                self._addresses.remove(address)
                self._addresses.insert(0, address)
                return address
        return self._addresses[0]

    async def _attempt(self, address: str, request: Request, timeout_s: float) -> _Attempt:
        try:
            answer = await self.ask(address, request, timeout_s)
        except PeerUnreachableError as error:
            return _Attempt(reason=f"cannot reach {error}", silent=True)
        except CallTimeoutError as error:
            return _Attempt(maybe_done=True, reason=str(error), silent=True)
        except MessagingError as error:
            return _Attempt(maybe_done=True, reason=str(error))
        if isinstance(answer, LostAnswer):
            return _Attempt(maybe_done=True, reason=answer.reason)
        if isinstance(answer, RefusedAnswer):
            return _Attempt(reason=answer.reason)
        return _Attempt(answer)
