"""What reaches a replica that names a limit, by each way that instances may share it.

``python -m benchmarks.bench_limits`` plays `reachlink.testing._limit_load`, prints the worst of
some seeds for each way, and writes ``benchmarks/results/limits.json``.
"""

import argparse
import json
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

from benchmarks._environment import describe
from reachlink.testing._limit_load import (
    CountedTogether,
    EachAlone,
    EqualParts,
    HandedOut,
    HandedOutWhole,
    LimitFigures,
    LimitLoad,
    Trouble,
    TwoThirds,
    Way,
    World,
    play,
)

RESULT = Path(__file__).parent / "results" / "limits.json"
SIZES = (7, 65, 195)
WAYS: dict[str, Callable[[World], Way]] = {
    "each alone": EachAlone,
    "equal parts": EqualParts,
    "counted together": CountedTogether,
    "two thirds handed out": TwoThirds,
    "handed out, whole on each side": HandedOutWhole,
    "handed out, sides by number": HandedOut,
}


def worst(load: LimitLoad, way: Callable[[World], Way], seeds: int) -> LimitFigures:
    """Return the most requests, the least use and the most messages over some seeds."""
    plays = [play(load, way, seed) for seed in range(seeds)]
    return LimitFigures(
        max(p.most for p in plays), min(p.used for p in plays), max(p.messages for p in plays)
    )


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    words = parser.parse_args()
    found: dict[str, dict[str, object]] = {}
    for instances in SIZES:
        for trouble in Trouble:
            load = LimitLoad(instances, trouble=trouble)
            name = f"{instances} instances, {trouble.value}"
            print(name)
            found[name] = {}
            for way, make in WAYS.items():
                figures = worst(load, make, words.seeds)
                found[name][way] = asdict(figures)
                print(f"  {way:32} {figures.most:5} {figures.used:5} {figures.messages:9}")
    RESULT.write_text(json.dumps({"environment": describe(), "figures": found}, indent=1) + "\n")


if __name__ == "__main__":
    main()
