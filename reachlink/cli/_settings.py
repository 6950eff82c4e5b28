"""``reachlink settings``."""

from pathlib import Path
from typing import Any

import msgspec
from cyclopts import App

from reachlink.cli._client import Target, edit, get
from reachlink.cli._options import Connection
from reachlink.cli._output import run, show_json, show_line
from reachlink.cli.exceptions import RefusedError
from reachlink.settings import Change, diff_values, from_document, parse_path

app = App(name="settings", help="Show and change the settings in force.")
_HERE = Connection()


@app.command(name="get")
def show(path: str = "", *, connection: Connection = _HERE) -> None:
    """Show the settings that operators have set, all or those under a path.

    Parameters
    ----------
    path : str
        Start of the paths to show.
    """
    body = run(get(connection.target(), "/v1/settings", params={"form": "flat"}))
    chosen = {p: v for p, v in body["settings"].items() if _is_under(p, path)}
    if connection.json:
        show_json({"revision": body["revision"], "settings": chosen})
        return
    for name in sorted(chosen):
        show_line(**{name: chosen[name]})


@app.command(name="set")
def change(
    assignment: list[str],
    *,
    base: int | None = None,
    edit_id: str = "",
    connection: Connection = _HERE,
) -> None:
    """Set values, all together or none.

    Parameters
    ----------
    assignment : list of str
        ``PATH=VALUE`` with the value in JSON; a bare word is a string.
    base : int
        Revision that the edit is made on; the newest if not given.
    edit_id : str
        Identifier of an edit that is sent again.
    """
    run(_edit(connection, [_assigned(text) for text in assignment], base, edit_id))


@app.command
def unset(
    path: list[str],
    *,
    base: int | None = None,
    edit_id: str = "",
    connection: Connection = _HERE,
) -> None:
    """Take values away, so that the inherited ones count again."""
    changes = [Change(p, unset=True) for p in path]
    run(_edit(connection, changes, base, edit_id))


@app.command
def apply(
    file: Path, *, base: int | None = None, edit_id: str = "", connection: Connection = _HERE
) -> None:
    """Make the settings equal to a JSON document, in one edit.

    Parameters
    ----------
    file : pathlib.Path
        Nested document, as ``export`` writes it.
    base : int
        Revision that the document is made on; the newest if not given.
    edit_id : str
        Identifier of an edit that is sent again.
    """
    run(_apply(connection, file, base, edit_id))


@app.command
def diff(file: Path, *, connection: Connection = _HERE) -> None:
    """Show what ``apply`` would change."""
    _, changes = run(_difference(connection.target(), file))
    if connection.json:
        show_json(changes)
        return
    for item in changes:
        show_line(path=item.path, to="(inherited)" if item.unset else item.value)


@app.command
def explain(path: str, *, connection: Connection = _HERE) -> None:
    """Show the value in force at a path and where it comes from."""
    body = run(get(connection.target(), "/v1/settings/explain", params={"path": path}))
    if connection.json:
        show_json(body)
        return
    show_line(**{path: body["value"], "from": body["from"]})


@app.command
def export(*, connection: Connection = _HERE) -> None:
    """Print the settings as one JSON document."""
    show_json(run(get(connection.target(), "/v1/settings"))["settings"])


@app.command
def history(*, limit: int = 20, connection: Connection = _HERE) -> None:
    """Show the latest accepted edits."""
    records = run(_history(connection.target()))[-limit:]
    if connection.json:
        show_json(records)
        return
    for record in records:
        for item in record["changes"]:
            show_line(
                revision=record["revision"],
                author=record["author"],
                path=item["path"],
                old=item["old"],
                new=item["new"],
            )


def _is_under(path: str, start: str) -> bool:
    return not start or path == start or path.startswith(f"{start}.")


def _assigned(text: str) -> Change:
    path, separator, raw = text.partition("=")
    if not separator:
        run(_refuse(f"{text!r} is not PATH=VALUE"))
    try:
        value: Any = msgspec.json.decode(raw)
    except msgspec.DecodeError:
        value = raw
    return Change(path, value)


async def _refuse(message: str) -> None:
    raise RefusedError(message)


async def _edit(
    connection: Connection, changes: list[Change], base: int | None, edit_id: str
) -> None:
    for item in changes:
        parse_path(item.path)
    body = await edit(connection.target(), changes, base, edit_id)
    if connection.json:
        show_json(body)
    else:
        show_line(accepted=True, revision=body["revision"], edit_id=body["edit_id"])


async def _difference(target: Target, file: Path) -> tuple[int, list[Change]]:
    try:
        document = msgspec.json.decode(file.read_bytes(), type=dict[str, Any])
    except (OSError, msgspec.DecodeError) as error:
        raise RefusedError(f"{file}: {error}") from error
    body = await get(target, "/v1/settings", params={"form": "flat"})
    return body["revision"], diff_values(body["settings"], from_document(document))


async def _apply(connection: Connection, file: Path, base: int | None, edit_id: str) -> None:
    newest, changes = await _difference(connection.target(), file)
    if not changes:
        show_line(accepted=False, reason="nothing would change", revision=newest)
        return
    await _edit(connection, changes, newest if base is None else base, edit_id)


async def _history(target: Target) -> list[Any]:
    found: list[Any] = []
    since = 0
    while True:
        params = {"since": str(since), "limit": "1000"}
        records = (await get(target, "/v1/audit", params=params))["records"]
        if not records:
            return found
        found += [r for r in records if r["action"] == "edit" and r["accepted"]]
        since = records[-1]["sequence"]
