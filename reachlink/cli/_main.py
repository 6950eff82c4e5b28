"""The operators' command line."""

from cyclopts import App

from reachlink import __version__
from reachlink.cli import _logs, _operations
from reachlink.cli._quarantine import app as quarantine_app
from reachlink.cli._settings import app as settings_app
from reachlink.cli._zones import app as zones_app

app = App(
    name="reachlink",
    version=__version__,
    help=(
        "Operate reachlink. Exit codes: 0 done, 2 refused, 3 another edit won, "
        "4 no answer or outcome unknown."
    ),
)
app.command(settings_app)
app.command(zones_app)
app.command(quarantine_app)
app.command(_operations.members_app)
app.command(_operations.status)
app.command(_operations.audit)
app.command(_operations.explain)
app.command(_logs.losses)
app.command(_logs.trace)


def main() -> None:
    """Run the command line."""
    app()
