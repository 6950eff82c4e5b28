"""Traffic counters of the message bus."""

from dataclasses import dataclass

from reachlink.telemetry import Metrics


@dataclass(slots=True)
class Traffic:
    """Counters of one bus; byte counts exclude the framing of the transport.

    `late` and `late_bytes` count answers that arrived after their call had
    ended, so that their transfer was wasted.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: int = 0
    late: int = 0
    late_bytes: int = 0


def export_traffic(metrics: Metrics, traffic: Traffic) -> None:
    """Export the counters of a bus as metrics."""
    export = metrics.observed_counter
    export("reachlink_bus_sent", "By", "Bytes sent.", lambda: traffic.sent_bytes)
    export("reachlink_bus_received", "By", "Bytes received.", lambda: traffic.received_bytes)
    export(
        "reachlink_bus_late",
        "By",
        "Bytes of answers that nobody waited for any more.",
        lambda: traffic.late_bytes,
    )
