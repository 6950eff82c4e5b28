"""Expected times and pauses of a request at a replica; free of I/O and clocks."""

from dataclasses import dataclass

from reachlink.scheduling._need import Need
from reachlink.scheduling._pace import NOMINAL_PACE, Pace
from reachlink.scheduling._replica_option import ReplicaOption

# Duration of a slow phase, in which a noisy neighbor takes the processor, in seconds.
SLOW_PHASE_S = 0.5
# Multiple of the steady pace from which `Pace.momentary` indicates a slow phase.
SLOW_FROM = 1.3
# Bounds of the steady pace that is used for decisions, whatever a replica reports.
MIN_STEADY = 0.5
MAX_STEADY = 4.0
# Smoothing of the wait near the point where all slots are taken, relative to the slots:
# requests arrive and end at random, and reports are old.
WAIT_SMOOTHING = 0.15
# Age from which the request counts reported by a plain service are not used for its wait, in
# seconds: the duration of a few calls.
COUNTS_EXPIRY_S = 0.4
# Age of the reports from which only own calls are counted, in seconds; their number is known
# without reports.
OWN_COUNTS_ONLY_S = 1.0


@dataclass(slots=True, frozen=True)
class EngineSpeed:
    """Durations of work at an engine of nominal pace.

    Attributes
    ----------
    step_base_s, step_sequence_s : float
        Time of one decoding step, and additional time per running generation, in seconds.
    prefill_token_s : float
        Time to process one prompt token, in seconds.
    prefill_chunk_tokens : int
        Number of prompt tokens that are processed between two decoding steps.
    """

    step_base_s: float = 0.007
    step_sequence_s: float = 0.000_12
    prefill_token_s: float = 1.0 / 14_000.0
    prefill_chunk_tokens: int = 112


ENGINE_SPEED = EngineSpeed()


@dataclass(slots=True, frozen=True)
class Forecast:
    """Expected times of a request that starts at a replica.

    Attributes
    ----------
    first_event_s : float
        Time to the first event, in seconds.
    pause_s : float
        Pause between two events while a prompt is processed beside them, in seconds.
    worst_pause_s : float
        Pause between two such events in a slow phase of the replica, in seconds.
    """

    first_event_s: float
    pause_s: float = 0.0
    worst_pause_s: float = 0.0


def forecast(option: ReplicaOption, need: Need, speed: EngineSpeed = ENGINE_SPEED) -> Forecast:
    """Return the expected times of a generation that is sent to a model engine now.

    Parameters
    ----------
    option : ReplicaOption
        Replica.
    need : Need
        Resources and deadlines of the request.
    speed : EngineSpeed
        Durations of work at an engine of nominal pace.

    Examples
    --------
    >>> idle = ReplicaOption("r1", same_zone=True, running=0, slots=24, capacity_tokens=26_000)
    >>> round(forecast(idle, Need(tokens=3700, prompt_tokens=3000)).first_event_s, 2)
    0.41
    """
    pace = option.pace or NOMINAL_PACE
    step_s = speed.step_base_s + speed.step_sequence_s * (option.running + 1)
    token_s = speed.prefill_token_s + step_s / speed.prefill_chunk_tokens
    work_s = (option.unread_tokens + need.prompt_tokens) * token_s + step_s
    if option.running >= option.slots > 0:
        work_s += slot_wait_s(option, step_s)
    steady = bounded_steady(pace.steady)
    pause_s = option.tokens_per_event * speed.prefill_chunk_tokens * token_s * steady
    return Forecast(work_s * steady * pace.momentary, pause_s, pause_s * pace.slow_factor)


def bounded_steady(steady: float) -> float:
    """Return a steady pace within bounds, so that a false report attracts few requests.

    Parameters
    ----------
    steady : float
        Estimated steady pace.
    """
    return min(MAX_STEADY, max(MIN_STEADY, steady))


def slot_wait_s(option: ReplicaOption, step_s: float) -> float:
    """Return how long a request waits for a slot at an engine where all are taken.

    Parameters
    ----------
    option : ReplicaOption
        Replica.
    step_s : float
        Time of a decoding step, in seconds.

    Returns
    -------
    float
        Time at the nominal pace, in seconds.
    """
    # Running generations end uniformly over twice their mean remaining time.
    left_s = 2.0 * option.remaining_tokens / option.running * step_s
    return left_s * (option.running + 1 - option.slots) / option.slots


def slow_phase_probability(pace: Pace, interval_s: float) -> float:
    """Return the probability that a replica is in a slow phase at some time in an interval.

    Parameters
    ----------
    pace : Pace
        Estimated pace of the replica.
    interval_s : float
        Length of the interval, which begins now, in seconds.

    Examples
    --------
    >>> pace = Pace(slow_factor=2.5, slow_share=0.15, age_s=0.0)
    >>> round(slow_phase_probability(pace, 0.5), 2), round(slow_phase_probability(Pace(), 0.5), 2)
    (0.18, 0.0)
    """
    share = min(pace.slow_share, 0.9)
    # The older the newest observation, the less it tells about the present phase.
    fresh = max(0.0, 1.0 - pace.age_s / SLOW_PHASE_S)
    present = fresh * (pace.momentary >= SLOW_FROM) + (1.0 - fresh) * share
    starts = interval_s * share / ((1.0 - share) * SLOW_PHASE_S)
    return present + (1.0 - present) * min(1.0, starts)


def plain_call_time(option: ReplicaOption) -> float:
    """Return the expected time of a plain call, as a multiple of its nominal duration.

    Parameters
    ----------
    option : ReplicaOption
        Replica.

    Examples
    --------
    >>> full = ReplicaOption("r1", same_zone=True, running=6, slots=6, pace=Pace(age_s=0.0))
    >>> round(plain_call_time(full), 2)
    1.29
    """
    pace = option.pace or NOMINAL_PACE
    slots = max(1, option.slots)
    known = 1.0 if pace.age_s > OWN_COUNTS_ONLY_S else max(0.0, 1.0 - pace.age_s / COUNTS_EXPIRY_S)
    wait = known * _slot_wait(option.running, slots)
    if known < 1.0 and option.own_running:
        # A replica that has stopped answering must not appear idle.
        wait = max(wait, _slot_wait(option.own_running, slots))
    return (1.0 + wait) * bounded_steady(pace.steady) * pace.momentary


def _slot_wait(running: int, slots: int) -> float:
    """Return the wait for a slot, as a multiple of a call's nominal duration."""
    excess = (running + 1) / slots - 1.0
    return float(0.5 * (excess + (excess * excess + WAIT_SMOOTHING) ** 0.5))
