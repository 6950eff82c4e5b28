"""``reachlink losses`` and ``trace``: what collected logs tell."""

from collections.abc import Iterator
from pathlib import Path

from reachlink.cli._output import reporting, show_line
from reachlink.cli.exceptions import CliError
from reachlink.telemetry import LogRecord, LossGroup, read_records, summarize_losses

# Events that tell why a request is held.
_ABOUT_CRASHES = frozenset(
    {"request_held", "run_broken", "quarantine_begun", "quarantine_ended", "request_cleared"}
)


@reporting
def losses(*files: Path, by: LossGroup = LossGroup.ROUTE) -> None:
    """Count why requests were lost or late, by route or another group.

    Parameters
    ----------
    files : path
        Logs of all entry instances of the same time.
    by : LossGroup
        Count by route, availability zone, the replica that it ran at last, or workspace.
    """
    account = summarize_losses(_records(files))
    for route, count in sorted(account.in_time.items()):
        show_line(route=route, in_time=count)
    counts = sorted(account.counts(by).items(), key=lambda item: (item[0][0], -item[1]))
    for (group, cause), count in counts:
        show_line(**{by.value: group}, lost_or_late=count, cause=cause.value)


@reporting
def trace(request_id: str, *files: Path) -> None:
    """Show every line about a request, the replicas that it used, and what holds it.

    A request that is held was sent to no replica: what holds it are the crashes under others
    with its fingerprint or with parts of its prompt.

    Parameters
    ----------
    request_id : str
        The request.
    files : path
        Logs of the instances; lines are ordered by the instances' own clocks.
    """
    records = list(_records(files))
    own = [record for record in records if record.request_id == request_id]
    if not own:
        raise CliError(f"no line about request {request_id!r} in {len(files)} files")
    shown = [r for r in records if r.request_id == request_id or _is_about(r, own)]
    for record in sorted(shown, key=lambda r: r.at):
        print(record.line)


def _is_about(record: LogRecord, own: list[LogRecord]) -> bool:
    """Return whether a line is about what a request used, or about the same request."""
    replicas = {r.fields.get("replica", "") for r in own} - {""}
    held_by = set().union(*(_digests(r) for r in own if r.event in _ABOUT_CRASHES))
    if record.event in _ABOUT_CRASHES and held_by & _digests(record):
        return True
    return not record.request_id and record.fields.get("replica") in replicas


def _digests(record: LogRecord) -> set[str]:
    """Return the digests of requests, their parts and verdicts that a line names."""
    names = ("fingerprint", "held_by", "parts", "digests")
    return {d for name in names for d in record.fields.get(name, "").split(",")} - {""}


def _records(files: tuple[Path, ...]) -> Iterator[LogRecord]:
    for path in files:
        try:
            with path.open() as lines:
                yield from read_records(lines)
        except OSError as error:
            raise CliError(f"{path}: {error.strerror}") from error
