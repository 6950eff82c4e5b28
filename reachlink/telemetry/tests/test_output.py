"""Tests that log output does not block, and that written lines stay complete.

A reader of the pipe that stops reading must not block the process that logs.
"""

import os

from reachlink.telemetry._output import BoundedOutput


def read_available(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    received = b""
    while True:
        try:
            data = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return received
        if not data:
            return received
        received += data


def test_write_drops_lines_and_does_not_block_if_the_reader_stops():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, max_buffered_lines=10)
    line = "x" * 999 + "\n"
    for _ in range(500):
        output.write(line)
    lost = output.lost_lines
    assert lost > 0
    received = read_available(reader)
    output.write("last\n")
    received += read_available(reader)
    output.flush()
    received += read_available(reader)
    lines = received.decode().splitlines()
    reports = [line for line in lines if "event=log_lines_lost" in line]
    assert reports == [f"level=warning event=log_lines_lost count={lost}"]
    assert lines[-1] == "last"
    assert lines.count("x" * 999) == 500 - lost
    assert output.lost_lines == 0


def test_partial_writes_leave_lines_intact():
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    sent = [f"line {n} " + "y" * 700 + "\n" for n in range(300)]
    for line in sent:
        output.write(line)
    received = b""
    for _ in range(100):
        received += read_available(reader)
        output.flush()
    assert received.decode() == "".join(sent)


def test_lines_after_the_reader_has_closed_are_discarded():
    reader, writer = os.pipe()
    os.close(reader)
    output = BoundedOutput(writer)
    output.write("a\n")
    assert output.lost_lines == 0
