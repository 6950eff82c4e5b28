"""Times of a planned stop. No I/O."""

from dataclasses import dataclass

# Time in seconds before the end of a planned stop at which all final answers are due: the process
# may be busy, and what it has written must still be sent.
ANSWERS_MARGIN_S = 0.5
# Largest margin as a fraction of a short stop.
ANSWERS_MARGIN_SHARE = 0.25


@dataclass(slots=True, frozen=True)
class PlannedStop:
    """A planned stop of this process.

    Attributes
    ----------
    begun_at : float
        Monotonic time in seconds at which its signal came.
    grace_s : float
        Time in seconds after which the process is ended; 0 if that is not known.
    """

    begun_at: float
    grace_s: float = 0.0

    @property
    def ends_at(self) -> float | None:
        """Monotonic time in seconds at which the process is ended; None if not known."""
        return self.begun_at + self.grace_s if self.grace_s else None

    @property
    def answers_due_at(self) -> float | None:
        """Monotonic time in seconds at which all final answers are due; None if not known."""
        if not self.grace_s:
            return None
        margin_s = min(ANSWERS_MARGIN_S, self.grace_s * ANSWERS_MARGIN_SHARE)
        return self.begun_at + self.grace_s - margin_s

    def ends_after(self, deadline: float) -> bool:
        """Return whether a request is answered in time however long it takes.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds by which its final answer is given.
        """
        due_at = self.answers_due_at
        return due_at is not None and deadline <= due_at
