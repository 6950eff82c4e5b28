"""What one decision of placement costs at the size that decides.

An entry instance knows 142 model replicas, a fifth of 710, and hears of them
from 24 others. Prints the mean processor time of one decision, in microseconds:
3,053 to 3,661 beside load where the shares of all others were summed anew for each
replica, 1,481 and 1,892 since sums are kept between changes; 100 are aimed at.
"""

import argparse
import json
import time
from random import Random
from typing import Any

from reachlink.membership import ListedInstance, ReplicaDirectory
from reachlink.requests import (
    CallerRequest,
    LoadNote,
    ReplicaBook,
    ReplicaShare,
    RunnerParts,
    SharedLoad,
)
from reachlink.requests._placing import Placing
from reachlink.routing import Backend, EngineLimits, RequestKind, Route, Service
from reachlink.upstreams import GenerationFacts, RelayRequest

REPLICAS = 142
PEERS = 24
DECISIONS = 500
ENGINE = EngineLimits(slots=24, kv_capacity_tokens=34_000, moves=True, tokens_per_event=4)
SERVICE = Service("chat", "/health", 100, ENGINE)
ROUTE = Route(
    "chat", "h", "/c/", RequestKind.STREAM, (Backend("chat", 1.0),), timeout_s=39.0, objective_s=1.8
)


def placing(replicas: int, peers: int) -> Placing:
    """Return a placing that knows replicas and the shares of other instances."""
    random = Random(1)
    names = [f"r{n}" for n in range(replicas)]
    directory = ReplicaDirectory()
    listed = [ListedInstance(n, "chat", f"z{i % 3}", f"{n}:1") for i, n in enumerate(names)]
    directory.update(listed, 0.0)
    shared = SharedLoad()
    for peer in range(peers):
        shares = [
            ReplicaShare(name, running=1, tokens=random.randint(2000, 6000), used_tokens=2000)
            for name in random.sample(names, replicas // 5)
        ]
        shared.take(LoadNote(f"e{peer}", shares), time.monotonic())
    unused: Any = None
    return Placing(
        RunnerParts("z0", unused, directory, ReplicaBook(), shared, random, lambda *told: None)
    )


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--replicas", type=int, default=REPLICAS)
    parser.add_argument("--peers", type=int, default=PEERS)
    parser.add_argument("--decisions", type=int, default=DECISIONS)
    words = parser.parse_args()
    place = placing(words.replicas, words.peers)
    relay = RelayRequest("id", "POST", "/c/", [], b"", generation=GenerationFacts("m", 3000, 900))
    request = CallerRequest(relay, ROUTE, SERVICE, time.monotonic(), 39.0)
    began = time.process_time()
    question = place.question(request, set(), calm_only=True)
    for _ in range(words.decisions):
        place.decide(request.service, question)
    mean_us = (time.process_time() - began) / words.decisions * 1e6
    print(json.dumps({"replicas": words.replicas, "peers": words.peers, "mean_us": round(mean_us)}))


if __name__ == "__main__":
    main()
