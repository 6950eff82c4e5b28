"""Times of one answer that tell whether its start may have crashed the replica; does no I/O."""

from reachlink.quarantine._judging import EARLY_CRASH_S


class AnswerTiming:
    """Times at which a request was sent to a replica and at which its answer began.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._sent_at = 0.0
        self._begun_at: float | None = None
        self._progress_noted = False

    @property
    def sent_at(self) -> float:
        """Time at which the request was sent."""
        return self._sent_at

    @property
    def begun_at(self) -> float | None:
        """Time at which the first part of the answer arrived; None before."""
        return self._begun_at

    @property
    def sound_since(self) -> float:
        """Time before which crashes are not due to the request, if its answer is sound."""
        return self._sent_at if self._begun_at is None else self._begun_at

    def start(self, now: float) -> None:
        """Record that the request is sent to a replica."""
        self._sent_at = now
        self._begun_at = None
        self._progress_noted = False

    def note_part(self, now: float) -> bool:
        """Record that a part of the answer arrives.

        Returns
        -------
        bool
            Whether the answer has now been arriving for longer than `EARLY_CRASH_S`; true once.
        """
        if self._begun_at is None:
            self._begun_at = now
        if self._progress_noted or now - self._begun_at <= EARLY_CRASH_S:
            return False
        self._progress_noted = True
        return True
