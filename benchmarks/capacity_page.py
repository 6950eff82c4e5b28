"""``make capacity``: writes the tables of ``docs/CAPACITY.md`` from the measured slopes.

With ``--check`` it only says whether the page is what the committed results
give; CI runs that, so that text and figures cannot drift apart.
"""

import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec
from cyclopts import App

from benchmarks._slope import Slope
from benchmarks.bench_tables import (
    COSTS,
    RESTARTS,
    VOTERS,
    ChangeFigures,
    RestartFigures,
    VoterFigures,
    read_figures,
)
from benchmarks.slopes import RESULTS
from benchmarks.sweep_figures import newest_sweeps, sweep_tables

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- generated: {} -->"
END = "<!-- end -->"

DAEMONS = 410
REPLICAS = 710
ZONES = 5
MODELS = 8
WORKSPACES = 2600
REQUESTS_PER_S = 5800
TOKENS_PER_S = 1_500_000
GAP_S = 0.027
CONTROLS = 4
KEYS_HELD = 2048
GROUP_PEERS = 7
CLAIM_SHARE = 0.01
CLAIM_HOURS = 24
CHANGES_A_DAY = 1200
DAY_S = 86_400

app = App(help=__doc__)


class Results(msgspec.Struct):
    """The results file of the slopes."""

    environment: dict[str, object]
    floor_mb: float
    slopes: list[Slope]


@dataclass(slots=True, frozen=True)
class Row:
    """One figure at the target size.

    ``budget`` of 0 means that none is set.
    """

    role: str
    what: str
    formula: str
    value: float
    unit: str
    budget: float
    mechanism: str


def load() -> Results:
    """Return the committed slopes."""
    return msgspec.json.decode(RESULTS.read_bytes(), type=Results)


def table_rows() -> list[Row]:
    """Return the figures of the largest routing table that was measured."""
    changes = read_figures(COSTS, ChangeFigures)
    restarts = read_figures(RESTARTS, RestartFigures)
    voters = read_figures(VOTERS, VoterFigures)
    size = max(figures.routes for figures in changes)
    change = next(f for f in changes if f.routes == size)
    start = max((f for f in restarts if f.routes == size), key=lambda f: f.watchers)
    voter = next(f for f in voters if f.routes == size)
    own, held, way = "entry daemon", "control voter", "today's: differences, pieces (spreading)"
    per_day = f"measured at {size} routes, {CHANGES_A_DAY} a day"
    return [
        Row(own, "changes of the routing table", per_day,
            CHANGES_A_DAY * change.instance_ms / 1000 / DAY_S * 100, "% of a core", 1.7, way),
        Row(own, "changes of the routing table, received", per_day,
            CHANGES_A_DAY * change.pieces_bytes / 1000 / DAY_S, "KB/s", 3, way),
        Row(own, "longest hold of the loop by a change", f"measured at {size} routes",
            change.longest_hold_ms, "ms", 5, way),
        Row(own, "the routing table after a start of all",
            f"measured at {size} routes, {start.watchers} daemons, 5 Mbit/s each",
            start.last_ms / 1000, "s", 5, way),
        Row(held, "a change of the routing table, sent",
            f"measured at {size} routes x {DAEMONS / CONTROLS:.0f} daemons",
            change.pieces_bytes * DAEMONS / CONTROLS / 1e6, "MB", 0, way),
        Row(held, "the routing table after a start of all, sent",
            f"measured at {size} routes x {DAEMONS / CONTROLS:.0f} daemons",
            start.bytes_an_instance * DAEMONS / CONTROLS / 1e6, "MB", 0, way),
        Row(held, "a snapshot of the routing table", f"measured at {size} routes",
            voter.snapshot_bytes / 1e6, "MB", 0, "today's: snapshots (agreement)"),
    ]  # fmt: skip


