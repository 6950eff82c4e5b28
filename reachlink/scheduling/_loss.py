"""Expected loss of a start, in prompt tokens of equal work; free of I/O and clocks.

The loss model is made for a mix of long answers, whose callers see each pause, and short
answers with prompts as long, at replicas of different speeds that have short slow phases.
Processing a prompt delays everything that runs beside it. The loss of a start is the work of
all answers that are expected to be late because of it: its own, and those that run there.
"""

from reachlink.scheduling._forecast import (
    ENGINE_SPEED,
    MAX_STEADY,
    MIN_STEADY,
    SLOW_PHASE_S,
    EngineSpeed,
    bounded_steady,
    slot_wait_s,
    slow_phase_probability,
)
from reachlink.scheduling._load import UNREAD_TOKENS_PER_LOAD
from reachlink.scheduling._need import Need
from reachlink.scheduling._pace import NOMINAL_PACE, Pace
from reachlink.scheduling._placement_rules import PlacementRules
from reachlink.scheduling._replica_option import ReplicaOption

# Work of one output token, in prompt tokens that are processed in the same time.
OUTPUT_WEIGHT = 10
# Loss per remaining output token of a running answer: on average, running answers are halfway
# through, so an answer that is lost is twice its remaining output.
LOSS_PER_REMAINING_TOKEN = 2 * OUTPUT_WEIGHT
# Output length above which an answer, or the remaining output of all answers at a replica,
# counts as long, in tokens.
LONG_TOKENS = 100
# Cost of the first long answer at a replica where a prompt beside it causes too long pauses:
# prompts of short answers are not placed there any more. A share of its work.
FIRST_LONG_WEIGHT = 0.6
# Prompts per second that are processed beside a running generation.
PROMPTS_PER_S = 0.3
# Shares of its limit above which a time may be too long, and from which it surely is.
PAUSE_MARGIN = (0.85, 1.0)
FIRST_EVENT_MARGIN = (0.6, 1.0)
# Losses within this share of the request's work count as equal, so that instances with the
# same reports do not all choose one replica.
TIE_SHARE = 0.15
# Cost of memory at replicas where pauses of long answers stay in time, as a share of the
# memory that is taken there.
MEMORY_WEIGHT = 0.2
# Additional cost of a fully loaded replica compared to an idle one, and cost of another zone
# for a `PlacementRules.other_zone_margin` of the whole memory, as shares of the request's work.
LOAD_WEIGHT = 0.1
OTHER_ZONE_WEIGHT = 0.2


