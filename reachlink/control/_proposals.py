"""Having one command accepted through an instance of the log, whoever leads."""

import asyncio

from reachlink.control._commands import Command, Result
from reachlink.control._protocol import LostAnswer, ProposeAnswer, ProposeRequest, RefusedAnswer
from reachlink.control._server import ControlServer
from reachlink.control.exceptions import ControlUnavailableError, OutcomeUnknownError
from reachlink.kernel import steady_time

# How long one call tries, in seconds: operators' clients turn to another
# instance after one second without an answer.
PROPOSE_TIMEOUT_S = 0.85
# Pause before an attempt that was refused is repeated, in seconds.
PAUSE_S = 0.08


async def propose_through(server: ControlServer, command: Command) -> Result:
    """Have a command accepted; one that is safe to repeat.

    Raises
    ------
    ControlUnavailableError
        Nothing was done: there is no leader in reach.
    OutcomeUnknownError
        It may have been done.
    """
    deadline = steady_time() + PROPOSE_TIMEOUT_S
    maybe_done = False
    reason = "no leader in reach"
    while (left := deadline - steady_time()) > 0:
        try:
            async with asyncio.timeout(left):
                answer = await server.answer(ProposeRequest(command))
        except TimeoutError:
            maybe_done = True
            break
        if isinstance(answer, ProposeAnswer):
            return answer.result
        maybe_done = maybe_done or isinstance(answer, LostAnswer)
        if isinstance(answer, LostAnswer | RefusedAnswer):
            reason = answer.reason
        await asyncio.sleep(PAUSE_S)
    if maybe_done:
        raise OutcomeUnknownError(reason)
    raise ControlUnavailableError(reason)
