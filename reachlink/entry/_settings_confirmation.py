"""When the settings in force at an instance were last confirmed to be the newest."""

import asyncio
import contextlib

from reachlink.control import WatchRequest
from reachlink.membership import SettingsAnswer

# After this time without a confirmation, control instances that answer are not expected to have a
# leader soon, in seconds: an election takes about one.
LONG_UNCONFIRMED_S = 3.0


class SettingsConfirmation:
    """Keeps the time up to which no settings newer than those in force were accepted."""

    def __init__(self) -> None:
        # Nothing is confirmed before the first answer.
        self._confirmed_at = float("-inf")
        self._confirmed = asyncio.Event()
        # Whether nothing is to be expected of the question that is under way.
        self._in_vain = False

    @property
    def age_s(self) -> float:
        """Time since the settings in force were the newest for certain; infinite before that."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    def note(self, request: WatchRequest, answer: SettingsAnswer, asked_at: float) -> None:
        """Take an answer, once what it brings is in force.

        Parameters
        ----------
        request : WatchRequest
            What was asked.
        answer : SettingsAnswer
            Answer of a control instance.
        asked_at : float
            When it was asked, in seconds of the loop's time. The answer may have waited here
            unread, so the time at which it is read says nothing.
        """
        if answer.stale or answer.revision < request.revision:
            self._in_vain = self._in_vain or self.age_s > LONG_UNCONFIRMED_S
            return
        # A question for news that brings none was held back for all of its time.
        held_s = request.wait_s if answer.revision == request.revision else 0.0
        self._confirmed_at = max(self._confirmed_at, asked_at + held_s)
        self._in_vain = False
        confirmed, self._confirmed = self._confirmed, asyncio.Event()
        confirmed.set()

    def note_unanswered(self) -> None:
        """A question to all control instances came to nothing."""
        self._in_vain = True

    async def wait(self, max_age_s: float, patience_s: float) -> bool:
        """Return whether the settings in force are confirmed, waiting for it if need be.

        Nothing is asked for here: an instance whose settings are older than that is asking
        already. Where the last question came to nothing, or answers have confirmed nothing for
        long, nothing is waited for.

        Parameters
        ----------
        max_age_s : float
            How old the confirmation may be, in seconds.
        patience_s : float
            Longest wait, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience_s):
                while self.age_s > max_age_s and not self._in_vain:
                    await self._confirmed.wait()
        return self.age_s <= max_age_s
