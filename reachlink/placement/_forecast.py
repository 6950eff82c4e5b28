"""The policy in use: admission by forecast peak memory, choice by forecast cost."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from reachlink.placement._policies import (
    POLICIES,
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    Verdict,
)


@dataclass(slots=True, frozen=True)
class ForecastParameters:
    """Constants of the policy.

    Attributes
    ----------
    deviations : float
        Standard deviations added to the forecast mean.
    fill : float
        Share of a replica's memory that forecasts may fill.
    prefill_token_ms : float
        Cost in milliseconds of a prompt token that is not in the prefix cache.
    scaling_share : float
        Share of a decoding step's duration that grows with the batch size.
    report_trust_s : float
        Age in seconds from which a load report is ignored.
    near_ms : float
        Candidates whose cost exceeds the lowest by at most this many milliseconds are chosen
        at random, so that instances that decide at the same time do not all choose the same.
    """

    deviations: float = 1.0
    fill: float = 0.86
    prefill_token_ms: float = 0.02
    scaling_share: float = 0.6
    report_trust_s: float = 5.0
    near_ms: float = 5.0


@dataclass(slots=True, frozen=True)
class _Score:
    """Forecast peak as a share of memory, and cost in milliseconds, at one candidate."""

    candidate: Candidate
    peak_share: float
    cost_ms: float


class ForecastPolicy(PlacementPolicy):
    """Places a request where its forecast peak fits and its answer ends soonest, or lets it wait.

    Parameters
    ----------
    parameters : ForecastParameters, optional
        Constants.
    """

    def __init__(self, parameters: ForecastParameters | None = None) -> None:
        self._parameters = parameters or ForecastParameters()

    def choose(
        self, request: PlacementRequest, candidates: Sequence[Candidate], random: Random
    ) -> Decision:
        """Return the replica with the lowest cost that has room, or `Verdict.WAIT`."""
        allowed = [c for c in candidates if c.local or request.spill]
        if not allowed:
            return Decision(Verdict.NONE_ALIVE, reason="no live replica")
        scores = [self._score(request, c) for c in allowed]
        summary = tuple((s.candidate.name, s.peak_share, s.cost_ms) for s in scores)
        with_room = [s for s in scores if self._has_room(s)]
        if not with_room:
            return Decision(Verdict.WAIT, reason="no replica has room", scores=summary)
        best = min(s.cost_ms for s in with_room)
        near = [s for s in with_room if s.cost_ms <= best + self._parameters.near_ms]
        chosen = random.choice(near)
        return Decision(Verdict.PLACE, chosen.candidate.name, "lowest cost with room", summary)

    def _score(self, request: PlacementRequest, candidate: Candidate) -> _Score:
        return _Score(
            candidate, self._peak_share(request, candidate), self._cost_ms(request, candidate)
        )

    def _peak_share(self, request: PlacementRequest, candidate: Candidate) -> float:
        if not candidate.capacity_tokens:
            return 0.0
        peak = candidate.forecast.peak_with(request.profile, self._parameters.deviations)
        return (peak + self._unexplained_tokens(candidate)) / candidate.capacity_tokens

    def _unexplained_tokens(self, candidate: Candidate) -> float:
        """Return reported memory that no known generation explains, discounted by report age."""
        trust = max(0.0, 1.0 - candidate.report_age_s / self._parameters.report_trust_s)
        return trust * max(0.0, candidate.reported_used_tokens - candidate.forecast.mean[0])

    def _has_room(self, score: _Score) -> bool:
        candidate = score.candidate
        if candidate.running < 1:
            # An idle replica accepts any single request, since waiting would not add any room.
            return True
        if candidate.max_batch and candidate.running >= candidate.max_batch * candidate.allowance:
            return False
        return score.peak_share <= self._parameters.fill * candidate.allowance

    def _cost_ms(self, request: PlacementRequest, candidate: Candidate) -> float:
        p = self._parameters
        uncached = max(0, request.prompt_tokens - candidate.cached_tokens)
        cost = uncached * p.prefill_token_ms
        cost += request.expected_tokens * self._step_ms(candidate)
        if not candidate.local:
            cost += request.link_cost_ms
        return cost

    def _step_ms(self, candidate: Candidate) -> float:
        """Return the reported step duration, scaled from the reported to the known batch size."""
        share = self._parameters.scaling_share
        reported = max(1.0, candidate.reported_running)
        ratio = (candidate.running + 1.0) / reported if candidate.step_ms else 1.0
        if not candidate.step_ms:
            return candidate.running + 1.0
        return candidate.step_ms * (1.0 - share + share * ratio)


@POLICIES.register("forecast")
def make_forecast_policy() -> PlacementPolicy:
    """Return the policy with its default constants."""
    return ForecastPolicy()
