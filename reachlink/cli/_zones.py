"""``reachlink zones``: take an availability zone out of service, and back."""

import asyncio
from typing import Any

from cyclopts import App

from reachlink.cli._client import Target, checked, get, request
from reachlink.cli._options import Connection
from reachlink.cli._output import run, show_json, show_line

_HERE = Connection()

app = App(name="zones", help="Availability zones: list, take out of service, take back.")


@app.command(name="list")
def list_zones(*, connection: Connection = _HERE) -> None:
    """Show the last order about each zone, and how many instances have it in force."""
    zones, status = run(_zones_and_status(connection.target()))
    if connection.json:
        show_json(zones)
        return
    revisions = _revisions(status)
    for zone, order in zones["zones"].items():
        in_force = sum(revision >= order["revision"] for revision in revisions.values())
        show_line(zone=zone, **order, in_force=in_force, instances=len(revisions))


@app.command(name="out")
def take_out(zone: str, *, reason: str = "", connection: Connection = _HERE) -> None:
    """Send nothing more to a zone's replicas; what runs there ends there.

    Parameters
    ----------
    zone : str
        The availability zone.
    reason : str
        Why, for the audit trail.
    """
    run(_order(connection, zone, True, reason))


@app.command(name="back")
def take_back(zone: str, *, reason: str = "", connection: Connection = _HERE) -> None:
    """Send to a zone's replicas again.

    Parameters
    ----------
    zone : str
        The availability zone.
    reason : str
        Why, for the audit trail.
    """
    run(_order(connection, zone, False, reason))


async def _zones_and_status(target: Target) -> tuple[Any, Any]:
    zones, status = await asyncio.gather(get(target, "/v1/zones"), get(target, "/v1/status"))
    return zones, status


def _revisions(status: dict[str, Any]) -> dict[str, int]:
    """Return the revision in force at each entry instance, as it told last."""
    found: dict[str, int] = {}
    for control in status["controls"].values():
        for watcher in control.get("watchers", []):
            name = watcher["instance"]
            found[name] = max(found.get(name, 0), watcher["revision"])
    return found


async def _order(connection: Connection, zone: str, out_of_service: bool, reason: str) -> None:
    body = {"out_of_service": out_of_service, "reason": reason}
    reply = await request(connection.target(), "POST", f"/v1/zones/{zone}", json=body)
    show_line(zone=zone, out_of_service=out_of_service, **checked(reply))
