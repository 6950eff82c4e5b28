"""Command line of the control daemon."""

import sys
from pathlib import Path

from cyclopts import App

from reachlink.agreement import Member, StorageError
from reachlink.control._config import ControlConfig
from reachlink.control._daemon import ControlDaemon, found_cluster, founding_id
from reachlink.kernel import ConfigError, load_config, run_daemon
from reachlink.telemetry import configure_logs

app = App(name="reachlink-control", help="One replica of the operators' settings.")


@app.default
def run(config: Path) -> None:
    """Run the daemon until a signal ends it.

    Parameters
    ----------
    config : pathlib.Path
        Configuration file in JSON.
    """
    loaded = _load(config)
    configure_logs(instance=loaded.name, availability_zone=loaded.availability_zone)
    sys.exit(run_daemon(lambda: ControlDaemon(loaded)))


@app.command
def init(config: Path, *, cluster: str, members: list[str]) -> None:
    """Make this instance a founding member; its data folder must be empty.

    Run it once for each founding member, with the same members, before the
    first start. An instance that joins later, or whose disk was replaced, is
    started without it and added with ``reachlink members add``.

    Parameters
    ----------
    config : pathlib.Path
        Configuration file in JSON.
    cluster : str
        Name of the cluster.
    members : list of str
        Each founding member as ``name,host:port,availability_zone``.
    """
    loaded = _load(config)
    founding = [_member(text) for text in members]
    try:
        identity = found_cluster(loaded, cluster, founding)
    except StorageError as error:
        sys.exit(f"error: {error}")
    print(f"founded {identity.cluster} as {identity.node_id}")


def main() -> None:
    """Run the command line."""
    app()


def _load(path: Path) -> ControlConfig:
    try:
        return load_config(path, ControlConfig)
    except ConfigError as error:
        sys.exit(f"error: {error}")


def _member(text: str) -> Member:
    parts = text.split(",")
    if len(parts) != 3:
        sys.exit(f"error: --members: {text!r} is not name,host:port,availability_zone")
    name, address, zone = parts
    return Member(founding_id(name), address, zone, True)
