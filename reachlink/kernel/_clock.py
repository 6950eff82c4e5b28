"""Clocks, passed in wherever time matters so that tests control it."""

import time
from typing import Protocol

# Read when this package is imported, which is the first thing that a daemon does.
_STARTED_AT = time.monotonic()


class Clock(Protocol):
    """Source of time for the shells around the pure decision modules."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary origin that never go back."""

    def wall(self) -> float:
        """Return seconds since 1970-01-01 UTC, for records people read."""


class SystemClock:
    """The operating system's clocks."""

    def monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall clock in seconds since 1970-01-01 UTC."""
        return time.time()


def process_started_at() -> float:
    """Return when this process started, in monotonic seconds, or soon after."""
    return _STARTED_AT
