"""``reachlink status``, ``audit``, ``members`` and ``explain``."""

import asyncio
from typing import Any

import msgspec
from cyclopts import App

from reachlink.cli._client import Target, checked, get, request
from reachlink.cli._options import Connection
from reachlink.cli._output import run, show_json, show_line
from reachlink.cli.exceptions import CliError
from reachlink.control import AuditRecord, check_chain

FOLLOW_PAUSE_S = 1.0
PAGE = 1000
_HERE = Connection()

members_app = App(name="members", help="Replicas of the settings: list, add, promote, remove.")


def status(*, connection: Connection = _HERE) -> None:
    """Show the replicated log, the revision in force at each instance, and who lags."""
    body = run(get(connection.target(), "/v1/status"))
    if connection.json:
        show_json(body)
        return
    newest = body["revision"]
    for address, control in body["controls"].items():
        if "unreachable" in control:
            show_line(control=address, unreachable=control["unreachable"])
            continue
        _show_control(address, control, newest)


def _show_control(address: str, control: dict[str, Any], newest: int) -> None:
    show_line(
        control=address,
        node=control["node_id"],
        role=control["role"],
        term=control["term"],
        revision=control["revision"],
        lag=newest - control["revision"],
        disk_bytes=control["disk_bytes"],
    )
    for watcher in control["watchers"]:
        show_line(
            instance=watcher["instance"],
            revision=watcher["revision"],
            lag=newest - watcher["revision"],
            silent_s=round(watcher["silent_s"], 1),
        )


def audit(
    *, since: int = 0, follow: bool = False, check: bool = False, connection: Connection = _HERE
) -> None:
    """Read the audit trail.

    Parameters
    ----------
    since : int
        Show records after this sequence number.
    follow : bool
        Go on with new records until interrupted.
    check : bool
        Check the chain of digests and show nothing else.
    """
    target = connection.target()
    if check:
        run(_check(target))
        return
    run(_follow(target, since, follow, connection.json))


def explain(request_id: str, *, connection: Connection = _HERE) -> None:
    """Show why a request was placed where it was, from the instance that decided."""
    show_json(run(_explain(connection.target(), request_id)))


@members_app.command(name="list")
def list_members(*, connection: Connection = _HERE) -> None:
    """Show the replicas of the log as the leader sees them."""
    body = run(get(connection.target(), "/v1/status"))
    for control in body["controls"].values():
        if control.get("role") != "leader":
            continue
        for replica in control["replicas"]:
            show_line(**replica)


@members_app.command
def add(
    node_id: str, address: str, availability_zone: str, *, connection: Connection = _HERE
) -> None:
    """Let a replica follow the log; it does not vote yet."""
    run(_change(connection, "add", node_id, address, availability_zone))


@members_app.command
def promote(node_id: str, *, connection: Connection = _HERE) -> None:
    """Let a replica vote; refused until it has caught up."""
    run(_change(connection, "promote", node_id))


@members_app.command
def remove(node_id: str, *, connection: Connection = _HERE) -> None:
    """Take a replica out."""
    run(_change(connection, "remove", node_id))


async def _change(
    connection: Connection, action: str, node_id: str, address: str = "", zone: str = ""
) -> None:
    body = {
        "action": action,
        "node_id": node_id,
        "address": address,
        "availability_zone": zone,
    }
    reply = await request(connection.target(), "POST", "/v1/members", json=body)
    for member in checked(reply)["members"]:
        name, where, in_zone, voting = member
        show_line(node_id=name, address=where, availability_zone=in_zone, voting=voting)


async def _explain(target: Target, request_id: str) -> Any:
    # Each instance remembers its own decisions: ask all that were named.
    for address in target.addresses:
        reply = await request(Target((address,), target.key), "GET", f"/v1/explain/{request_id}")
        if reply.status == 200:
            return reply.body
    raise CliError("none of the instances has this decision (any more)")


async def _page(target: Target, since: int) -> list[Any]:
    params = {"since": str(since), "limit": str(PAGE)}
    records: list[Any] = (await get(target, "/v1/audit", params=params))["records"]
    return records


async def _follow(target: Target, since: int, follow: bool, as_json: bool) -> None:
    while True:
        records = await _page(target, since)
        for record in records:
            since = record["sequence"]
            _show_record(record, as_json)
        if not records and not follow:
            return
        if not records:
            await asyncio.sleep(FOLLOW_PAUSE_S)


def _show_record(record: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(record).decode(), flush=True)
        return
    show_line(**{k: v for k, v in record.items() if v not in ("", [])})


async def _check(target: Target) -> None:
    records: list[AuditRecord] = []
    while page := await _page(target, records[-1].sequence if records else 0):
        records += msgspec.convert(page, list[AuditRecord])
    wrong = check_chain(records)
    if wrong is not None:
        raise CliError(f"the audit trail is broken at record {wrong}")
    show_line(records=len(records), chain="whole")
