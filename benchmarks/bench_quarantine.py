"""How many replicas one request or part of prompts ends, and what is held for it, by each way.

``python -m benchmarks.bench_quarantine`` plays `reachlink.testing._crash_load` and, with
``--parts``, `reachlink.testing._part_crash_load`, prints the errors of each way, as means over
seeds, and writes ``benchmarks/results/quarantine.json`` or ``quarantine-parts.json``.
"""

import argparse
import json
from pathlib import Path

from reachlink.testing._crash_load import Load, Way, blame, count_alone, measure
from reachlink.testing._part_crash_load import PartLoad, PartWay, measure_parts

RESULTS = Path(__file__).parent / "results"

LOADS = {
    "small": Load(7, 5, 4.0),
    "small, three at once": Load(7, 5, 4.0, copies=3),
    "small, two such requests": Load(7, 5, 4.0, deadly=2),
    "small, replicas crash besides": Load(7, 5, 4.0, crashes_per_s=0.2),
    "small, crashes besides, none deadly": Load(7, 5, 4.0, deadly=0, crashes_per_s=0.2),
    "grown": Load(24, 23, 20.0, deadly=2, crashes_per_s=0.1),
}
WAYS: dict[str, tuple[Way, bool]] = {
    "each instance counts alone, 3": (count_alone(3), False),
    "counted together, 3": (count_alone(3), True),
    "blamed, 3": (blame(3.0), True),
    "blamed, 2": (blame(2.0), True),
}
# Seconds until all instances know of a crash, by their number.
TOLD_AFTER_S = {7: 0.1, 65: 0.2, 195: 0.3}
PART_LOADS = {
    "5 replicas, 1/s": PartLoad(5, TOLD_AFTER_S[7], 1.0),
    "5 replicas, 8/s": PartLoad(5, TOLD_AFTER_S[7], 8.0),
    "5 replicas, 1/s, from the start": PartLoad(5, TOLD_AFTER_S[7], 1.0, deadly_from_s=0.0),
    "5 replicas, 1/s, crashes besides": PartLoad(5, TOLD_AFTER_S[7], 1.0, crashes_per_s=0.3),
    "5 replicas, crashes, no such part": PartLoad(5, TOLD_AFTER_S[7], 0.0, crashes_per_s=0.3),
    "5 replicas, 1/s, two parts": PartLoad(5, TOLD_AFTER_S[7], 1.0, deadly=2),
    "5 replicas, 1/s, two from the start": PartLoad(
        5, TOLD_AFTER_S[7], 1.0, deadly=2, deadly_from_s=0.0
    ),
    "30 replicas, 1/s": PartLoad(30, TOLD_AFTER_S[65], 1.0),
    "30 replicas, 8/s": PartLoad(30, TOLD_AFTER_S[65], 8.0),
    "200 replicas, 8/s": PartLoad(200, TOLD_AFTER_S[195], 8.0),
    "200 replicas, 8/s, two, crashes": PartLoad(
        200, TOLD_AFTER_S[195], 8.0, deadly=2, crashes_per_s=0.1
    ),
}
PART_WAYS = {
    "whole requests": PartWay(parts=False),
    "parts counted": PartWay(sound=False, trust=False, beside=False),
    "and cleared": PartWay(trust=False, beside=False),
    "and trusted": PartWay(beside=False),
    "and those beside": PartWay(),
    "without clearing": PartWay(sound=False),
    "without trust": PartWay(trust=False),
    "from two crashes": PartWay(crashes_to_hold=2.0),
}


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--parts", action="store_true")
    words = parser.parse_args()
    found = _measure_parts(words.seeds) if words.parts else _measure(words.seeds)
    result = RESULTS / ("quarantine-parts.json" if words.parts else "quarantine.json")
    result.write_text(json.dumps({"seeds": words.seeds, "found": found}, indent=1) + "\n")
    for name, ways in found.items():
        print(name)
        for way, figures in ways.items():
            print(f"  {way:32} {figures}")


def _measure(seeds: int) -> dict[str, dict[str, dict[str, float]]]:
    return {
        name: {way: measure(load, judged, shared, seeds) for way, (judged, shared) in WAYS.items()}
        for name, load in LOADS.items()
    }


def _measure_parts(seeds: int) -> dict[str, dict[str, dict[str, float]]]:
    return {
        name: {way: measure_parts(load, how, seeds) for way, how in PART_WAYS.items()}
        for name, load in PART_LOADS.items()
    }


if __name__ == "__main__":
    main()
