"""How well beliefs in replicas' pace hold, by way, and what telling of them costs.

Replicas of two kinds live for a while each; a neighbour slows each down for half a second at
times. ``python -m benchmarks.bench_paces [--seeds 5]`` prints markdown tables.
"""

import argparse
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from statistics import median

from reachlink.coordination.tests.world import Instance, Network
from reachlink.membership import ListedInstance
from reachlink.messaging import encode
from reachlink.scheduling import PaceEstimate, PaceTracker, ServicePace
from reachlink.scheduling.tests.test_paces import Machine

SERVICE = "chat"
KINDS = (0.55, 1.2)
REPLICAS = 28
LIFE_S = 20.0
LASTS_S = 120.0
# A belief that is further off than this factor is wrong.
WRONG = 1.1
# How long after a figure a request is worked on, in seconds.
LATER_S = 0.1

Way = Callable[[str, float, float], tuple[float, float]]


@dataclass
class Told:
    """A figure that a replica told, what lasts there, and its pace a moment later."""

    life: str
    age_s: float
    at: float
    pace: float
    steady: float
    later: float


def tellings(seed: int, rate: float) -> list[Told]:
    """Return what a fleet tells at a rate of figures a second and replica."""
    return sorted(_lives(Random(seed), rate), key=lambda told: told.at)


def _lives(random: Random, rate: float) -> Iterator[Told]:
    for slot in range(REPLICAS):
        begins = -random.random() * LIFE_S
        while begins < LASTS_S:
            machine = Machine(random.choice(KINDS), random)
            now = random.expovariate(rate)
            while now < LIFE_S:
                pace = machine.pace(now)
                after = random.expovariate(rate)
                later = machine.pace(now + min(after, LATER_S))
                if begins + now > 0.0:
                    life = f"{slot}.{begins:.3f}"
                    yield Told(life, now, begins + now, pace, machine.steady, later)
                now += after
            begins += LIFE_S


def last_figure() -> Way:
    """Believe the last figure."""
    return lambda life, pace, now: (pace, 1.0)


def running_mean() -> Way:
    """Believe a mean in which half a second ago counts 0.7."""
    means: dict[str, tuple[float, float]] = {}

    def way(life: str, pace: float, now: float) -> tuple[float, float]:
        mean, at = means.get(life, (pace, now))
        kept = 0.5 ** (now - at)
        means[life] = (kept * mean + (1.0 - kept) * pace, now)
        return means[life][0], 1.0

    return way


def median_of_nine() -> Way:
    """Believe the median of the last nine figures."""
    lasts: dict[str, list[float]] = {}

    def way(life: str, pace: float, now: float) -> tuple[float, float]:
        last = lasts.setdefault(life, [])
        last.append(pace)
        del last[:-9]
        steady = median(last)
        return steady, pace / steady

    return way


def own_looks() -> Way:
    """Believe the looks at each replica by itself."""
    beliefs: dict[str, PaceEstimate] = {}

    def way(life: str, pace: float, now: float) -> tuple[float, float]:
        belief = beliefs.setdefault(life, PaceEstimate(ServicePace()))
        belief.record_reported(pace, now)
        found = belief.pace(now + LATER_S)
        return found.steady, found.momentary

    return way


def looks_and_kin() -> Way:
    """Believe them together with what others of the service show."""
    book = PaceTracker()

    def way(life: str, pace: float, now: float) -> tuple[float, float]:
        book.record_reported(SERVICE, life, pace, now)
        found = book.pace(life, now + LATER_S)
        return found.steady, found.momentary

    return way


WAYS: dict[str, Callable[[], Way]] = {
    "the last figure": last_figure,
    "running mean, half a second back counts 0.7": running_mean,
    "median of nine figures": median_of_nine,
    "looks, each replica by itself": own_looks,
    "**looks and what others of the service show** (kept)": looks_and_kin,
}


def judge(make: Callable[[], Way], rate: float, seeds: int) -> tuple[float, float, float]:
    """Return the share of wrong beliefs in the first second and later, and the mean error."""
    early: list[bool] = []
    later: list[bool] = []
    errors: list[float] = []
    for seed in range(seeds):
        way = make()
        for told in tellings(seed, rate):
            steady, moment = way(told.life, told.pace, told.at)
            wrong = max(steady / told.steady, told.steady / steady) > WRONG
            (early if told.age_s < 1.0 else later).append(wrong)
            errors.append(abs(math.log(steady * moment / told.later)))
    return sum(early) / len(early), sum(later) / len(later), sum(errors) / len(errors)


def bytes_told(members: int, coordinators: int, seed: int) -> tuple[float, float, float]:
    """Return notes a second, and bytes a second to coordinators and to members, of all."""
    network = Network()
    chosen = [Instance(network, f"c{number}") for number in range(coordinators)]
    others = [Instance(network, f"m{number}") for number in range(members)]
    random = Random(seed)
    count = to_coordinators = to_members = 0
    looked_at = 0.0
    stream = tellings(seed, rate=5.0)
    listed = {
        told.life: ListedInstance(told.life, SERVICE, "a", f"{told.life}:1") for told in stream
    }
    ends_at = {told.life: told.at - told.age_s + LIFE_S for told in stream}
    for instance in chosen + others:
        instance.directory.update(listed.values(), 0.0)
    for told in stream:
        network.now = told.at
        random.choice(others).tracker.paces.record_reported(SERVICE, told.life, told.pace, told.at)
        if told.at - looked_at < 0.25:
            continue
        looked_at = told.at
        alive = {life for life, ends in ends_at.items() if ends > told.at}
        for instance in chosen + others:
            instance.tracker.paces.forget_gone(alive)
        for number, member in enumerate(others):
            home = chosen[number % coordinators]
            notes = member.paces.updates_for_coordinator(home.record.name)
            home.paces.apply_from_member(member.record.name, notes)
            count += len(notes)
            to_coordinators += sum(len(encode(note)) for note in notes)
        for home in chosen:
            notes = home.paces.updates_for_peers()
            count += len(notes) * (coordinators - 1)
            to_coordinators += sum(len(encode(note)) for note in notes) * (coordinators - 1)
            for peer in chosen:
                if peer is not home:
                    peer.paces.apply_from_coordinator(home.record.name, notes)
        for number, member in enumerate(others):
            home = chosen[number % coordinators]
            notes = home.paces.updates_for_member(member.record.name)
            member.paces.apply_from_coordinator(home.record.name, notes)
            count += len(notes)
            to_members += sum(len(encode(note)) for note in notes)
    return count / LASTS_S, to_coordinators / LASTS_S, to_members / LASTS_S


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    print("| way | figures a second | wrong in the first second | wrong later | mean error |")
    print("| --- | --- | --- | --- | --- |")
    for name, make in WAYS.items():
        for rate in (1.0, 5.0, 20.0):
            early, later, error = judge(make, rate, seeds)
            print(f"| {name} | {rate:.0f} | {early:.3f} | {later:.3f} | {error:.3f} |")
    print("\n| members, coordinators | notes a second | B/s to coordinators | B/s to members |")
    print("| --- | --- | --- | --- |")
    for members, coordinators in ((6, 2), (61, 6), (187, 8)):
        found = bytes_told(members, coordinators, seed=1)
        print(f"| {members}, {coordinators} | " + " | ".join(f"{x:.0f}" for x in found) + " |")


if __name__ == "__main__":
    main()
