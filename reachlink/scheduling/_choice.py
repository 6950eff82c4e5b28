"""Choice of the replica for a request; free of I/O and clocks."""

from collections.abc import Iterable
from random import Random

from reachlink.scheduling._burden import burden
from reachlink.scheduling._forecast import plain_time
from reachlink.scheduling._loss import LONG_TOKENS, Losses
from reachlink.scheduling._need import Need
from reachlink.scheduling._option import Option
from reachlink.scheduling._terms import REQUEST, Measure, Terms

# A replica in another zone is chosen only if it has fewer requests by more than this number.
FAR_HANDICAP = 0.5
# Times within this multiple of a call's nominal duration count as equal, so that instances
# with the same reports do not all choose one replica.
NEAR_TIME = 0.75
# Maximum number of replicas that one decision compares. They are drawn at random, so that
# instances with the same reports compare different replicas.
MOST_WEIGHED = 32
# Share of the calls and short answers that are placed by memory and request counts alone, so
# that a replica that is estimated to be slow still gets requests that confirm or refute it.
LOOK_SHARE = 0.01
# Cost of another zone for a plain call, as a multiple of its nominal duration.
FAR_TIME = 0.08


def is_calm(option: Option, reading_s: float) -> bool:
    """Return whether a prompt sent now is processed before a generation migrates there.

    A migrated generation produces its next event only between the chunks of prompts that the
    replica processes, so its caller would see a pause.

    Parameters
    ----------
    option : Option
        Replica.
    reading_s : float
        Time from sending the prompt to its first event, in seconds.
    """
    return option.joins_in_s is None or option.joins_in_s > reading_s


def choose(
    options: Iterable[Option],
    need_tokens: int,
    random: Random,
    terms: Terms = REQUEST,
    need: Need | None = None,
) -> str | None:
    """Return the name of the replica that a request should go to, or None if none fits.

    Parameters
    ----------
    options : iterable of Option
        Candidate replicas.
    need_tokens : int
        Memory that the request needs at its end, in tokens.
    random : random.Random
        Source of random numbers for drawing and for breaking ties.
    terms : Terms
        Rules by which the memory of engines is given.
    need : Need, optional
        Resources and deadlines of the request. If given, and if the pace of replicas is
        known, the choice is made by the expected times.
    """
    fit = [o for o in options if o.trust > 0.0 and _has_room(o, need_tokens, terms)]
    if not fit:
        return None
    # A recovering replica gets only its share of the requests, or all if there is no other.
    usable = [o for o in fit if random.random() < o.trust] or fit
    if need is not None and _goes_by_time(usable, need, random):
        return _by_time(usable, need, random, terms).name
    near = [
        o for o in usable if o.near and burden(o, need_tokens, copies=False) <= terms.near_enough
    ]
    return min(
        near or usable, key=lambda o: (_cost(o, need_tokens, terms.far), random.random())
    ).name


def _goes_by_time(options: list[Option], need: Need, random: Random) -> bool:
    """Return whether a request is placed by time, not by memory and counts alone."""
    if all(o.pace is None for o in options):
        return False
    return need.output_tokens > LONG_TOKENS or random.random() >= LOOK_SHARE


def _by_time(options: list[Option], need: Need, random: Random, terms: Terms) -> Option:
    """Return a replica with the least expected loss, or time, or nearly the least."""
    if len(options) > MOST_WEIGHED:
        options = random.choices(options, k=MOST_WEIGHED)
    if options[0].capacity_tokens:
        losses = Losses(need, terms)
        costs = [losses.at(o) for o in options]
        most = min(costs) + losses.near_tie
        alike = [n for n, cost in enumerate(costs) if cost <= most]
        alike = [n for n in alike if options[n].near] or alike
    else:
        costs = [plain_time(o) + (0.0 if o.near else FAR_TIME) for o in options]
        most = min(costs) + NEAR_TIME
        alike = [n for n, cost in enumerate(costs) if cost <= most]
    # Instances with the same reports spread requests far better by the better of two random
    # draws than by one draw or by the least cost.
    drawn = random.choice(alike), random.choice(alike)
    return options[min(drawn, key=costs.__getitem__)]


def _has_room(option: Option, need_tokens: int, terms: Terms) -> bool:
    if not option.capacity_tokens:
        return True
    if option.arriving > terms.most_arriving:
        return False
    taken = _taken(option, terms.measure) + need_tokens
    return taken <= terms.full * option.capacity_tokens


def _taken(option: Option, measure: Measure) -> int:
    if measure is Measure.PROMISED:
        return option.tokens
    if measure is Measure.USED:
        return option.used_tokens
    return option.used_tokens + option.copy_tokens


def _cost(option: Option, need_tokens: int, far_share: float) -> float:
    """Return the cost of placing a request at a replica, including the delay of others."""
    if not option.capacity_tokens:
        far = 0.0 if option.near else FAR_HANDICAP
        return (option.running + far) / max(1, option.slots)
    far = 0.0 if option.near else far_share
    return burden(option, need_tokens) + far
