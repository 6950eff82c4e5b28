"""Run times of requests at a nominal engine, and their latest start; free of I/O and clocks."""

from reachlink.scheduling._forecast import ENGINE_SPEED, EngineSpeed
from reachlink.scheduling._need import Need

# Assumed number of generations that run beside a request.
BESIDE = 8
# Maximum share of a caller's remaining time that is assumed for running: the expected output
# length is often only the allowed maximum.
MOST_OF_TIME = 0.5


def reading_s(need: Need, speed: EngineSpeed = ENGINE_SPEED) -> float:
    """Return the time that a nominal engine needs for a request's prompt, in seconds."""
    pieces = -(-need.prompt_tokens // speed.piece_tokens)
    step_s = speed.step_s + speed.step_slot_s * BESIDE
    return need.prompt_tokens * speed.read_token_s + (pieces + 1) * step_s


def running_s(need: Need, speed: EngineSpeed = ENGINE_SPEED) -> float:
    """Return the time that a nominal engine needs for a request, in seconds."""
    step_s = speed.step_s + speed.step_slot_s * BESIDE
    return reading_s(need, speed) + need.output_tokens * step_s


def latest_start_s(need: Need, speed: EngineSpeed = ENGINE_SPEED) -> float:
    """Return the latest start at which a request ends before its caller leaves, in seconds."""
    left_s = max(0.0, need.give_up_in_s)
    return left_s - min(running_s(need, speed), MOST_OF_TIME * left_s)
