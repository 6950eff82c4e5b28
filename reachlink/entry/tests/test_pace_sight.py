"""What operators see of replicas' pace."""

import asyncio

import pytest
from structlog.testing import capture_logs

from reachlink.entry._pace_log import LINES_PER_S, PaceLog
from reachlink.entry._relay_metrics import RelayMetrics
from reachlink.entry.tests.test_relay_node import config, node  # noqa: F401
from reachlink.kernel import steady_time
from reachlink.membership import ListedInstance
from reachlink.messaging import Traffic, encode
from reachlink.scheduling import Pace, PaceSource, PaceTracker, PeerPace


def test_each_change_of_what_lasts_is_one_line():
    book = PaceTracker()
    with capture_logs() as lines:
        book.add_listener(PaceLog().note)
        for number in range(40):
            book.record_reported("chat", "r1", 0.55, 0.3 * number)
        for number in range(40):
            book.record_reported("chat", "r1", 1.2, 12.0 + 0.3 * number)
        book.record_peer(
            "chat", "r2", PeerPace(Pace(2.0, age_s=0.5), 24.0), PaceSource.MEMBER, "m", 24.0
        )
    shown = [(x["event"], x["replica"], x["before"], x["steady"], x["source"]) for x in lines]
    assert shown == [
        ("pace_changed", "r1", None, 0.55, "told"),
        ("pace_changed", "r1", 0.55, 1.2, "told"),
        ("pace_changed", "r2", None, 2.0, "note"),
    ]
    assert lines[2]["age_ms"] == 500 and lines[2]["moment"] == 1.0


def test_replicas_of_wild_paces_write_a_few_lines_a_second():
    # What lasts is the tenth of 24 looks in order: it turns with most looks of a second round.
    first = ([8.0, 0.5] * 9) + [8.0] * 6
    second = ([0.5, 8.0] * 9) + [8.0] * 6
    now = [0.0]
    book = PaceTracker()
    with capture_logs() as lines:
        book.add_listener(PaceLog(lambda: now[0]).note)
        for number, pace in enumerate((first + second) * 4):
            now[0] = 0.25 * number
            for replica in range(40):
                book.record_reported("chat", f"r{replica}", pace, now[0])
    assert 0 < len(lines) <= LINES_PER_S * (now[0] + 1.0)
    assert sum(line["unlogged"] for line in lines) > 0


@pytest.fixture
def metrics(node):  # noqa: F811
    made = RelayMetrics(node.config, Traffic())
    yield made
    made.close()


def test_the_metrics_page_has_three_figures_a_service_and_no_replica(metrics):
    book = PaceTracker()
    for number, pace in enumerate([0.55, 1.2, 1.2]):
        book.record_reported("chat", f"r{number}", pace, 0.1 * number)
    metrics.export_paces(book.steady_paces, lambda: 3)
    lines = [x for x in metrics.page().decode().splitlines() if x.startswith("reachlink_replica_p")]
    assert [float(line.split()[-1]) for line in lines] == [0.55, 1.2, 1.2]
    assert all('service="chat"' in line and "r1" not in line for line in lines)
    counted = [x for x in metrics.page().decode().splitlines() if "loads_unreadable" in x]
    assert counted[-1].endswith(" 3.0")


def test_a_replica_that_starts_again_begins_a_new_pace(node):  # noqa: F811
    node.tracker.paces.record_reported("chat", "r1", 1.2, steady_time())
    node._on_started_again("r1")
    assert node.tracker.paces.pace("r1", steady_time()) == Pace()


def test_paces_go_along_with_notes_to_other_coordinators(node):  # noqa: F811
    node.directory.update([ListedInstance("r1", "chat", "a", "r1:1")], 0.0)
    node.tracker.paces.record_reported("chat", "r1", 1.2, steady_time())
    told = node.teller._note()
    assert [(note.replica, note.steady) for note in told.paces] == [("r1", 120)]
    assert node.teller._note().paces == []
    node.tracker.reset_replica("r1")
    asyncio.run(node.teller._on_note("e2", encode(told)))
    assert node.tracker.paces.pace("r1", steady_time()).steady == 1.2
