"""Estimated pace of a replica."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Pace:
    """Duration of work at a replica, as a multiple of its duration at a nominal replica.

    A machine of another kind is slower or faster for its whole lifetime, while a noisy neighbor
    on the same machine takes the processor for less than a second. These are estimated
    separately, as the steady pace and as slow phases.

    Attributes
    ----------
    steady : float
        Steady pace; 0.5 for a replica that takes half of the nominal time.
    momentary : float
        Factor on `steady` shown by the newest observation; decays to 1 with its age.
    slow_factor : float
        Factor on `steady` that slow phases reach on average.
    slow_share : float
        Share of the time, from 0 to 1, that slow phases take.
    age_s : float
        Age of the newest observation, in seconds; infinite if there is none.
    """

    steady: float = 1.0
    momentary: float = 1.0
    slow_factor: float = 1.0
    slow_share: float = 0.0
    age_s: float = float("inf")


NOMINAL_PACE = Pace()
"""Pace of a replica without any observation."""
