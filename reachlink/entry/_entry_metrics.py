"""Counters and latencies of an entry instance of the product's own interface."""

from collections.abc import Callable

from reachlink.entry._config import EntryConfig
from reachlink.entry._held_sight import BODIES_REFUSED_DESCRIPTION, export_held_bytes
from reachlink.entry._relay_metrics import (
    BACKOFF_DESCRIPTION,
    BRITTLE_DESCRIPTION,
    CONNECTS_DESCRIPTION,
    LIMIT_DESCRIPTION,
    LOST_DESCRIPTION,
    PERMITS_DESCRIPTION,
    RELAYS_DESCRIPTION,
)
from reachlink.limits import BufferBudget
from reachlink.reachability import ConnectFailure
from reachlink.telemetry import Metrics


class EntryMetrics:
    """Instruments of an entry instance."""

    def __init__(self, config: EntryConfig) -> None:
        self._metrics = Metrics(
            "entry", config.name, config.availability_zone, config.otlp_endpoint
        )
        make = self._metrics.counter
        self.requests = make("reachlink_requests", "1", "Requests by service and outcome.")
        self.tokens = make("reachlink_tokens", "1", "Tokens passed on to callers.")
        self.repeats = make("reachlink_repeated_events", "1", "Repeated events dropped.")
        self.foreign = make("reachlink_foreign_events", "1", "Foreign events refused.")
        self.resumes = make("reachlink_resumes", "1", "Streams resumed after a break.")
        self.retries = make("reachlink_retries", "1", "Requests dispatched again.")
        self.permits = make("reachlink_limit_permits", "1", PERMITS_DESCRIPTION)
        self.connects_failed = make("reachlink_connects_failed", "1", CONNECTS_DESCRIPTION)
        self.relays = make("reachlink_relays", "1", RELAYS_DESCRIPTION)
        self.bodies_refused = make("reachlink_bodies_refused", "1", BODIES_REFUSED_DESCRIPTION)
        self.first_token = self._metrics.histogram(
            "reachlink_first_token", "s", "Time from request to first token."
        )

    def export_held(self, held: Callable[[], float]) -> None:
        """Export how many requests are held since replicas crash under them."""
        self._metrics.gauge(
            "reachlink_requests_held", "1", "Requests that replicas crash under.", held
        )

    def export_held_bytes(self, held: BufferBudget) -> None:
        """Export what is held for callers that are slow to send."""
        export_held_bytes(self._metrics, held)

    def export_backoffs(self, backing_off: Callable[[], float]) -> None:
        """Export from how many replicas this instance backs off, as they asked."""
        self._metrics.gauge("reachlink_replicas_in_backoff", "1", BACKOFF_DESCRIPTION, backing_off)

    def export_limits(self, limited: Callable[[], float]) -> None:
        """Export how many replicas have named what they take from all together."""
        self._metrics.gauge("reachlink_replicas_limited", "1", LIMIT_DESCRIPTION, limited)

    def export_brittle(self, brittle: Callable[[], float]) -> None:
        """Export how many replicas have stated that they are brittle."""
        self._metrics.gauge("reachlink_replicas_brittle", "1", BRITTLE_DESCRIPTION, brittle)

    def count_failed_connect(self, failure: ConnectFailure) -> None:
        """Count a connection to a replica that could not be made."""
        self.connects_failed.add(1, {"reason": failure.value})

    def count_relay(self, role: str, outcome: str) -> None:
        """Count a request for a relayed connection, by who made it and how it ended."""
        self.relays.add(1, {"role": role, "outcome": outcome})

    def export_paths(self, lost: Callable[[], float]) -> None:
        """Export how many replicas are reached through peers only."""
        self._metrics.gauge("reachlink_replica_paths_lost", "1", LOST_DESCRIPTION, lost)

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._metrics.page()

    def close(self) -> None:
        """Export what is pending and stop."""
        self._metrics.close()
