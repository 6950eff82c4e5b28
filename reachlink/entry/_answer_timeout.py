"""How long an instance waits for answers about settings, and what it logs of them."""

import asyncio
from typing import Any

# How much longer than asked for an answer may take before another is asked, in seconds:
# a piece of 16 KiB takes a twentieth of it at 5 Mbit/s.
MARGIN_S = 0.5
# The same at most, after questions that came to nothing, in seconds: a link on which a
# piece takes longer than the margin would else never carry one. 16 KiB in 4 s are 33
# kbit/s.
MARGIN_MAX_S = 4.0
# The same at most before there is a first piece, in seconds: nothing tells a slow link
# from a control instance that is silent, which is asked for that long in vain. 16 KiB
# in 1 s are 131 kbit/s.
FIRST_MARGIN_MAX_S = 1.0
# By how much the margin grows with each question that came to nothing: as that for
# commands does.
MARGIN_GROWTH = 1.5
# The margin for a piece in times of what the piece before it took: room for a link that
# gets busier meanwhile.
PIECE_MARGIN = 3.0


class AnswerTimeout:
    """Learns from answers and from questions that came to nothing.

    Parameters
    ----------
    log : logger
        Gets a line at both ends of a row of questions that came to nothing.
    """

    def __init__(self, log: Any) -> None:
        self._log = log
        self._margin_s = MARGIN_S
        self._failed = 0
        self._failed_since = 0.0
        self._answered_at = _now()

    @property
    def unanswered_s(self) -> float:
        """Time since an answer came, in seconds; since the start before the first."""
        return _now() - self._answered_at

    @property
    def margin_s(self) -> float:
        """How much longer than asked for the next answer may take, in seconds."""
        return self._margin_s

    def note_failed(self, asked: str, reason: str, revision: int, fetching: bool) -> None:
        """Note a question that came to nothing.

        Parameters
        ----------
        asked : str
            Address of the control instance.
        reason : str
            Why there is no answer.
        revision : int
            Revision held.
        fetching : bool
            Whether it asked for the next piece of a content.
        """
        most = MARGIN_MAX_S if fetching else FIRST_MARGIN_MAX_S
        self._margin_s = min(self._margin_s * MARGIN_GROWTH, most)
        if not self._failed:
            self._failed_since = _now()
            self._log.info("settings_unanswered", control=asked, revision=revision, reason=reason)
        self._failed += 1

    def note_answered(self, asked: str, took_s: float) -> None:
        """Note an answer, and how long it took beyond the time asked for, in seconds."""
        self._margin_s = min(max(MARGIN_S, PIECE_MARGIN * took_s), MARGIN_MAX_S)
        self._answered_at = _now()
        if not self._failed:
            return
        silent_s = round(_now() - self._failed_since, 3)
        self._log.info(
            "settings_answered", control=asked, questions=self._failed, silent_s=silent_s
        )
        self._failed = 0


def _now() -> float:
    return asyncio.get_running_loop().time()
