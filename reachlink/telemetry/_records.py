"""Parsing of log lines, without I/O."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime

# Key-value pair of a line. A value that contains spaces is quoted; a key without a value is
# a flag that is set.
_PAIR = re.compile(r"(\w+)(?:=(\"(?:[^\"\\]|\\.)*\"|\S*))?(?=\s|$)")


@dataclass(slots=True, frozen=True)
class LogRecord:
    """One parsed log line.

    Attributes
    ----------
    at : datetime
        Time at which the line was written, by the clock of its instance.
    event : str
        Name of the event.
    fields : dict of str to str
        All key-value pairs of the line, including its timestamp and event.
    line : str
        Text of the line, starting at its timestamp.
    """

    at: datetime
    event: str
    fields: dict[str, str]
    line: str

    @property
    def request_id(self) -> str:
        """Identifier of the request that the line belongs to; empty if there is none."""
        return self.fields.get("request_id", "")

    def number(self, name: str) -> float:
        """Return a field as a number, or 0 if it is missing or empty."""
        return float(self.fields.get(name) or 0.0)


def read_records(lines: Iterable[str]) -> Iterator[LogRecord]:
    """Parse log lines and yield their records.

    Text before the timestamp of a line is ignored, and so are lines without a
    timestamp or an event.

    Examples
    --------
    >>> line = 'timestamp=2026-01-01T00:00:00Z event=no_room replicas="r1 r2"'
    >>> [(r.event, r.fields["replicas"]) for r in read_records([line, "something else"])]
    [('no_room', 'r1 r2')]
    """
    for line in lines:
        start = line.find("timestamp=")
        if start < 0:
            continue
        text = line[start:].rstrip("\n")
        fields = {name: value.strip('"') for name, value in _PAIR.findall(text)}
        if "event" in fields:
            at = datetime.fromisoformat(fields["timestamp"])
            yield LogRecord(at, fields["event"], fields, text)
