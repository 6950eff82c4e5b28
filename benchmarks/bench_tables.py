"""``make bench-tables``: what a change of a routing table costs, by the table's size.

Two ways in the same run. *whole*: each answer holds the whole table, which is read,
checked and indexed in one go (the way before). *pieces*: patches, compressed contents
in pieces, reading in steps. Processor times are the least of some runs. Times in force
are of the real follower, control server and state machine on virtual time, over links
of 5 Mbit/s: they show what links and time-outs add, and no processor time.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Generic, TypeVar

import msgspec
from cyclopts import App

from benchmarks._environment import describe
from reachlink.control import ControlMachine, PublishCommand
from reachlink.kernel._lifecycle import _tune_garbage_collection
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
from reachlink.routing import PublishedTable, Route, RoutingIndex, TableReader, patch_between
from reachlink.settings import ROUTING_PATH
from reachlink.testing import run_virtually
from reachlink.testing._measures import percentile
from reachlink.testing._settings_world import MBIT, Deployment, Names, published, routes

T = TypeVar("T")
F = TypeVar("F")

RESULTS = Path(__file__).parent / "results"
COSTS = RESULTS / "table_costs.json"
VOTERS = RESULTS / "table_voters.json"
LOOKUP_TIMES = RESULTS / "table_lookups.json"
RESTARTS = RESULTS / "table_restarts.json"
TIMES = RESULTS / "table_times.json"
RUNS = 5
LINK = 5 * MBIT
# Row of changes: how many, and the seconds between two of them.
ROWS = {"one": (1, 0.0), "five in a second": (5, 0.2), "each 0.25 s for 20 s": (80, 0.25)}
# How long a row of changes may take until it is in force, in virtual seconds.
SETTLE_S = 15.0
# Look-ups that are measured, and the host whose routes they find.
LOOKUPS = 400
HOST = "a.example"
# Changes that a voter applies before its state is measured.
VOTER_CHANGES = 20

app = App(help=__doc__)


class Saved(msgspec.Struct, Generic[F]):
    """A results file."""

    environment: dict[str, object]
    figures: list[F]


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


class VoterFigures(msgspec.Struct, kw_only=True):
    """What a voter holds after twenty changes of one route each, in bytes."""

    routes: int
    log_entry_bytes: int
    snapshot_bytes: int
    remembered_deltas: int
    remembered_bytes: int


class LookupFigures(msgspec.Struct, kw_only=True):
    """What finding a request's route costs where all are of one host, in microseconds."""

    routes: int
    walked_us: float
    by_length_us: float


class RestartFigures(msgspec.Struct, kw_only=True):
    """When instances that start at once have the table, in virtual milliseconds.

    Counted from the first question of each.
    """

    routes: int
    watchers: int
    p50_ms: float
    last_ms: float
    bytes_an_instance: int


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
    _tune_garbage_collection()
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


def measure_voter(count: int) -> VoterFigures:
    """Apply a row of changes to the state of a voter."""
    machine = ControlMachine()
    table = published(1, routes(count, Names()))
    for number in range(1, VOTER_CHANGES + 2):
        command = encode(PublishCommand(table, "operator", "here", 1.0))
        machine.apply(number, 1, command)
        table = changed(table, number + 1, 0)
    deltas = machine.deltas_since(1) or []
    return VoterFigures(
        routes=count,
        log_entry_bytes=len(command),
        snapshot_bytes=len(machine.snapshot()),
        remembered_deltas=len(deltas),
        remembered_bytes=len(encode(deltas)),
    )


def measure_lookup(count: int) -> LookupFigures:
    """Look up routes of one host, walking them as before and by the index."""
    decoded = published(1, routes(count, Names())).decode()
    table_routes = tuple(replace(route, host=HOST) for route in decoded.routes)
    index = RoutingIndex(replace(decoded, routes=table_routes))
    walked = sorted(table_routes, key=lambda route: -len(route.path_prefix))
    paths = [route.path_prefix for route in table_routes[:: max(1, count // LOOKUPS)]]

    def walk(path: str) -> Route:
        return next(route for route in walked if path.startswith(route.path_prefix))

    walk_ms, by_walking = least(lambda: [walk(path) for path in paths])
    index_ms, by_index = least(lambda: [index.route(HOST, path) for path in paths])
    assert by_walking == by_index
    return LookupFigures(
        routes=count,
        walked_us=round(1000.0 * walk_ms / len(paths), 2),
        by_length_us=round(1000.0 * index_ms / len(paths), 2),
    )


async def play_restart(count: int, watchers: int) -> RestartFigures:
    """Let all instances start with nothing while a table is in force."""
    async with Deployment(entries=watchers, rate=LINK) as deployment:
        deployment.publish(published(1, routes(count, Names())))
        await asyncio.sleep(SETTLE_S)
        times = [1000.0 * (e.in_force[1] - e.asks_from) for e in deployment.entries]
        carried = sum(entry.link.carried for entry in deployment.entries)
    return RestartFigures(
        routes=count,
        watchers=watchers,
        p50_ms=round(percentile(times, 0.5), 1),
        last_ms=round(max(times), 1),
        bytes_an_instance=round(carried / watchers),
    )


def measure_rows(count: int, watchers: int) -> list[ForceFigures]:
    """Play every row of changes for one size."""
    found = []
    for name, (changes, gap_s) in ROWS.items():
        figures = run_virtually(play_row(count, watchers, changes, gap_s))
        found.append(msgspec.structs.replace(figures, changes=name))
    return found


Figures = ChangeFigures | LookupFigures | VoterFigures | RestartFigures | ForceFigures


def read_figures(path: Path, kind: type[F]) -> list[F]:
    """Return figures that were written."""
    found: list[F] = msgspec.json.decode(path.read_bytes(), type=Saved[kind]).figures  # type: ignore[valid-type]
    return found


def save(path: Path, figures: Sequence[Figures]) -> None:
    """Print figures and write them with what they were measured on."""
    for figure in figures:
        print(msgspec.json.encode(figure).decode(), flush=True)
    body = msgspec.json.encode({"environment": describe(), "figures": list(figures)})
    path.write_bytes(msgspec.json.format(body, indent=1) + b"\n")


@app.default
def run(
    *,
    sizes: list[int] | None = None,
    watchers: list[int] | None = None,
    costs: bool = True,
    restarts: bool = True,
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
        Measure what one change costs, what a look-up costs, and what voters hold.
    restarts : bool
        Measure when all instances have the table after a start of all.
    times : bool
        Measure when changes are in force: some five minutes.
    """
    counts = sizes or [40, 1440, 10_000]
    if costs:
        changes = {"one route": 0, "1,400 routes more": 1400}
        save(COSTS, [measure_change(c, name, changes[name]) for c in counts for name in changes])
        save(LOOKUP_TIMES, [measure_lookup(count) for count in [*counts, 4240]])
        save(VOTERS, [measure_voter(count) for count in counts])
    if restarts:
        numbers = watchers or [65, 195, 410]
        save(RESTARTS, [run_virtually(play_restart(c, n)) for c in counts for n in numbers])
    if times:
        numbers = watchers or [8, 65, 195]
        save(TIMES, [row for c in counts for n in numbers for row in measure_rows(c, n)])


if __name__ == "__main__":
    app()
