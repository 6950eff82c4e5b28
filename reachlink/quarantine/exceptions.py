"""Errors of the quarantine layer."""

from reachlink.kernel import ReachlinkError

__all__ = ["HELD", "HeldRequestError", "QuarantineError"]

# Reason code of a held request in answers to callers, logs and metrics.
HELD = "held_after_crashes"


class QuarantineError(ReachlinkError):
    """Base class of the errors of this layer."""


class HeldRequestError(QuarantineError):
    """A request is not sent to a replica because it, or a part of its prompt, crashes replicas.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the verdict.
    crashes : int
        Number of crashes that the verdict explains.
    whole : bool
        Whether the replicas crashed under the same request, rather than under others that
        share a part of its prompt.
    ends_in_s : float
        Time in seconds until the request may be sent again.
    """

    def __init__(self, fingerprint: int, crashes: int, whole: bool, ends_in_s: float) -> None:
        shared = "the same request" if whole else "requests that share a part of its prompt"
        super().__init__(f"not sent: {crashes} replicas have crashed while they ran {shared}")
        self.fingerprint = fingerprint
        self.crashes = crashes
        self.whole = whole
        self.ends_in_s = ends_in_s

    def describe(self, may_have_run: bool) -> str:
        """Return the message for the caller, who has to know whether the request may have run."""
        outcome = "earlier tries of it may have run" if may_have_run else "it has not run"
        return f"{self}; {outcome}"
