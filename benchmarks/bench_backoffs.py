"""What reaches replicas that ask for a backoff, during it and in the second after, by each way.

``python -m benchmarks.bench_backoffs`` plays `reachlink.testing._backoff_load`, prints the worst
of some seeds for each way, and writes ``benchmarks/results/backoffs.json``.
"""

import argparse
import json
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path
from random import Random

from benchmarks._environment import describe
from reachlink.pacing import BackoffTracker
from reachlink.testing._backoff_load import (
    BackoffFigures,
    BackoffLoad,
    ExactBackoffs,
    ForgetBackoffs,
    SpreadBackoffs,
    TrialBackoffs,
    play,
)

RESULT = Path(__file__).parent / "results" / "backoffs.json"
SIZES = {
    "7 instances, 1 of 3": BackoffLoad(7, 3, 1),
    "7 instances, 3 of 3": BackoffLoad(7, 3, 3),
    "65 instances, 9 of 28": BackoffLoad(65, 28, 9),
    "65 instances, 28 of 28": BackoffLoad(65, 28, 28),
    "195 instances, 28 of 84": BackoffLoad(195, 84, 28),
}
WAYS: dict[str, tuple[Callable[[Random], BackoffTracker], bool]] = {
    "forgotten": (ForgetBackoffs, False),
    "exact end": (ExactBackoffs, False),
    "spread end": (SpreadBackoffs, False),
    "trial, ramp": (TrialBackoffs, False),
    "spread, trial, ramp": (BackoffTracker, False),
    "the same, told on to all": (BackoffTracker, True),
}


def worst(load: BackoffLoad, way: Callable[[Random], BackoffTracker], seeds: int) -> BackoffFigures:
    """Return the largest of each figure over some seeds."""
    plays = [asdict(play(load, way, seed)) for seed in range(seeds)]
    return BackoffFigures(**{name: max(p[name] for p in plays) for name in plays[0]})


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
