"""A control daemon whose disk fails once a file beside its configuration says so.

Run as ``python -m reachlink.control.tests.faulty_disk CONFIG``.
"""

import errno
import os
import sys
import time
from pathlib import Path

from reachlink.agreement import Files
from reachlink.control import ControlConfig, ControlDaemon
from reachlink.kernel import load_config, run_daemon
from reachlink.telemetry import configure_logs

POLL_S = 0.01


def install_faults(folder: Path) -> None:
    """Have syncs hang while `folder` holds ``hang``, and fail while it holds ``fail``.

    With ``break`` they fail with an error of a kind that nobody expects.
    """
    whole_sync = Files.sync

    def sync(files: Files, descriptor: int) -> None:
        while (folder / "hang").exists():
            time.sleep(POLL_S)
        if (folder / "break").exists():
            raise RuntimeError("an error that nobody expects")
        if (folder / "fail").exists():
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        whole_sync(files, descriptor)

    Files.sync = sync  # type: ignore[method-assign, assignment]


if __name__ == "__main__":
    path = Path(sys.argv[1])
    install_faults(path.parent)
    configure_logs(instance="control-1", availability_zone="zone")
    config = load_config(path, ControlConfig)
    sys.exit(run_daemon(lambda: ControlDaemon(config)))
