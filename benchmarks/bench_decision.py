"""What one decision of placement costs at the size that decides.

An entry instance knows 142 model replicas, a fifth of 710, and hears of them
from 24 others. Prints the mean processor time of one decision, in microseconds:
3,053 to 3,661 beside load where the shares of all others were summed anew for each
replica, 1,481 and 1,892 since sums are kept between changes; 100 are aimed at.
Prints also what the choice alone costs of it, where all replicas are alike and where each
has a pace: `choice_us` and `choice_by_pace_us`.
"""

import argparse
import json
import time
from dataclasses import replace
from random import Random
from typing import Any

from reachlink.membership import ListedInstance, ReplicaDirectory
from reachlink.requests import (
    CallerRequest,
    LoadUpdate,
    PeerLoad,
    ReplicaTracker,
    ReplicaUsage,
    RunnerParts,
)
from reachlink.requests._placer import Placer
from reachlink.routing import Backend, EngineLimits, RequestKind, Route, Service
from reachlink.scheduling import Need, Pace, ReplicaOption, best_start
from reachlink.upstreams import GenerationFacts, RelayRequest

REPLICAS = 142
PEERS = 24
DECISIONS = 500
ENGINE = EngineLimits(slots=24, kv_capacity_tokens=34_000, moves=True, tokens_per_event=4)
SERVICE = Service("chat", "/health", 100, ENGINE)
ROUTE = Route(
    "chat", "h", "/c/", RequestKind.STREAM, (Backend("chat", 1.0),), timeout_s=39.0, objective_s=1.8
)


def make_placer(replicas: int, peers: int) -> Placer:
    """Return a placer that knows replicas and the load of other instances."""
    random = Random(1)
    names = [f"r{n}" for n in range(replicas)]
    directory = ReplicaDirectory()
    listed = [ListedInstance(n, "chat", f"z{i % 3}", f"{n}:1") for i, n in enumerate(names)]
    directory.update(listed, 0.0)
    peer_load = PeerLoad()
    for peer in range(peers):
        shares = [
            ReplicaUsage(name, running=1, tokens=random.randint(2000, 6000), used_tokens=2000)
            for name in random.sample(names, replicas // 5)
        ]
        peer_load.update(LoadUpdate(f"e{peer}", shares), time.monotonic())
    unused: Any = None
    return Placer(
        RunnerParts(
            "z0", unused, directory, ReplicaTracker(), peer_load, random, lambda *told: None
        )
    )


def options(replicas: int, paces: bool) -> list[ReplicaOption]:
    """Return replicas with some generations each, a quarter of them quick."""
    random = Random(2)
    quick, slow = Pace(0.55, 1.0, 2.5, 0.15, 0.1), Pace(1.2, 1.0, 2.5, 0.15, 0.1)
    found = []
    for number in range(replicas):
        running = random.randrange(7)
        option = ReplicaOption(
            f"r{number}",
            same_zone=number % 3 == 0,
            running=running,
            slots=ENGINE.slots,
            tokens=3800 * running,
            unread_tokens=3000 * random.randrange(2),
            capacity_tokens=ENGINE.kv_capacity_tokens,
            used_tokens=3400 * running,
            tokens_per_event=ENGINE.tokens_per_event,
        )
        pace = slow if number % 4 else quick
        found.append(replace(option, pace=pace) if paces else option)
    return found


def choice_us(replicas: int, paces: bool, decisions: int) -> int:
    """Return the mean processor time of one choice among options, in microseconds."""
    random = Random(3)
    known = options(replicas, paces)
    need = Need(3900, 3000, first_event_due_in_s=1.8, max_pause_s=0.18)
    began = time.process_time()
    for _ in range(decisions):
        best_start(known, need, random)
    return round((time.process_time() - began) / decisions * 1e6)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--replicas", type=int, default=REPLICAS)
    parser.add_argument("--peers", type=int, default=PEERS)
    parser.add_argument("--decisions", type=int, default=DECISIONS)
    words = parser.parse_args()
    placer = make_placer(words.replicas, words.peers)
    relay = RelayRequest("id", "POST", "/c/", [], b"", generation=GenerationFacts("m", 3000, 900))
    request = CallerRequest(relay, ROUTE, SERVICE, time.monotonic(), 39.0)
    began = time.process_time()
    question = placer.query(request, set(), avoid_resuming=True)
    for _ in range(words.decisions):
        placer.decide(request.service, question)
    mean_us = (time.process_time() - began) / words.decisions * 1e6
    figures = {
        "replicas": words.replicas,
        "peers": words.peers,
        "mean_us": round(mean_us),
        "choice_us": choice_us(words.replicas, False, words.decisions),
        "choice_by_pace_us": choice_us(words.replicas, True, words.decisions),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
