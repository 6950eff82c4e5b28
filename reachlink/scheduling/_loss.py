"""Expected loss of a start, in prompt tokens of equal work; free of I/O and clocks.

The loss model is made for a mix of long answers, whose callers see each pause, and short
answers with prompts as long, at replicas of different speeds that have short slow phases.
Processing a prompt delays everything that runs beside it. The loss of a start is the work of
all answers that are expected to be late because of it: its own, and those that run there.
"""

from reachlink.scheduling._burden import UNREAD_TOKENS
from reachlink.scheduling._forecast import (
    BAD_MOMENT_S,
    ENGINE_SPEED,
    LEAST_STEADY,
    MOST_STEADY,
    EngineSpeed,
    bad_moment_chance,
    bounded,
    slot_wait_s,
)
from reachlink.scheduling._need import Need
from reachlink.scheduling._option import Option
from reachlink.scheduling._pace import USUAL, Pace
from reachlink.scheduling._terms import Terms

# Work of one output token, in prompt tokens that are processed in the same time.
OUTPUT_WEIGHT = 10
# Loss per remaining output token of a running answer: on average, running answers are halfway
# through, so an answer that is lost is twice its remaining output.
LOST_PER_REMAINING = 2 * OUTPUT_WEIGHT
# Output length above which an answer, or the remaining output of all answers at a replica,
# counts as long, in tokens.
LONG_TOKENS = 100
# Cost of the first long answer at a replica where a prompt beside it causes too long pauses:
# prompts of short answers are not placed there any more. A share of its work.
QUIET_WEIGHT = 0.6
# Prompts per second that are processed beside a running generation.
BESIDE_PER_S = 0.3
# Shares of its limit above which a time may be too long, and from which it surely is.
PAUSE_MARGIN = (0.85, 1.0)
FIRST_EVENT_MARGIN = (0.6, 1.0)
# Losses within this share of the request's work count as equal, so that instances with the
# same reports do not all choose one replica.
NEAR_TIE = 0.15
# Cost of memory at replicas where pauses of long answers stay in time, as a share of the
# memory that is taken there.
ROOM_WEIGHT = 0.2
# Additional cost of a fully loaded replica compared to an idle one, and the cost of another
# zone for a `Terms.far` of the whole memory, as shares of the request's own work.
CROWD_WEIGHT = 0.1
FAR_WEIGHT = 0.2


class Losses:
    """Expected loss of the start of one request at each candidate replica.

    Parameters
    ----------
    need : Need
        Resources and deadlines of the request.
    terms : Terms
        Rules by which memory is given.
    speed : EngineSpeed
        Durations of work at an engine of nominal pace.
    """

    def __init__(self, need: Need, terms: Terms, speed: EngineSpeed = ENGINE_SPEED) -> None:
        self._step_s = speed.step_s + speed.step_slot_s
        self._tokens = need.tokens
        self._prompt_tokens = need.prompt_tokens
        self._output_tokens = need.output_tokens
        self._slot_s = speed.step_slot_s
        self._read_s = speed.read_token_s
        self._piece = speed.piece_tokens
        self._by_piece = 1.0 / speed.piece_tokens
        self._work = need.prompt_tokens + OUTPUT_WEIGHT * need.output_tokens
        self._far = self._work * terms.far * FAR_WEIGHT
        self._crowd = self._work * CROWD_WEIGHT
        self._quiet = self._work * QUIET_WEIGHT
        self._room = need.tokens * ROOM_WEIGHT
        self._first_by_s = max(need.first_by_s, 1e-3)
        self._pause_s = need.longest_pause_s or float("inf")
        self._safe_first_s = self._first_by_s * FIRST_EVENT_MARGIN[0]
        self._safe_pause_s = self._pause_s * PAUSE_MARGIN[0]

    @property
    def near_tie(self) -> float:
        """Difference up to which losses count as equal, in prompt tokens."""
        return NEAR_TIE * self._work

    def at(self, option: Option) -> float:
        """Return the expected loss of a start at a model engine, in prompt tokens."""
        pace = option.pace or USUAL
        steady = pace.steady
        if not LEAST_STEADY <= steady <= MOST_STEADY:
            steady = bounded(steady)
        worst = pace.worst
        # Inlined for speed: each decision evaluates it for some dozen replicas.
        step_s = self._step_s + self._slot_s * option.running
        token_s = self._read_s + step_s * self._by_piece
        first_s = (option.unread_tokens + self._prompt_tokens) * token_s + step_s
        if option.running >= option.slots > 0:
            first_s += slot_wait_s(option, step_s)
        first_s *= steady * pace.moment
        pause_s = option.tokens_per_event * self._piece * token_s * steady
        load = (option.tokens + option.copy_tokens + self._tokens) / option.capacity_tokens
        loss = self._crowd * (load + option.unread_tokens / UNREAD_TOKENS) + self._room
        if not option.near:
            loss += self._far
        late = 0.0
        if first_s * worst > self._safe_first_s:
            late = self._late_chance(pace, first_s)
        if pause_s * worst <= self._safe_pause_s:
            return loss + late * self._work
        run_s = self._output_tokens * step_s * steady
        reading_s = self._prompt_tokens * token_s * steady
        return loss + self._pausing(option, pause_s, reading_s, run_s, late)

    def _late_chance(self, pace: Pace, first_s: float) -> float:
        """Return the chance that the first event is late."""
        if first_s + BAD_MOMENT_S <= self._safe_first_s:
            return 0.0
        late = ramp(first_s / self._first_by_s, FIRST_EVENT_MARGIN)
        # A slow phase that begins meanwhile delays the work only while the phase lasts.
        longer_s = min(first_s * (pace.worst - 1.0), BAD_MOMENT_S)
        later = ramp((first_s + longer_s) / self._first_by_s, FIRST_EVENT_MARGIN)
        return late + bad_moment_chance(pace, first_s) * (later - late)

    def _pausing(
        self, option: Option, pause_s: float, reading_s: float, run_s: float, late: float
    ) -> float:
        """Return the expected loss by late first events and by too long pauses."""
        pace = option.pace or USUAL
        bound_s = self._pause_s
        always = ramp(pause_s / bound_s, PAUSE_MARGIN) if pause_s > self._safe_pause_s else 0.0
        worst = ramp(pause_s * pace.worst / bound_s, PAUSE_MARGIN)
        met = max(always, worst * bad_moment_chance(pace, reading_s))
        own = max(always, worst * pace.bad_share) * run_s * BESIDE_PER_S
        lost = late + (1.0 - late) * min(1.0, own)
        remaining = option.remaining_tokens
        loss = lost * self._work - worst * self._room
        if not reading_s:
            # A migrated generation has no prompt to process, but may run beside one.
            return loss + met * self._work if option.unread_tokens else loss
        loss += met * remaining * LOST_PER_REMAINING
        if remaining < LONG_TOKENS < self._output_tokens:
            loss += worst * self._quiet
        return loss


def ramp(value: float, margin: tuple[float, float]) -> float:
    """Return 0 below a margin, 1 above it, and a linear interpolation inside it."""
    low, high = margin
    if value <= low:
        return 0.0
    return min(1.0, (value - low) / (high - low))
