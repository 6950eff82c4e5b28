"""How long the daemons take to load: callers wait for it where every process has died.

Prints the least processor time of several fresh processes, in seconds. Least of
six beside load, for the entry daemon: 1.85 before the certificates, the chat
daemon and the command line's terminal library were left out, 1.08 after. The
last one is loaded where it is installed, so that the figure is that of
`deploy/requirements.txt` only in an environment made from it.
"""

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
# Modules that each daemon loads on the users' platform.
PROGRAM = (
    "import time, sys\n"
    "import reachlink_platform._daemons\n"
    "unwanted = [m for m in ('rich', 'cyclopts', 'reachlink.entry._chat') if m in sys.modules]\n"
    "print(time.process_time(), ','.join(unwanted))\n"
)
REPEATS = 6


def load_once() -> tuple[float, str]:
    """Return the processor time of one start, and what was loaded in vain."""
    path = os.pathsep.join([str(ROOT), str(ROOT / "platform")])
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env={"PYTHONPATH": path, "PATH": "", "SSL_CERT_FILE": os.devnull},
        capture_output=True,
        text=True,
        check=True,
    )
    seconds, _, unwanted = done.stdout.strip().partition(" ")
    return float(seconds), unwanted


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=REPEATS)
    words = parser.parse_args()
    found = [load_once() for _ in range(words.repeats)]
    print(json.dumps({"least_processor_s": min(found)[0], "unwanted": found[0][1]}))


if __name__ == "__main__":
    main()
