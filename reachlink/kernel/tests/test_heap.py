"""Large blocks go back to the system."""

import platform
import subprocess
import sys

import pytest

MB = 1 << 20
# Many blocks of 1 MB between small ones, after one of 30 MB was freed.
SCRIPT = """
import sys
from pathlib import Path
from reachlink.kernel._heap import return_large_blocks

def resident():
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096

if sys.argv[1] == "set":
    assert return_large_blocks()
large = bytearray(30 << 20)
del large
before = resident()
blocks, small = [], []
for _ in range(40):
    blocks.append(b"x" * (1 << 20))
    small.append(b"y" * 2_000)
del blocks
print(resident() - before)
"""


def left_bytes(argument: str) -> int:
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT, argument], capture_output=True, check=True, text=True
    )
    return int(done.stdout)


@pytest.mark.skipif(platform.libc_ver()[0] != "glibc", reason="settings of the GNU C library")
def test_large_blocks_between_small_ones_are_returned():
    assert left_bytes("default") > 20 * MB
    assert left_bytes("set") < 4 * MB
