"""What operators see of refusals and returns."""

from reachlink.entry._relay_metrics import RelayMetrics
from reachlink.entry.tests.relay import CONFIG
from reachlink.messaging import Traffic
from reachlink.scheduling import CallerRetryCounts, RefusalReason


def test_promises_and_refusals_are_on_the_metrics_page():
    metrics = RelayMetrics(CONFIG, Traffic())
    counts = CallerRetryCounts(kept=5, broken=1, missed=2)
    counts.refused[RefusalReason.OVER_SHARE] = 3
    metrics.export_returns(lambda: counts)
    page = metrics.page().decode()
    metrics.close()
    values = {
        line.split("{")[0]: float(line.rsplit(" ", 1)[1])
        for line in page.splitlines()
        if line.startswith(("reachlink_returns", "reachlink_refused"))
    }
    assert values == {
        "reachlink_returns_kept": 5.0,
        "reachlink_returns_broken": 1.0,
        "reachlink_returns_missed": 2.0,
        "reachlink_returns_dropped": 0.0,
        "reachlink_refused_no_room": 0.0,
        "reachlink_refused_line_full": 0.0,
        "reachlink_refused_over_share": 3.0,
    }