def rows(results: Results) -> list[Row]:
    """Return every figure, worked out from the slopes."""
    by_name = {slope.name: slope for slope in results.slopes}

    def at(name: str, x: float) -> float:
        return by_name[name].intercept + by_name[name].slope * x

    def more(name: str, x: float) -> float:
        return by_name[name].slope * x

    tokens = TOKENS_PER_S / DAEMONS
    streams = TOKENS_PER_S * GAP_S / DAEMONS
    watchers = DAEMONS / CONTROLS
    claims_per_s = REQUESTS_PER_S * CLAIM_SHARE
    claims = claims_per_s * 3600 * CLAIM_HOURS
    zone_replicas = REPLICAS / ZONES
    own = "entry daemon"
    voter = "control voter"
    today, will = "today's", "to be built"
    digest_bytes = at("digest size", zone_replicas / MODELS)
    return [
        Row(own, "tokens relayed", f"slope x {tokens:.0f} tokens/s", more("token load", tokens),
            "% of a core", 0, f"{today}: delivery"),
        Row(own, "memory of streams", f"slope x {streams:.0f} streams",
            more("stream memory", streams), "MB", 0, f"{today}: delivery"),
        Row(own, "settings", f"slope x {WORKSPACES}", at("settings memory", WORKSPACES), "MB", 32,
            f"{today}: sparse tree (settings)"),
        Row(own, "learned lengths", f"slope x {KEYS_HELD} keys at most",
            at("length memory", KEYS_HELD), "MB", 32, f"{today}: bounded (lengths)"),
        Row(own, "a decision", f"line at {zone_replicas:.0f} replicas",
            at("decision", zone_replicas), "us", 100, f"{today}: eight candidates (placement)"),
        Row(own, "forecast refresh", f"line at {streams:.0f} streams, 4 a second",
            4 * at("forecast refresh", streams) / 1e4, "% of a core", 0,
            f"{today}: additive profiles (placement)"),
        Row(own, "control, peers all to all", f"line at {DAEMONS - 1} peers",
            at("peer digests", DAEMONS - 1), "% of a core", 1.7, f"{today}: does not carry it"),
        Row(own, "control, groups of eight", f"line at {GROUP_PEERS} peers",
            at("peer digests", GROUP_PEERS), "% of a core", 1.7, f"{will}: groups (spreading)"),
        Row(own, "digests sent, all to all", f"{DAEMONS - 1} x line at 18 replicas a second",
            (DAEMONS - 1) * digest_bytes / 1000, "KB/s", 3, f"{today}: does not carry it"),
        Row(own, "digests sent, groups of eight",
            f"{GROUP_PEERS} x line at 18 replicas every 4 s",
            GROUP_PEERS * digest_bytes / 4000, "KB/s", 3, f"{will}: groups, changes only"),
        Row(own, "reading load and cache", "line at 16 replicas; bounded a round",
            at("replica polling", 16), "% of a core", 1.7, f"{today}: bounded reads (placement)"),
        Row(own, "settings watch", "one exchange in 2 s", more("watch messages", 1.0),
            "messages/s", 0, f"{today}: long poll (spreading)"),
        Row(voter, "watchers", f"line at {watchers:.0f} daemons",
            at("control load", watchers), "% of a core", 0, f"{today}: long poll (spreading)"),
        Row(voter, "an edit", f"line at {WORKSPACES} workspaces", at("edit", WORKSPACES), "ms", 0,
            f"{today}: checked as a whole (settings)"),
        Row(voter, "a snapshot of the settings", f"line at {WORKSPACES} workspaces",
            at("snapshot size", WORKSPACES), "MB", 0, f"{today}: snapshots (agreement)"),
        Row(voter, "claims a second", f"{CLAIM_SHARE:.0%} of {REQUESTS_PER_S}/s, two commands",
            2 * claims_per_s, "commands/s", 1000, f"{today}: one sync for many (agreement)"),
        Row(voter, "memory of claims", f"slope x {claims / 1e6:.1f} million kept",
            more("claim memory", claims), "MB", 1024, f"{today}: does not carry it"),
        Row(voter, "snapshot of claims", f"slope x {claims / 1e6:.1f} million kept",
            more("claim snapshot", claims), "MB", 64, f"{today}: does not carry it"),
        *table_rows(),
    ]  # fmt: skip


def slope_table(results: Results) -> str:
    """Return the table of measured slopes."""
    lines = ["| slope | y | intercept | per one more of x | x | points measured |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for slope in results.slopes:
        points = ", ".join(f"{x:g}: {y:g}" for x, y in slope.points)
        lines.append(
            f"| {slope.name} | {slope.y} | {slope.intercept:.4g} | {slope.slope:.4g} "
            f"| {slope.x} | {points} |"
        )
    return "\n".join(lines)


def budget_table(results: Results) -> str:
    """Return the table of figures at the target size."""
    lines = ["| role | what | worked out as | figure | budget | headroom | mechanism |"]
    lines.append("| --- | --- | --- | --- | --- | --- | --- |")
    for row in rows(results):
        budget = f"{row.budget:g} {row.unit}" if row.budget else "none set"
        left = "" if not row.budget else _headroom(row)
        lines.append(
            f"| {row.role} | {row.what} | {row.formula} | {row.value:.3g} {row.unit} "
            f"| {budget} | {left} | {row.mechanism} |"
        )
    return "\n".join(lines)


def environment_line(results: Results) -> str:
    """Return what the slopes were measured on."""
    found = results.environment
    return (
        f"Measured on {found['date']} at commit {found['commit']}, Python {found['python']}, "
        f"{found['processors']} processors ({found['machine']}). Floor of the interpreter "
        f"and the libraries: {results.floor_mb:g} MB."
    )


def fill(page: str, results: Results) -> str:
    """Return the page with its generated parts replaced."""
    parts = {
        "environment": environment_line(results),
        "slopes": slope_table(results),
        "budgets": budget_table(results),
        "sweeps": sweep_tables(newest_sweeps()),
    }
    for name, text in parts.items():
        start = page.index(BEGIN.format(name)) + len(BEGIN.format(name))
        end = page.index(END, start)
        page = f"{page[:start]}\n\n{text}\n\n{page[end:]}"
    return page


def _headroom(row: Row) -> str:
    if row.value <= row.budget:
        return f"{1 - row.value / row.budget:.0%}"
    return f"**over by {row.value / row.budget:.3g} times**"


@app.default
def run(*, check: bool = False) -> None:
    """Write the tables, or with --check say whether they are up to date.

    Parameters
    ----------
    check : bool
        Change nothing; fail if something would change.
    """
    page = PAGE.read_text()
    fresh = fill(page, load())
    if not check:
        PAGE.write_text(fresh)
    elif fresh != page:
        sys.exit("docs/CAPACITY.md is not what the results give: run `make capacity`")


if __name__ == "__main__":
    app()