class ExpectedLosses:
    """Expected loss of the start of one request at each candidate replica.

    Parameters
    ----------
    need : Need
        Resources and deadlines of the request.
    rules : PlacementRules
        Rules by which memory is given.
    speed : EngineSpeed
        Durations of work at an engine of nominal pace.
    """

    def __init__(
        self, need: Need, rules: PlacementRules, speed: EngineSpeed = ENGINE_SPEED
    ) -> None:
        self._step_base_s = speed.step_base_s + speed.step_sequence_s
        self._tokens = need.tokens
        self._prompt_tokens = need.prompt_tokens
        self._output_tokens = need.output_tokens
        self._step_sequence_s = speed.step_sequence_s
        self._prefill_token_s = speed.prefill_token_s
        self._chunk_tokens = speed.prefill_chunk_tokens
        self._inverse_chunk_tokens = 1.0 / speed.prefill_chunk_tokens
        self._work = need.prompt_tokens + OUTPUT_WEIGHT * need.output_tokens
        self._other_zone_loss = self._work * rules.other_zone_margin * OTHER_ZONE_WEIGHT
        self._full_load_loss = self._work * LOAD_WEIGHT
        self._first_long_loss = self._work * FIRST_LONG_WEIGHT
        self._memory_loss = need.tokens * MEMORY_WEIGHT
        self._first_event_due_in_s = max(need.first_event_due_in_s, 1e-3)
        self._max_pause_s = need.max_pause_s or float("inf")
        self._safe_first_event_s = self._first_event_due_in_s * FIRST_EVENT_MARGIN[0]
        self._safe_pause_s = self._max_pause_s * PAUSE_MARGIN[0]

    @property
    def tie_margin(self) -> float:
        """Difference up to which losses count as equal, in prompt tokens."""
        return TIE_SHARE * self._work

    def expected_at(self, option: ReplicaOption) -> float:
        """Return the expected loss of a start at a model engine, in prompt tokens."""
        pace = option.pace or NOMINAL_PACE
        steady = pace.steady
        if not MIN_STEADY <= steady <= MAX_STEADY:
            steady = bounded_steady(steady)
        slow_factor = pace.slow_factor
        # Inlined for speed: each decision evaluates it for some dozen replicas.
        step_s = self._step_base_s + self._step_sequence_s * option.running
        token_s = self._prefill_token_s + step_s * self._inverse_chunk_tokens
        first_s = (option.unread_tokens + self._prompt_tokens) * token_s + step_s
        if option.running >= option.slots > 0:
            first_s += slot_wait_s(option, step_s)
        first_s *= steady * pace.momentary
        pause_s = option.tokens_per_event * self._chunk_tokens * token_s * steady
        load = (option.tokens + option.copy_tokens + self._tokens) / option.capacity_tokens
        loss = (
            self._full_load_loss * (load + option.unread_tokens / UNREAD_TOKENS_PER_LOAD)
            + self._memory_loss
        )
        if not option.same_zone:
            loss += self._other_zone_loss
        late = 0.0
        if first_s * slow_factor > self._safe_first_event_s:
            late = self._late_probability(pace, first_s)
        if pause_s * slow_factor <= self._safe_pause_s:
            return loss + late * self._work
        run_s = self._output_tokens * step_s * steady
        prefill_s = self._prompt_tokens * token_s * steady
        return loss + self._loss_with_pauses(option, pause_s, prefill_s, run_s, late)

    def _late_probability(self, pace: Pace, first_s: float) -> float:
        """Return the probability that the first event is late."""
        if first_s + SLOW_PHASE_S <= self._safe_first_event_s:
            return 0.0
        late = ramp(first_s / self._first_event_due_in_s, FIRST_EVENT_MARGIN)
        # A slow phase that begins meanwhile delays the work only while the phase lasts.
        longer_s = min(first_s * (pace.slow_factor - 1.0), SLOW_PHASE_S)
        later = ramp((first_s + longer_s) / self._first_event_due_in_s, FIRST_EVENT_MARGIN)
        return late + slow_phase_probability(pace, first_s) * (later - late)

    def _loss_with_pauses(
        self, option: ReplicaOption, pause_s: float, prefill_s: float, run_s: float, late: float
    ) -> float:
        """Return the expected loss by late first events and by too long pauses.

        Pauses are too long in any case, or only in slow phases of the replica. They are caused
        by the prompt of the request, for what runs there, and by later prompts, for its own
        output.
        """
        pace = option.pace or NOMINAL_PACE
        limit_s = self._max_pause_s
        steady_chance = (
            ramp(pause_s / limit_s, PAUSE_MARGIN) if pause_s > self._safe_pause_s else 0.0
        )
        slow_chance = ramp(pause_s * pace.slow_factor / limit_s, PAUSE_MARGIN)
        prefill_chance = max(steady_chance, slow_chance * slow_phase_probability(pace, prefill_s))
        own_pauses = max(steady_chance, slow_chance * pace.slow_share) * run_s * PROMPTS_PER_S
        late_chance = late + (1.0 - late) * min(1.0, own_pauses)
        remaining = option.remaining_tokens
        loss = late_chance * self._work - slow_chance * self._memory_loss
        if not prefill_s:
            # A resumed generation has no prompt to process, but may run beside one.
            return loss + prefill_chance * self._work if option.unread_tokens else loss
        loss += prefill_chance * remaining * LOSS_PER_REMAINING_TOKEN
        if remaining < LONG_TOKENS < self._output_tokens:
            loss += slow_chance * self._first_long_loss
        return loss


def ramp(value: float, margin: tuple[float, float]) -> float:
    """Return 0 below a margin, 1 above it, and a linear interpolation inside it."""
    low, high = margin
    if value <= low:
        return 0.0
    return min(1.0, (value - low) / (high - low))
