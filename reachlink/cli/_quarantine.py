"""``reachlink quarantine``: requests that are held since replicas crash under them."""

from cyclopts import App

from reachlink.cli._client import checked, get, request
from reachlink.cli._options import Connection
from reachlink.cli._output import run, show_json, show_line

_HERE = Connection()

app = App(name="quarantine", help="Requests under which replicas crash: list, let go.")


@app.command(name="list")
def list_held(*, connection: Connection = _HERE) -> None:
    """Show the requests that are held, with the crashes that they explain."""
    found = run(get(connection.target(), "/v1/quarantine"))
    if connection.json:
        show_json(found)
        return
    for held in found["held"]:
        show_line(**{**held, "replicas": ",".join(held["replicas"])})


@app.command(name="release")
def release(fingerprint: str, *, connection: Connection = _HERE) -> None:
    """Let a request go; it is held again once as many replicas have crashed under it.

    Parameters
    ----------
    fingerprint : str
        The request, as logs and the list name it.
    """
    run(_release(connection, fingerprint))


async def _release(connection: Connection, fingerprint: str) -> None:
    path = f"/v1/quarantine/{fingerprint}/release"
    show_line(**checked(await request(connection.target(), "POST", path, json={})))
