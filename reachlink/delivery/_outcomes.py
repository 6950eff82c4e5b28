"""What a caller is told of whether its request ran."""

from enum import Enum


class Outcome(Enum):
    """Whether a request that failed has run.

    Only ``NOT_RUN`` may be repeated without care: nothing was dispatched, or
    the upstream refused before running.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
