"""Run times of requests at a nominal engine, and their latest start; free of I/O and clocks."""

from reachlink.scheduling._forecast import ENGINE_SPEED, EngineSpeed
from reachlink.scheduling._need import Need

# Assumed number of generations that run beside a request.
CONCURRENT_GENERATIONS = 8
# Maximum share of a caller's remaining time that is assumed for running: the expected output
# length is often only the allowed maximum.
MAX_RUN_SHARE = 0.5


def prefill_s(need: Need, speed: EngineSpeed = ENGINE_SPEED) -> float:
    """Return the time that a nominal engine needs for a request's prompt, in seconds."""
    chunks = -(-need.prompt_tokens // speed.prefill_chunk_tokens)
    step_s = speed.step_base_s + speed.step_sequence_s * CONCURRENT_GENERATIONS
    return need.prompt_tokens * speed.prefill_token_s + (chunks + 1) * step_s


def run_s(need: Need, speed: EngineSpeed = ENGINE_SPEED) -> float:
    """Return the time that a nominal engine needs for a request, in seconds."""
    step_s = speed.step_base_s + speed.step_sequence_s * CONCURRENT_GENERATIONS
    return prefill_s(need, speed) + need.output_tokens * step_s


def latest_start_s(need: Need, speed: EngineSpeed = ENGINE_SPEED) -> float:
    """Return the latest start at which a request ends before its caller leaves, in seconds."""
    left_s = max(0.0, need.give_up_in_s)
    return left_s - min(run_s(need, speed), MAX_RUN_SHARE * left_s)
