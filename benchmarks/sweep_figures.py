"""What runs of one load at growing numbers of instances show, from the journal's entries.

The newest entry of each deployment and commit counts. The tables go into ``docs/CAPACITY.md``
(``make capacity``).
"""

import re
from dataclasses import dataclass
from pathlib import Path

import msgspec

JOURNAL = Path(__file__).parent.parent / "journal"
# Gaps between the columns of the figures.
_COLUMNS = re.compile(r"\s{2,}")
# Measures that the page shows.
_SHOWN = (
    "processor %",
    "memory MB",
    "kB a second",
    "connections",
    "config acked, ms",
    "leaving in force, ms",
    "serving after all were killed, ms",
)


class _Day(msgspec.Struct):
    name: str
    used: int
    served: float
    score: float
    rules: dict[str, object] = {}
    fault: str | None = None


class _Entry(msgspec.Struct):
    id: str
    at: list[str]
    cmd: str
    site: str | None = None
    ok: bool | None = None
    head: str = ""
    digest: str = ""
    days: list[_Day] = []


class _Kind(msgspec.Struct):
    cmd: str = ""


@dataclass(slots=True, frozen=True)
class Size:
    """The load at one number of instances."""

    instances: int
    served: float
    rules_broken: int


@dataclass(slots=True, frozen=True)
class Measure:
    """A figure of the busiest instance, or the longest time, at each size.

    Attributes
    ----------
    name : str
        With its role and unit.
    busiest : tuple of str
        At each size.
    power : str
        With which power of the number of instances it grows.
    at_target : str
        Carried on to the deployment's own target size; not played.
    """

    name: str
    busiest: tuple[str, ...]
    power: str
    at_target: str


@dataclass(slots=True, frozen=True)
class Sweep:
    """One deployment's load at growing numbers of instances."""

    deployment: str
    commit: str
    sizes: tuple[Size, ...]
    measures: tuple[Measure, ...]


def newest_sweeps(folder: Path = JOURNAL) -> list[Sweep]:
    """Return the newest whole run of each deployment and commit, in order of their names."""
    kind = msgspec.json.Decoder(_Kind).decode
    decode = msgspec.json.Decoder(_Entry).decode
    found: dict[tuple[str, str], _Entry] = {}
    for path in sorted(folder.glob("*.json")):
        raw = path.read_bytes()
        if kind(raw).cmd != "sweep":
            continue
        entry = decode(raw)
        if entry.site and entry.ok and len(entry.days) > 2:
            found[entry.site, entry.head] = entry
    return [_sweep(entry) for _, entry in sorted(found.items())]


def sweep_tables(sweeps: list[Sweep]) -> str:
    """Return the page's tables of all deployments."""
    if not sweeps:
        return "None was run."
    return "\n\n".join(_table(sweep) for sweep in sweeps)


def _sweep(entry: _Entry) -> Sweep:
    days = sorted(entry.days, key=lambda day: day.used)
    sizes = tuple(
        Size(day.used, day.served, len(day.rules) + (day.fault is not None)) for day in days
    )
    measures = [m for line in entry.digest.splitlines() if (m := _measure(line, len(sizes)))]
    return Sweep(entry.site or "", entry.head[:7], sizes, tuple(measures))


def _measure(line: str, sizes: int) -> Measure | None:
    """Return what a line of figures says, or None for any other line."""
    name, *columns = _COLUMNS.split(line.strip())
    if len(columns) < sizes + 1 or not all("/" in column for column in columns[:sizes]):
        return None
    busiest = tuple(column.partition("/")[2].strip() for column in columns[:sizes])
    power, at_target = columns[sizes], columns[-1] if len(columns) > sizes + 1 else ""
    return Measure(name, busiest, power, at_target)


def _table(sweep: Sweep) -> str:
    heads = " | ".join(f"{size.instances} instances" for size in sweep.sizes)
    lines = [
        f"`{sweep.deployment}` (commit {sweep.commit}):",
        "",
        f"| busiest instance, or longest time | {heads} | power | at its target |",
        "| --- |" + " --- |" * (len(sweep.sizes) + 2),
        _row("served of what was asked", [f"{size.served:.3f}" for size in sweep.sizes]),
        _row("rules broken", [str(size.rules_broken) for size in sweep.sizes]),
    ]
    for measure in sweep.measures:
        if measure.name.partition(": ")[2] in _SHOWN or measure.name in _SHOWN:
            lines.append(_row(measure.name, measure.busiest, measure.power, measure.at_target))
    return "\n".join(lines)


def _row(name: str, cells: list[str] | tuple[str, ...], power: str = "", target: str = "") -> str:
    return f"| {name} | {' | '.join(cells)} | {power} | {target} |"
