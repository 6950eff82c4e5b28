"""Bus counters are exported as metrics."""

from reachlink.messaging import Traffic, export_traffic
from reachlink.telemetry import Metrics


def test_bytes_of_late_answers_are_exported():
    metrics, traffic = Metrics("entry", "e1", "a"), Traffic()
    export_traffic(metrics, traffic)
    traffic.late_bytes = 7
    page = metrics.page().decode()
    metrics.close()
    [line] = [text for text in page.splitlines() if text.startswith("reachlink_bus_late_bytes")]
    assert line.split()[-1] == "7.0"
