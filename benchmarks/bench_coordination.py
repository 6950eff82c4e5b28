"""What coordination costs: bytes and processor time of notes, pictures and questions.

Plays one coordinator with its members in one process, without a network: encoding,
decoding and deciding are measured, sockets are not. Prints, for each number of
members, the mean size of a note and of a picture in bytes, the processor time of an
exchange of both and of a question in microseconds, and what that makes a second at
the coordinator: a note and a picture each 0.25 s from a member that carries
generations, of which one a second tells of all replicas.

With 20 members and 32 replicas, beside load: 73 KB/s where each picture told of all
replicas, 21 KB/s where one a second does.
"""

import argparse
import asyncio
import json
import logging
import statistics
import time

import msgspec
import structlog

from reachlink.coordination.tests.world import Instance, Network, make_query
from reachlink.membership import ListedInstance
from reachlink.messaging import encode

# Replicas in all zones, and generations that each member carries.
REPLICAS = 32
CARRIED = 1
MEMBERS = (10, 20, 40, 80)
ROUNDS = 8
# Pictures that a member with generations gets a second.
PICTURES_PER_S = 4


def fleet(members: int, replicas: int) -> tuple[Instance, list[Instance]]:
    """Return a settled coordinator with members that carry generations."""
    network = Network()
    coordinator = Instance(network, "c1")
    followers = [Instance(network, f"m{n}") for n in range(members)]
    for instance in [coordinator, *followers]:
        instance.update_roster(coordinator)
    listed = [ListedInstance(f"i-{n:010x}", "chat", "a", f"10.1.0.{n}:80") for n in range(replicas)]
    coordinator.directory.update(listed, network.now)
    for number, follower in enumerate(followers):
        for generation in range(CARRIED):
            flight = follower.start_request(listed[(number + generation) % replicas].name)
            flight.unreplicated = True
    network.now += 10.0
    return coordinator, followers


async def measure(members: int, replicas: int) -> dict[str, float]:
    """Return the figures for one number of members."""
    coordinator, followers = fleet(members, replicas)
    notes = [f.member._make_update("c1", 0.01) for f in followers]
    for note in notes:
        coordinator.coordinator._apply_update(note)
    first = [coordinator.coordinator._snapshot_for(note) for note in notes]
    for follower, picture in zip(followers, first, strict=True):
        follower.member._apply_snapshot(picture)
    notes = [f.member._make_update("c1", 0.01) for f in followers]
    sizes = [len(encode(note)) for note in notes]
    notes = [msgspec.structs.replace(note, full=True) for note in notes]
    some = [msgspec.structs.replace(note, full=False) for note in notes]
    pictures: list[int] = []
    began = time.process_time()
    for number in range(ROUNDS):
        for note in some if number % PICTURES_PER_S else notes:
            coordinator.coordinator._apply_update(note)
            pictures.append(len(encode(coordinator.coordinator._snapshot_for(note))))
    exchange_us = (time.process_time() - began) / (ROUNDS * members) * 1e6
    began = time.process_time()
    for _ in range(ROUNDS):
        for follower in followers:
            await follower.member.ask(make_query(10))
    question_us = (time.process_time() - began) / (ROUNDS * members) * 1e6
    return {
        "members": members,
        "replicas": replicas,
        "note_bytes": round(statistics.fmean(sizes)),
        "picture_bytes": round(statistics.fmean(pictures)),
        "exchange_us": round(exchange_us),
        "question_us": round(question_us),
        "pictures_percent_of_core": round(exchange_us * PICTURES_PER_S * members / 1e4, 2),
        "pictures_kb_per_s": round(statistics.fmean(pictures) * PICTURES_PER_S * members / 1e3, 1),
    }


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--replicas", type=int, default=REPLICAS)
    parser.add_argument("--members", type=int, nargs="+", default=MEMBERS)
    words = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    for members in words.members:
        print(json.dumps(asyncio.run(measure(members, words.replicas))))


if __name__ == "__main__":
    main()
