"""Reading log lines back; pure."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime

# A pair of a line: a name, and a value that is quoted where it holds blanks. A name
# alone is a flag that is set.
_PAIR = re.compile(r"(\w+)(?:=(\"(?:[^\"\\]|\\.)*\"|\S*))?(?=\s|$)")


@dataclass(slots=True, frozen=True)
class LogRecord:
    """One line of a log.

    Attributes
    ----------
    at : datetime
        When it was written, by the clock of its instance.
    event : str
        What happened.
    fields : dict of str to str
        All its pairs, those above included.
    line : str
        The line itself.
    """

    at: datetime
    event: str
    fields: dict[str, str]
    line: str

    @property
    def request_id(self) -> str:
        """The request that it is about; empty for none."""
        return self.fields.get("request_id", "")

    def number(self, name: str) -> float:
        """Return a field as a number, 0 where it is missing."""
        return float(self.fields.get(name) or 0.0)


def read_records(lines: Iterable[str]) -> Iterator[LogRecord]:
    """Yield the records of a log, without lines that are none.

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
