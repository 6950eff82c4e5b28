"""A stop signal that came while the process still started."""

import subprocess
import sys

import pytest

# A process that gets SIGTERM while signals are held back: before its daemon runs, or while that
# starts. It prints how long before the stop the signal is taken to have come.
PROGRAM = """
import asyncio, os, signal, sys, time
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
from reachlink.kernel import run_daemon, steady_time, stop_signalled_at

class Daemon:
    async def start(self):
        if sys.argv[1] == "within":
            os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.3)

    async def failed(self):
        if sys.argv[1] == "after":
            os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.Event().wait()

    async def drain(self):
        signalled_at, now = stop_signalled_at(), steady_time()
        print(now - signalled_at, now - begun_at)

    async def stop(self):
        pass

begun_at = steady_time()
if sys.argv[1] == "before":
    os.kill(os.getpid(), signal.SIGTERM)
time.sleep(0.3)
run_daemon(Daemon)
"""


@pytest.mark.parametrize(
    ("when", "least_s", "before_s"),
    [("before", 0.6, 0.0), ("within", 0.3, 0.3), ("after", 0.0, 0.6)],
)
def test_a_stop_counts_from_its_signal_also_if_that_was_held_back(when, least_s, before_s):
    run = [sys.executable, "-c", PROGRAM, when]
    ended = subprocess.run(run, capture_output=True, text=True, timeout=60.0)
    assert ended.returncode == 0, ended.stderr
    counted_s, ran_s = (float(word) for word in ended.stdout.split())
    assert counted_s >= least_s
    # Nor from before that: the stop ran for less than the process did.
    if before_s:
        assert counted_s <= ran_s - before_s
