"""What is logged and counted when two replicas may work on one generation."""

from dataclasses import dataclass, field
from typing import Any

import pytest

from reachlink.requests._working_replicas import WorkingReplicas


@dataclass
class Watch:
    now: float = 0.0
    lines: list[dict[str, Any]] = field(default_factory=list)
    overlaps: int = 0

    def __post_init__(self) -> None:
        self.working = WorkingReplicas("r1", lambda: self.now, self, self.count)

    def warning(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    def count(self) -> None:
        self.overlaps += 1


def test_one_replica_after_another_is_no_overlap():
    watch = Watch()
    watch.working.begin("m1")
    watch.now = 5.0
    watch.working.end("m1")
    watch.working.begin("m2")
    watch.now = 9.0
    watch.working.end("m2")
    assert not watch.lines and not watch.overlaps and not watch.working.names


@pytest.mark.parametrize(("overlap_s", "logged"), [(0.29, 0), (0.35, 1)])
def test_an_overlap_is_logged_and_counted_from_the_begin_of_the_later_one(overlap_s, logged):
    watch = Watch()
    watch.working.begin("m1")
    watch.now = 5.0
    watch.working.begin("m2")
    watch.now += overlap_s
    watch.working.end("m1")
    assert watch.overlaps == len(watch.lines) == logged
    for line in watch.lines:
        assert (line["replica"], line["others"], line["overlap_s"]) == ("m1", "m2", overlap_s)


def test_a_replica_that_never_confirms_is_logged_at_the_end_of_the_later_one():
    watch = Watch()
    watch.working.begin("m1")
    watch.now = 5.0
    watch.working.begin("m2")
    watch.now = 9.0
    watch.working.end("m2")
    watch.working.end("m1")
    assert [line["overlap_s"] for line in watch.lines] == [4.0]
