"""Log lines are bounded, whole, and never waited for."""

import os

from reachlink.telemetry._output import BoundedOutput


def drain(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    got = b""
    while True:
        try:
            data = os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return got
        if not data:
            return got
        got += data


def test_a_reader_that_stopped_costs_lines_and_no_time():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, max_waiting=10)
    line = "x" * 999 + "\n"
    for _ in range(500):
        output.write(line)
    lost = output.lost
    assert lost > 0
    got = drain(reader)
    output.write("last\n")
    got += drain(reader)
    output.flush()
    got += drain(reader)
    lines = got.decode().splitlines()
    told = [line for line in lines if "event=log_lines_lost" in line]
    assert told == [f"level=warning event=log_lines_lost count={lost}"]
    assert lines[-1] == "last"
    assert lines.count("x" * 999) == 500 - lost
    assert output.lost == 0


def test_lines_stay_whole_when_the_pipe_takes_a_part():
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    sent = [f"line {n} " + "y" * 700 + "\n" for n in range(300)]
    for line in sent:
        output.write(line)
    got = b""
    for _ in range(100):
        got += drain(reader)
        output.flush()
    assert got.decode() == "".join(sent)


def test_nobody_reads_any_more():
    reader, writer = os.pipe()
    os.close(reader)
    output = BoundedOutput(writer)
    output.write("a\n")
    assert output.lost == 0
