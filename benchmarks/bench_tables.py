"""``make bench-tables``: what a change of a routing table costs, by the table's size.

Two ways in the same run. *whole*: each answer holds the whole table, which is read,
checked and indexed in one go (the way before). *pieces*: patches, compressed contents
in pieces, reading in steps. Processor times are the least of some runs. Times in force
are of the real follower, control server and state machine on virtual time, over links
of 5 Mbit/s: they show what links and time-outs add, and no processor time.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TypeVar

import msgspec
from cyclopts import App

from benchmarks._environment import describe
from reachlink.kernel._lifecycle import _settle_garbage
from reachlink.membership import (
    Delta,
    Holding,
    Inbox,
    Outbox,
    SettingsAnswer,
    SettingsHolder,
    pack_answer,
    unpack_answer,
)
from reachlink.messaging import decode, encode
from reachlink.routing import PublishedTable, RoutingIndex, TableReader, patch_between
from reachlink.settings import ROUTING_PATH
from reachlink.testing import run_virtually
from reachlink.testing._measures import percentile
from reachlink.testing._settings_world import MBIT, Deployment, Names, published, routes

T = TypeVar("T")

RESULTS = Path(__file__).parent / "results"
COSTS = RESULTS / "table_costs.json"
TIMES = RESULTS / "table_times.json"
RUNS = 5
LINK = 5 * MBIT
# Row of changes: how many, and the seconds between two of them.
ROWS = {"one": (1, 0.0), "five in a second": (5, 0.2), "each 0.25 s for 20 s": (80, 0.25)}
# How long a row of changes may take until it is in force, in virtual seconds.
SETTLE_S = 15.0

app = App(help=__doc__)


class ChangeFigures(msgspec.Struct, kw_only=True):
    """What one change costs; bytes, and milliseconds of processor time."""

    routes: int
    change: str
    whole_bytes: int
    whole_instance_ms: float
    pieces_bytes: int
    voter_patch_ms: float
    voter_answer_ms: float
    instance_ms: float
    longest_hold_ms: float


class ForceFigures(msgspec.Struct, kw_only=True):
    """When changes are in force, in virtual milliseconds after they were accepted."""

    routes: int
    watchers: int
    changes: str
    p50_ms: float
    p99_ms: float
    max_ms: float
    bytes_an_instance: int


def least(work: Callable[[], T], runs: int = RUNS) -> tuple[float, T]:
    """Return the least processor time of some runs in milliseconds, and a result."""
    best = float("inf")
    for _ in range(runs):
        began = time.process_time()
        result = work()
        best = min(best, time.process_time() - began)
    return 1000.0 * best, result


def changed(table: PublishedTable, number: int, more: int) -> PublishedTable:
    """Return the next table: one route changed, or some more."""
    decoded = table.decode()
    if more:
        return published(number, decoded.routes + routes(more, Names(number)))
    first, *others = decoded.routes
    return published(number, (replace(first, timeout_s=first.timeout_s + 1.0), *others))


def whole_way(new: PublishedTable) -> tuple[int, float]:
    """Return bytes and processor time at an instance, as it was before."""
    values = {ROUTING_PATH: msgspec.to_builtins(new)}
    raw = encode(SettingsAnswer(2, True, values=values))

    def take() -> RoutingIndex:
        holder = SettingsHolder()
        holder.take(decode(raw, SettingsAnswer))
        assert holder.tree.routing is not None
        return RoutingIndex(holder.tree.routing.decode())

    return len(raw), least(take)[0]


def read(reader: TableReader, table: PublishedTable) -> tuple[float, float]:
    """Return the processor time of reading a table, and the longest step, in milliseconds."""
    steps = reader.steps(table)
    total = longest = 0.0
    ended = False
    while not ended:
        began = time.process_time()
        try:
            next(steps)
        except StopIteration:
            ended = True
        took = 1000.0 * (time.process_time() - began)
        total, longest = total + took, max(longest, took)
    return total, longest


def measure_change(count: int, name: str, more: int) -> ChangeFigures:
    """Measure one change of a table with so many routes."""
    old = published(1, routes(count, Names()))
    new = changed(old, 2, more)
    # As in a daemon: the collector does not look at what was there before.
    _settle_garbage()
    whole_bytes, whole_ms = whole_way(new)
    patch_ms, patch = least(lambda: patch_between(old, new))
    content = SettingsAnswer(2, True, [Delta(2, table=patch)])
    head = SettingsAnswer(2, True)

    def pack() -> tuple[SettingsAnswer, Outbox]:
        outbox = Outbox()
        return pack_answer(outbox, head, Holding(1), lambda base: content), outbox

    answer_ms, (first, outbox) = least(pack)
    answers = [first]
    inbox = Inbox()
    found = unpack_answer(inbox, first)
    while found is None:
        piece = outbox.resume(inbox.progress)
        answers.append(msgspec.structs.replace(head, piece=piece))
        found = unpack_answer(inbox, answers[-1])
    instance_ms, hold_ms = float("inf"), float("inf")
    for _ in range(RUNS):
        holder, reader = SettingsHolder(), TableReader()
        whole = {ROUTING_PATH: msgspec.to_builtins(old)}
        holder.take(SettingsAnswer(1, True, values=whole))
        read(reader, old)
        began = time.process_time()
        inbox = Inbox()
        for answer in answers:
            arrived = unpack_answer(inbox, decode(encode(answer), SettingsAnswer))
        assert arrived is not None and holder.take(arrived)
        taking = 1000.0 * (time.process_time() - began)
        total, longest = read(reader, new)
        if taking + total < instance_ms:
            instance_ms, hold_ms = taking + total, max(taking, longest)
    return ChangeFigures(
        routes=count,
        change=name,
        whole_bytes=whole_bytes,
        whole_instance_ms=round(whole_ms, 2),
        pieces_bytes=sum(len(encode(answer)) for answer in answers),
        voter_patch_ms=round(patch_ms, 2),
        voter_answer_ms=round(answer_ms, 2),
        instance_ms=round(instance_ms, 2),
        longest_hold_ms=round(hold_ms, 2),
    )


async def play_row(count: int, watchers: int, changes: int, gap_s: float) -> ForceFigures:
    """Play a row of changes of one route each."""
    table_routes = routes(count, Names())
    waits: list[float] = []
    async with Deployment(entries=watchers, rate=LINK) as deployment:
        deployment.publish(published(1, table_routes))
        await asyncio.sleep(SETTLE_S)
        before = [entry.link.carried for entry in deployment.entries]
        accepted: dict[int, float] = {}
        for number in range(2, changes + 2):
            first, *others = table_routes
            table_routes = (*others, replace(first, timeout_s=first.timeout_s + 1.0))
            deployment.publish(published(number, table_routes))
            accepted[number] = asyncio.get_running_loop().time()
            await asyncio.sleep(gap_s)
        await asyncio.sleep(SETTLE_S)
        for entry in deployment.entries:
            for number, at in accepted.items():
                in_force = min(t for n, t in entry.in_force.items() if n >= number)
                waits.append(1000.0 * (in_force - at))
        carried = [e.link.carried - b for e, b in zip(deployment.entries, before, strict=True)]
    return ForceFigures(
        routes=count,
        watchers=watchers,
        changes="",
        p50_ms=round(percentile(waits, 0.5), 1),
        p99_ms=round(percentile(waits, 0.99), 1),
        max_ms=round(max(waits), 1),
        bytes_an_instance=round(sum(carried) / watchers),
    )


def measure_rows(count: int, watchers: int) -> list[ForceFigures]:
    """Play every row of changes for one size."""
    found = []
    for name, (changes, gap_s) in ROWS.items():
        figures = run_virtually(play_row(count, watchers, changes, gap_s))
        found.append(msgspec.structs.replace(figures, changes=name))
    return found


def save(path: Path, name: str, figures: list[ChangeFigures] | list[ForceFigures]) -> None:
    """Write figures with what they were measured on."""
    body = msgspec.json.encode({"environment": describe(), name: figures})
    path.write_bytes(msgspec.json.format(body, indent=1) + b"\n")


@app.default
def run(
    *,
    sizes: list[int] | None = None,
    watchers: list[int] | None = None,
    costs: bool = True,
    times: bool = True,
) -> None:
    """Measure.

    Parameters
    ----------
    sizes : list of int
        Numbers of routes.
    watchers : list of int
        Numbers of entry instances.
    costs : bool
        Measure what one change costs.
    times : bool
        Measure when changes are in force: some five minutes.
    """
    counts = sizes or [40, 1440, 10_000]
    if costs:
        cost_rows = []
        for count in counts:
            for name, more in (("one route", 0), ("1,400 routes more", 1400)):
                cost_rows.append(measure_change(count, name, more))
                print(msgspec.json.encode(cost_rows[-1]).decode(), flush=True)
        save(COSTS, "costs", cost_rows)
    if times:
        time_rows = []
        for count in counts:
            for number in watchers or [8, 65, 195]:
                time_rows += measure_rows(count, number)
                print(msgspec.json.encode(time_rows[-len(ROWS) :]).decode(), flush=True)
        save(TIMES, "in_force", time_rows)


if __name__ == "__main__":
    app()
