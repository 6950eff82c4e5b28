"""How long a forced stop waits."""

from reachlink.entry._planned_stop import PlannedStop

# How long a forced stop waits for the requests that still run, in seconds.
FORCED_PATIENCE_S = 60.0
# Time before the end of the process at which it names what is cut, in seconds. Until then answers
# that have begun go on, and requests whose bodies still come in are refused.
NAMING_S = 0.1


def forced_patience_s(stop: PlannedStop | None, now: float) -> float:
    """Return how long a forced stop waits for the requests that still run, in seconds.

    Parameters
    ----------
    stop : PlannedStop, optional
        The planned stop that it ends; None if there was none.
    now : float
        Monotonic time in seconds.
    """
    ends_at = stop.ends_at if stop is not None else None
    if ends_at is None:
        return FORCED_PATIENCE_S
    return max(0.0, min(FORCED_PATIENCE_S, ends_at - NAMING_S - now))
