"""Operators can tell why connections to a replica fail, and since when it was not heard."""

import pytest

from reachlink.reachability import ConnectFailure, PathTracker, failure_of
from reachlink.reachability import _paths as paths


class Recorder:
    """Stands in for the logger of the process."""

    def __init__(self) -> None:
        self.lines: list[dict[str, object]] = []

    def info(self, event: str, **fields: object) -> None:
        self.lines.append({"event": event, **fields})

    warning = info


@pytest.fixture
def lines(monkeypatch):
    recorder = Recorder()
    monkeypatch.setattr(paths, "get_logger", lambda: recorder)
    return recorder.lines


def test_a_failed_connection_is_logged_with_its_reason_and_what_was_heard_before(lines):
    tracker = PathTracker()
    path = tracker.path("10.0.0.1:80", 5.0)
    path.heard_at = 5.0
    tracker.note_connect_failed(path, ConnectFailure.SILENT, 0.25, 7.0)
    assert lines == [
        {
            "event": "connect_failed",
            "address": "10.0.0.1:80",
            "reason": "silent",
            "took_ms": 250.0,
            "heard_ago_s": 2.0,
        }
    ]


def test_failures_at_one_replica_are_logged_once_a_second_and_all_counted(lines):
    counted = []
    tracker = PathTracker(counted.append)
    path = tracker.path("r", 0.0)
    for tick in range(30):
        tracker.note_connect_failed(path, ConnectFailure.REFUSED, 0.0, tick / 10.0)
    assert len(lines) == 3
    assert len(counted) == 30


@pytest.mark.parametrize(
    ("error", "failure"),
    [
        (ConnectionRefusedError(), ConnectFailure.REFUSED),
        (ConnectionResetError(), ConnectFailure.RESET),
        (TimeoutError(), ConnectFailure.SILENT),
        (OSError(113, "no route to host"), ConnectFailure.OTHER),
    ],
)
def test_the_reason_follows_from_the_error(error, failure):
    assert failure_of(error) is failure


def test_the_number_of_replicas_is_bounded():
    tracker = PathTracker()
    for number in range(3 * paths.MAX_TRACKED_REPLICAS):
        tracker.path(f"r{number}", 0.0)
    assert len(tracker._paths) <= paths.MAX_TRACKED_REPLICAS


def test_idle_connections_to_replicas_not_heard_since_a_loss_are_not_reused(lines):
    tracker = PathTracker()
    lost, unheard, heard = (tracker.path(name, 0.0) for name in ("lost", "unheard", "heard"))
    lost.heard_at, unheard.heard_at, heard.heard_at = 10.0, 9.0, 10.7
    tracker.note_connect_failed(lost, ConnectFailure.SILENT, 0.25, 10.8)
    tracker.note_lost(lost, 10.8)
    assert not lost.may_reuse(10.0)
    assert not unheard.may_reuse(9.0)
    assert heard.may_reuse(10.7)
    tracker.note_working(unheard, 11.0)
    assert unheard.may_reuse(9.0)


def test_idle_connections_live_on_where_new_ones_are_refused(lines):
    tracker = PathTracker()
    lost, unheard = tracker.path("lost", 0.0), tracker.path("unheard", 0.0)
    lost.heard_at, unheard.heard_at = 10.0, 9.0
    tracker.note_connect_failed(lost, ConnectFailure.REFUSED, 0.0, 10.8)
    tracker.note_lost(lost, 10.8)
    assert lost.may_reuse(10.0)
    assert unheard.may_reuse(9.0)
