"""A submission that has run is answered with a status that promises that it has not.

One replica of seven fails two in five of its requests for six seconds, twice: it runs the request
and then answers 503, without the field that says that it did not run it. The consumer repeats what
was not run.
"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "second"))

from aiohttp import web  # noqa: E402
from case import main  # noqa: E402
from document import HOST, SUBMIT, document  # noqa: E402
from fleet import FRONT, Fleet, free_network  # noqa: E402
from standins import (  # noqa: E402
    PROMISES,
    SEAL,
    Consumer,
    Listed,
    PlainReplica,
    Platform,
    Record,
)

REPLICAS = 7
# Of the requests of the grey replica, how many of so many in a row fail.
FAIL, OF = 2, 5
# When the replica fails requests, in seconds after the first submission.
TROUBLES = ((2.0, 8.0), (11.0, 17.0))
SUBMISSIONS = 200
INTERVAL_S = 0.1
DEADLINE_S = 3.0
# How often a consumer sends one submission at the most.
ATTEMPTS = 4


class GreyReplica(PlainReplica):
    """Runs all requests, and fails some of them afterwards."""

    failing = False
    served = 0

    async def answer(self, request: web.BaseRequest, fields: dict[str, str]) -> web.StreamResponse:
        """Answer a request that has run, with 503 if its turn to fail has come."""
        self.served += 1
        if not self.failing or self.served % OF >= FAIL:
            return await super().answer(request, fields)
        self.record.note("fails_after_run", id=fields["X-Reachlink-Request-Id"], status=503)
        fields = {**fields, SEAL: f"{self.name}.1"}
        return web.Response(status=503, body=b"the database went away", headers=fields)


async def fail_now_and_then(replica: GreyReplica) -> None:
    """Have a replica fail requests at the times of the disruption."""
    at_s = 0.0
    for begins_s, ends_s in TROUBLES:
        await asyncio.sleep(begins_s - at_s)
        replica.failing = True
        await asyncio.sleep(ends_s - begins_s)
        replica.failing = False
        at_s = ends_s


async def submit(consumer: Consumer, entry: str, number: int) -> None:
    """Send one submission, and again while the answer promises that it has not run."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + DEADLINE_S
    for attempt in range(ATTEMPTS):
        left_s = ends_at - loop.time()
        if left_s <= 0.1:
            return
        request_id = f"{number:08x}{attempt:08x}"
        body = f"reading {number}"
        ended = await consumer.attempt(entry, f"{SUBMIT}1", request_id, body, left_s)
        if ended.status not in PROMISES:
            return
        await asyncio.sleep(min(ended.retry_after_s or 0.1, left_s / 3))


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the case."""
    network = free_network()
    platform = Platform(f"{network}.100")
    await platform.start()
    replicas = [GreyReplica(f"i-{n}", record) for n in range(REPLICAS)]
    for number, replica in enumerate(replicas):
        await replica.start(f"{network}.{110 + number}")
        listed = Listed(replica.name, "app-backend", replica.address, "abc"[number % 3])
        platform.listed.append(listed)
    fleet = Fleet(network, platform.address, entries=3)
    try:
        await fleet.start_all(document())
        consumer = Consumer(fleet.http, record, HOST)
        tasks = [asyncio.create_task(fail_now_and_then(replicas[1]))] if trouble else []
        for number in range(SUBMISSIONS):
            entry = f"{fleet.entries[number % len(fleet.entries)]}:{FRONT}"
            tasks.append(asyncio.create_task(submit(consumer, entry, number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
    finally:
        await fleet.close()
        for replica in replicas:
            await replica.close()
        await platform.close()
    return judge(record, consumer, replicas)


def judge(record: Record, consumer: Consumer, replicas: list[GreyReplica]) -> list[str]:
    """Return each request that ran although its answer promised that it never does."""
    ran = {request_id for replica in replicas for request_id in replica.ran}
    bodies = Counter(body for replica in replicas for body in replica.ran.values())
    broken = [one for one in consumer.ended if one.request_id in ran and one.status in PROMISES]
    twice = sorted(body for body, count in bodies.items() if count > 1)
    record.note("judged", attempts=len(consumer.ended), ran=len(ran), broken=len(broken))
    record.note("submissions_that_ran_twice", bodies=twice)
    print(f"{len(ran)} runs, {len(twice)} submissions ran twice")
    return [f"REFUSED: {one.request_id} ran and was told {one.status}" for one in broken]


if __name__ == "__main__":
    main(FOLDER, play)
