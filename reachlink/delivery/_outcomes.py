"""Outcome of a failed request as reported to its caller."""

from enum import Enum


class Outcome(Enum):
    """Whether a failed request has run.

    Only a request with outcome ``NOT_RUN`` is safe to repeat: it was not dispatched, or
    the upstream refused it before running it.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
