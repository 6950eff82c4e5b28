"""How often brittle replicas fall, by what instances do with their statement.

``python -m benchmarks.bench_brittle`` plays `reachlink.testing._brittle_load`, prints the worst of
some seeds for each way, and writes ``benchmarks/results/brittle.json``.
"""

import argparse
import json
from dataclasses import asdict
from pathlib import Path

from benchmarks._environment import describe
from reachlink.testing._brittle_load import BrittleFigures, BrittleLoad, Way, play

RESULT = Path(__file__).parent / "results" / "brittle.json"
# Instances and replicas.
SIZES = ((7, 3), (24, 3), (65, 28), (195, 84))


def worst(instances: int, replicas: int, way: Way, seeds: int) -> BrittleFigures:
    """Return the most falls and rejections and the smallest share served over some seeds."""
    plays = [play(BrittleLoad(instances, replicas, way, seed)) for seed in range(1, seeds + 1)]
    return BrittleFigures(
        max(p.falls for p in plays),
        plays[0].most_falls,
        max(p.rejected for p in plays),
        round(min(p.served for p in plays), 3),
    )


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    words = parser.parse_args()
    found: dict[str, dict[str, object]] = {}
    for instances, replicas in SIZES:
        name = f"{instances} instances, {replicas} replicas"
        found[name] = {}
        for way in Way:
            figures = worst(instances, replicas, way, words.seeds)
            found[name][way.value] = asdict(figures)
            print(f"{name}, {way.value}: {figures}")
    RESULT.write_text(json.dumps({"environment": describe(), "worst": found}, indent=1) + "\n")


if __name__ == "__main__":
    main()
