"""Writes the table of settings in ``docs/configuration.md`` from their definitions."""

import sys
from pathlib import Path

import msgspec
from cyclopts import App

from reachlink.settings import SETTINGS

PAGE = Path(__file__).parent.parent / "docs" / "configuration.md"
BEGIN = "<!-- generated: settings -->"
END = "<!-- end -->"

app = App(help=__doc__)


def table() -> str:
    """Return one row for each setting."""
    lines = ["| setting | default | stands in | meaning |", "| --- | --- | --- | --- |"]
    for name, setting in sorted(SETTINGS.items()):
        default = msgspec.json.encode(setting.default).decode()
        scopes = ", ".join(sorted(setting.scopes)).lower()
        lines.append(f"| `{name}` | `{default}` | {scopes} | {setting.description} |")
    return "\n".join(lines)


@app.default
def run(*, check: bool = False) -> None:
    """Write the table, or with --check say whether it is up to date."""
    page = PAGE.read_text()
    start = page.index(BEGIN) + len(BEGIN)
    fresh = f"{page[:start]}\n\n{table()}\n\n{page[page.index(END, start) :]}"
    if not check:
        PAGE.write_text(fresh)
    elif fresh != page:
        sys.exit("docs/configuration.md is out of date: run `make capacity`")


if __name__ == "__main__":
    app()
