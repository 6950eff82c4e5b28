"""Choice of the replica for a request; free of I/O and clocks."""

from collections.abc import Iterable
from random import Random

from reachlink.scheduling._forecast import plain_call_time
from reachlink.scheduling._load import load_with_request
from reachlink.scheduling._loss import LONG_TOKENS, ExpectedLosses
from reachlink.scheduling._need import Need
from reachlink.scheduling._placement_rules import REQUEST_RULES, MemoryMeasure, PlacementRules
from reachlink.scheduling._replica_option import ReplicaOption

# A replica in another zone is chosen only if it has fewer requests by more than this number.
OTHER_ZONE_REQUESTS = 0.5
# Times within this multiple of a call's nominal duration count as equal, so that instances
# with the same reports do not all choose one replica.
TIE_TIME = 0.75
# Maximum number of replicas that one decision compares. They are drawn at random, so that
# instances with the same reports compare different replicas.
MAX_COMPARED = 32
# Share of the calls and short answers that are placed by memory and request counts alone, so
# that a replica that is estimated to be slow still gets requests that confirm or refute it.
PROBE_SHARE = 0.01
# Cost of another zone for a plain call, as a multiple of its nominal duration.
OTHER_ZONE_TIME = 0.08


def prefill_ends_before_resume(option: ReplicaOption, prefill_s: float) -> bool:
    """Return whether a prompt sent now is processed before a generation resumes there.

    A resumed generation produces its next event only between the chunks of prompts that the
    replica processes, so its caller would see a pause.

    Parameters
    ----------
    option : ReplicaOption
        Replica.
    prefill_s : float
        Time from sending the prompt to its first event, in seconds.
    """
    return option.resumes_in_s is None or option.resumes_in_s > prefill_s


def choose_replica(
    options: Iterable[ReplicaOption],
    need_tokens: int,
    random: Random,
    rules: PlacementRules = REQUEST_RULES,
    need: Need | None = None,
) -> str | None:
    """Return the name of the replica that a request should go to, or None if none fits.

    Parameters
    ----------
    options : iterable of ReplicaOption
        Candidate replicas.
    need_tokens : int
        Memory that the request needs at its end, in tokens.
    random : random.Random
        Source of random numbers for drawing and for breaking ties.
    rules : PlacementRules
        Rules by which the memory of engines is allocated.
    need : Need, optional
        Resources and deadlines of the request. If given, and if the pace of replicas is
        known, the choice is made by the expected times.
    """
    fit = [o for o in options if o.allowance > 0.0 and _has_capacity(o, need_tokens, rules)]
    if not fit:
        return None
    # A recovering replica gets only its share of the requests, or all if there is no other.
    usable = [o for o in fit if random.random() < o.allowance] or fit
    if need is not None and _is_placed_by_time(usable, need, random):
        return _choose_by_time(usable, need, random, rules).name
    in_own_zone = [
        o
        for o in usable
        if o.same_zone
        and load_with_request(o, need_tokens, copies=False) <= rules.own_zone_max_load
    ]
    return min(
        in_own_zone or usable,
        key=lambda o: (_cost(o, need_tokens, rules.other_zone_margin), random.random()),
    ).name


def _is_placed_by_time(options: list[ReplicaOption], need: Need, random: Random) -> bool:
    """Return whether a request is placed by time, not by memory and counts alone."""
    if all(o.pace is None for o in options):
        return False
    return need.output_tokens > LONG_TOKENS or random.random() >= PROBE_SHARE


def _choose_by_time(
    options: list[ReplicaOption], need: Need, random: Random, rules: PlacementRules
) -> ReplicaOption:
    """Return a replica with the least expected loss, or time, or nearly the least."""
    if len(options) > MAX_COMPARED:
        options = random.choices(options, k=MAX_COMPARED)
    if options[0].capacity_tokens:
        losses = ExpectedLosses(need, rules)
        costs = [losses.expected_at(o) for o in options]
        limit = min(costs) + losses.tie_margin
        tied = [n for n, cost in enumerate(costs) if cost <= limit]
        tied = [n for n in tied if options[n].same_zone] or tied
    else:
        costs = [plain_call_time(o) + (0.0 if o.same_zone else OTHER_ZONE_TIME) for o in options]
        limit = min(costs) + TIE_TIME
        tied = [n for n, cost in enumerate(costs) if cost <= limit]
    # Instances with the same reports spread requests far better by the better of two random
    # draws than by one draw or by the least cost.
    drawn = random.choice(tied), random.choice(tied)
    return options[min(drawn, key=costs.__getitem__)]


def _has_capacity(option: ReplicaOption, need_tokens: int, rules: PlacementRules) -> bool:
    if not option.capacity_tokens:
        return True
    if option.pending_transfers > rules.max_pending_transfers:
        return False
    taken = _taken(option, rules.measure) + need_tokens
    return taken <= rules.memory_share * option.capacity_tokens


def _taken(option: ReplicaOption, measure: MemoryMeasure) -> int:
    if measure is MemoryMeasure.PROMISED:
        return option.tokens
    if measure is MemoryMeasure.USED:
        return option.used_tokens
    return option.used_tokens + option.copy_tokens


def _cost(option: ReplicaOption, need_tokens: int, other_zone_margin: float) -> float:
    """Return the cost of placing a request at a replica, including its delay to others."""
    if not option.capacity_tokens:
        zone_cost = 0.0 if option.same_zone else OTHER_ZONE_REQUESTS
        return (option.running + zone_cost) / max(1, option.slots)
    zone_cost = 0.0 if option.same_zone else other_zone_margin
    return load_with_request(option, need_tokens) + zone_cost
