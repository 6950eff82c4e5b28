"""What a result was measured on."""

import os
import platform
import subprocess
from datetime import UTC, datetime


def describe() -> dict[str, object]:
    """Return the machine, the commit and the day of a measurement."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    return {
        "commit": commit,
        "date": datetime.now(UTC).date().isoformat(),
        "python": platform.python_version(),
        "processors": os.cpu_count(),
        "machine": platform.machine(),
    }
