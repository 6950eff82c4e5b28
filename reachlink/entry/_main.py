"""Command line of the entry daemon."""

import sys
from pathlib import Path

from cyclopts import App

from reachlink.entry._config import EntryConfig
from reachlink.entry._daemon import EntryDaemon
from reachlink.kernel import ConfigError, load_config, run_daemon
from reachlink.telemetry import configure_logs

app = App(name="reachlink-entry", help="Takes callers' requests and relays their answers.")


@app.default
def run(config: Path) -> None:
    """Run the daemon until a signal ends it.

    Parameters
    ----------
    config : pathlib.Path
        Configuration file in JSON.
    """
    try:
        loaded = load_config(config, EntryConfig)
    except ConfigError as error:
        sys.exit(f"error: {error}")
    configure_logs(instance=loaded.name, availability_zone=loaded.availability_zone)
    sys.exit(run_daemon(lambda: EntryDaemon(loaded)))


def main() -> None:
    """Run the command line."""
    app()
