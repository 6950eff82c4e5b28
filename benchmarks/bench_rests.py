"""What reaches replicas that ask for rest, during it and in the second after, by each way.

``python -m benchmarks.bench_rests`` plays `reachlink.testing._rest_load`, prints the worst
of some seeds for each way, and writes ``benchmarks/results/rests.json``.
"""

import argparse
import json
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path
from random import Random

from benchmarks._environment import describe
from reachlink.testing._rest_load import (
    ExactRests,
    ForgetRests,
    RestFigures,
    RestLoad,
    SpreadRests,
    TrialRests,
    play,
)
from reachlink.upstreams import RestBook

RESULT = Path(__file__).parent / "results" / "rests.json"
SIZES = {
    "7 instances, 1 of 3": RestLoad(7, 3, 1),
    "7 instances, 3 of 3": RestLoad(7, 3, 3),
    "65 instances, 9 of 28": RestLoad(65, 28, 9),
    "65 instances, 28 of 28": RestLoad(65, 28, 28),
    "195 instances, 28 of 84": RestLoad(195, 84, 28),
}
WAYS: dict[str, tuple[Callable[[Random], RestBook], bool]] = {
    "forgotten": (ForgetRests, False),
    "exact end": (ExactRests, False),
    "spread end": (SpreadRests, False),
    "trial, ramp": (TrialRests, False),
    "spread, trial, ramp": (RestBook, False),
    "the same, told on to all": (RestBook, True),
}


def worst(load: RestLoad, way: Callable[[Random], RestBook], seeds: int) -> RestFigures:
    """Return the largest of each figure over some seeds."""
    plays = [asdict(play(load, way, seed)) for seed in range(seeds)]
    return RestFigures(**{name: max(p[name] for p in plays) for name in plays[0]})


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    words = parser.parse_args()
    found: dict[str, dict[str, object]] = {}
    for size, load in SIZES.items():
        for moment in (False, True):
            name = f"{size}, {'one moment' if moment else 'three seconds each'}"
            print(name)
            found[name] = {}
            for way, (book, told_on) in WAYS.items():
                played = replace(load, one_moment=moment, told_on=told_on)
                figures = worst(played, book, words.seeds)
                found[name][way] = asdict(figures)
                print(f"  {way:26} {figures}")
    result = {"seeds": words.seeds, "environment": describe(), "found": found}
    RESULT.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
