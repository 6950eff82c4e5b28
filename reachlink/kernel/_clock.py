"""Clocks; they are passed as arguments so that tests can control the time."""

import time
from typing import Protocol

# Monotonic clock that continues while the machine is suspended. With a clock that stops,
# leases would expire late and data would seem fresh by the length of the suspension: a
# leader suspended during the election of its successor would still serve old settings.
_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_time() -> float:
    """Return monotonic time in seconds, including time spent suspended."""
    return time.clock_gettime(_STEADY_CLOCK)


# A daemon imports this package first, so this is close to the start of the process.
_STARTED_AT = steady_time()


class Clock(Protocol):
    """Clock for the code that calls the decision modules, which do no I/O."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds, from an arbitrary origin."""

    def wall(self) -> float:
        """Return seconds since 1970-01-01 UTC, for records read by people."""


class SystemClock:
    """Clocks of the operating system."""

    def monotonic(self) -> float:
        """Return `steady_time`."""
        return steady_time()

    def wall(self) -> float:
        """Return wall-clock time in seconds since 1970-01-01 UTC."""
        return time.time()


def process_started_at() -> float:
    """Return the `steady_time` at, or soon after, the start of this process."""
    return _STARTED_AT
