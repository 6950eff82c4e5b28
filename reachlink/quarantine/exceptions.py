"""Errors of the quarantine layer."""

from reachlink.kernel import ReachlinkError

__all__ = ["HELD", "HeldRequestError", "QuarantineError"]

# Reason code of a held request in answers to callers, logs and metrics.
HELD = "held_after_crashes"


class QuarantineError(ReachlinkError):
    """Base class of the errors of this layer."""


class HeldRequestError(QuarantineError):
    """A request is not sent to a replica because it crashes replicas.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the request.
    crashes : int
        Number of crashes that the request explains.
    """

    def __init__(self, fingerprint: int, crashes: int) -> None:
        super().__init__(
            f"not sent: {crashes} replicas have crashed while they ran the same request; "
            "earlier tries of it may have run"
        )
        self.fingerprint = fingerprint
        self.crashes = crashes
