"""Requests to whichever control instance can answer them."""

import asyncio

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
from reachlink.messaging import Bus, MessagingError, PeerUnreachableError, decode, encode

# A command whose answer is lost is sent again: it takes effect once.
FIRST_ATTEMPT_S = 0.5
ATTEMPT_GROWTH = 1.5
PAUSE_S = 0.1


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

    @property
    def addresses(self) -> list[str]:
        """Control instances; the one that answered last comes first."""
        return list(self._addresses)

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

        Raises
        ------
        ControlUnavailableError
            Nothing was done.
        OutcomeUnknownError
            It may have been done.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        # A membership change is the one request that must not be sent twice.
        patience = timeout_s if isinstance(request, MembersRequest) else FIRST_ATTEMPT_S
        maybe_done = False
        reason = "no control instance is configured"
        while self._addresses and loop.time() < deadline:
            attempt = min(patience, deadline - loop.time())
            patience *= ATTEMPT_GROWTH
            try:
                answer = await self.ask(self._addresses[0], request, attempt)
            except PeerUnreachableError as error:
                reason = f"cannot reach {error}"
            except MessagingError as error:
                maybe_done, reason = True, str(error)
            else:
                if isinstance(answer, LostAnswer):
                    maybe_done, reason = True, answer.reason
                elif isinstance(answer, RefusedAnswer):
                    reason = answer.reason
                else:
                    return answer
            self.rotate()
            await asyncio.sleep(PAUSE_S)
        if maybe_done:
            raise OutcomeUnknownError(reason)
        raise ControlUnavailableError(reason)

    def rotate(self) -> None:
        """Try another control instance first from now on."""
        self._addresses.append(self._addresses.pop(0))
