"""Runs one case and turns what it found into the exit code that a script has to give."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from fleet import CannotRunError
from standins import Record

Play = Callable[[Record, bool], Awaitable[list[str]]]
"""Plays a case, with the disruption or without, and returns how the rule was broken."""
# Longest time in seconds that a case may take.
LONGEST_S = 110.0


def main(folder: Path, play: Play) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("begins", trouble=trouble)
    try:
        broken = asyncio.run(_play(play, record, trouble))
    except asyncio.CancelledError:
        record.note("ended_by_signal")
        sys.exit(2)
    except (CannotRunError, TimeoutError, OSError) as error:
        record.note("could_not_run", reason=f"{type(error).__name__}: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    finally:
        record.close()
    for one in broken[:20]:
        print(one)
    print(f"{len(broken)} breaks of the rule")
    sys.exit(1 if broken else 0)


async def _play(play: Play, record: Record, trouble: bool) -> list[str]:
    """Play a case, whose processes end as well where a signal ends this one."""
    task = asyncio.ensure_future(play(record, trouble))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, LONGEST_S)
