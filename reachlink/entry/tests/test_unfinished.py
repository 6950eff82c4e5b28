"""What a planned stop leaves unfinished is in the log."""

from structlog.testing import CapturingLogger

from reachlink.entry._planned_stop import ANSWERS_MARGIN_S, PlannedStop
from reachlink.entry._unfinished import MAX_LOGGED, log_unfinished
from reachlink.requests import RequestStage
from reachlink.requests.tests.world import world
from reachlink.routing import RequestKind


def _requests(count: int):
    setup = world()
    return [setup.request(RequestKind.ONCE) for _ in range(count)]


def test_each_unfinished_request_is_logged_with_its_stage_and_replica():
    (request,) = _requests(1)
    request.progress.replica = "p1"
    request.progress.enter(RequestStage.SENT, request.arrived_at + 1.0)
    log = CapturingLogger()
    log_unfinished(log, [request], request.arrived_at + 3.0)
    line, total = (call.kwargs for call in log.calls)
    assert (line["request_id"], line["stage"], line["replica"]) == ("id-1", "sent", "p1")
    assert (line["unchanged_s"], line["age_s"]) == (2.0, 3.0)
    assert total == {"unfinished": 1, "unlogged": 0}


def test_the_number_of_lines_is_bounded():
    log = CapturingLogger()
    log_unfinished(log, _requests(MAX_LOGGED + 7), 0.0)
    assert len(log.calls) == MAX_LOGGED + 1
    assert log.calls[-1].kwargs == {"unfinished": MAX_LOGGED + 7, "unlogged": 7}


def test_answers_are_due_before_the_process_is_ended():
    assert PlannedStop(100.0, 8.0).answers_due_at == 108.0 - ANSWERS_MARGIN_S
    assert PlannedStop(100.0, 1.0).answers_due_at == 100.75
    assert PlannedStop(100.0).answers_due_at is None
