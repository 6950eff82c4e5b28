"""Counters and latencies of a relaying entry instance."""

from collections.abc import Callable, Iterator, Mapping
from functools import partial
from statistics import median

from reachlink.entry._connection_aborts import ABORTED_DESCRIPTION
from reachlink.entry._held_sight import BODIES_REFUSED_DESCRIPTION, export_held_bytes
from reachlink.entry._relay_config import RelayConfig
from reachlink.limits import BufferBudget
from reachlink.messaging import Traffic, export_traffic
from reachlink.reachability import ConnectFailure
from reachlink.scheduling import CallerRetryCounts, RefusalReason
from reachlink.telemetry import Metrics

PERMITS_DESCRIPTION = "Permits asked for at replicas with a limit, by how that ended."
LIMIT_DESCRIPTION = "Replicas that named how many requests they take from all together."
BRITTLE_DESCRIPTION = "Replicas that fall over if they reject more than they have stated."
CONNECTS_DESCRIPTION = "Connections to replicas that could not be made, by how that failed."
LOST_DESCRIPTION = "Replicas that this instance reaches through peers only."
RELAYS_DESCRIPTION = (
    "Connections to replicas that a peer was asked for, or that were asked for here."
)
LINE_DESCRIPTION = "Requests that stood in line here, by service and how that ended."
CLOSED_DESCRIPTION = "Callers closed that had not read their answers for too long."
BACKOFF_DESCRIPTION = "Replicas that turned requests away and asked this instance to wait."
PACE_DESCRIPTION = "Time that work takes at replicas of a service, as a multiple of the usual."
UNREADABLE_DESCRIPTION = "Loads that replicas told with a figure that could not be read."

KEPT_DESCRIPTION = "Places promised to refused callers that came in time and got them."
BROKEN_DESCRIPTION = "Places promised to refused callers that came in time and were refused again."
MISSED_DESCRIPTION = "Places promised to refused callers that did not come in time."
DROPPED_DESCRIPTION = "Promises given up as there were too many."
CONNECTIONS_CLOSED_DESCRIPTION = "Connections of callers that this instance closed, by reason."
OVERLAP_DESCRIPTION = "Generations that two replicas may have worked on for over 0.3 s."
REFUSED_DESCRIPTION = "Requests refused by the owner of their line for this reason."


class RelayMetrics:
    """Instruments of a relaying entry instance.

    Parameters
    ----------
    config : RelayConfig
        Configuration of the process.
    traffic : Traffic
        Counters of its bus.
    """

    def __init__(self, config: RelayConfig, traffic: Traffic) -> None:
        self._metrics = Metrics("entry", config.name, config.availability_zone)
        self.requests = self._metrics.counter(
            "reachlink_requests", "1", "Requests by route and outcome."
        )
        self.duration = self._metrics.histogram(
            "reachlink_request_duration", "s", "Time from request to the end of its answer."
        )
        self.questions = self._metrics.counter(
            "reachlink_placement_questions", "1", "Questions to coordinators by how they ended."
        )
        self.permits = self._metrics.counter("reachlink_limit_permits", "1", PERMITS_DESCRIPTION)
        self.connects_failed = self._metrics.counter(
            "reachlink_connects_failed", "1", CONNECTS_DESCRIPTION
        )
        self.relays = self._metrics.counter("reachlink_relays", "1", RELAYS_DESCRIPTION)
        self.line_outcomes = self._metrics.counter("reachlink_line", "1", LINE_DESCRIPTION)
        self.bodies_refused = self._metrics.counter(
            "reachlink_bodies_refused", "1", BODIES_REFUSED_DESCRIPTION
        )
        self.readers_closed = self._metrics.counter(
            "reachlink_readers_closed", "1", CLOSED_DESCRIPTION
        )
        self.connections_closed = self._metrics.counter(
            "reachlink_caller_connections_closed", "1", CONNECTIONS_CLOSED_DESCRIPTION
        )
        self.connections_aborted = self._metrics.counter(
            "reachlink_caller_connections_aborted", "1", ABORTED_DESCRIPTION
        )
        self.overlaps = self._metrics.counter(
            "reachlink_generations_at_two_replicas", "1", OVERLAP_DESCRIPTION
        )
        export_traffic(self._metrics, traffic)

    def export_settings(
        self,
        table: Callable[[], float],
        revision: Callable[[], float],
        unanswered_s: Callable[[], float],
        confirmed_age_s: Callable[[], float],
    ) -> None:
        """Export what is in force here, and how old it may be.

        Parameters
        ----------
        table : callable
            Returns the number of the routing table in force; 0 before there is one.
        revision : callable
            Returns the revision of the settings in force.
        unanswered_s : callable
            Returns the time since a control instance has answered, in seconds.
        confirmed_age_s : callable
            Returns the time since they were the newest for certain, in seconds.
        """
        self._metrics.gauge(
            "reachlink_routing_table_number", "1", "Number of the table in force.", table
        )
        self._metrics.gauge(
            "reachlink_settings_revision", "1", "Revision of the settings in force.", revision
        )
        self._metrics.gauge(
            "reachlink_settings_unanswered",
            "s",
            "Time since a control instance has answered; settings may be that old and more.",
            unanswered_s,
        )
        self._metrics.gauge(
            "reachlink_settings_confirmed_age",
            "s",
            "Time since the settings in force were confirmed to be the newest.",
            confirmed_age_s,
        )

    def export_quarantine(self, held: Callable[[], float], kept: Callable[[], float]) -> None:
        """Export what is held since replicas crash under it.

        Parameters
        ----------
        held : callable
            Returns how many requests are held.
        kept : callable
            Returns how many requests a crash counts against.
        """
        self._metrics.gauge(
            "reachlink_requests_held", "1", "Requests that replicas crash under.", held
        )
        self._metrics.gauge(
            "reachlink_requests_suspected", "1", "Requests that a crash counts against.", kept
        )

    def export_held(self, held: BufferBudget) -> None:
        """Export what is held for callers and replicas that are slow."""
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

    def count_in_line(self, service: str, outcome: str) -> None:
        """Count a request that stood in line, by how that ended."""
        self.line_outcomes.add(1, {"service": service, "outcome": outcome})

    def count_failed_connect(self, failure: ConnectFailure) -> None:
        """Count a connection to a replica that could not be made."""
        self.connects_failed.add(1, {"reason": failure.value})

    def count_connection_closed(self, reason: str) -> None:
        """Count a connection of a caller that this instance closed."""
        self.connections_closed.add(1, {"reason": reason})

    def count_relay(self, role: str, outcome: str) -> None:
        """Count a request for a relayed connection, by who made it and how it ended."""
        self.relays.add(1, {"role": role, "outcome": outcome})

    def count_aborted_connection(self, reason: str) -> None:
        """Count a connection to a caller that was aborted, by reason."""
        self.connections_aborted.add(1, {"reason": reason})

    def export_paths(self, lost: Callable[[], float]) -> None:
        """Export how many replicas are reached through peers only."""
        self._metrics.gauge("reachlink_replica_paths_lost", "1", LOST_DESCRIPTION, lost)

    def export_line(
        self,
        waiting: Callable[[], Mapping[str, float]],
        oldest_s: Callable[[], Mapping[str, float]],
    ) -> None:
        """Export the lines that this instance keeps.

        Parameters
        ----------
        waiting : callable
            Returns how many requests stand in line, by service.
        oldest_s : callable
            Returns how long the oldest of them has stood there, in seconds, by service.
        """
        self._metrics.gauges(
            "reachlink_line_length",
            "1",
            "Requests that stand in line here.",
            lambda: _by_service(waiting()),
        )
        self._metrics.gauges(
            "reachlink_line_oldest",
            "s",
            "How long the oldest request has stood in line here.",
            lambda: _by_service(oldest_s()),
        )

    def export_paces(
        self, steadies: Callable[[], dict[str, list[float]]], unreadable: Callable[[], int]
    ) -> None:
        """Export how fast replicas work, of services whose replicas tell it.

        Parameters
        ----------
        steadies : callable
            Returns what is believed to last at the replicas of each service, as multiples
            of the usual.
        unreadable : callable
            Returns how many loads with a figure that could not be read were told.
        """
        self._metrics.gauges(
            "reachlink_replica_pace", "1", PACE_DESCRIPTION, lambda: _spread(steadies())
        )
        self._metrics.observed_counter(
            "reachlink_loads_unreadable", "1", UNREADABLE_DESCRIPTION, unreadable
        )

    def export_returns(self, counts: Callable[[], CallerRetryCounts]) -> None:
        """Export what became of those whom the lines refused that this instance owns.

        Parameters
        ----------
        counts : callable
            Returns the counts since the process began.
        """
        gauge = self._metrics.gauge
        gauge("reachlink_returns_kept", "1", KEPT_DESCRIPTION, lambda: counts().kept)
        gauge("reachlink_returns_broken", "1", BROKEN_DESCRIPTION, lambda: counts().broken)
        gauge("reachlink_returns_missed", "1", MISSED_DESCRIPTION, lambda: counts().missed)
        gauge("reachlink_returns_dropped", "1", DROPPED_DESCRIPTION, lambda: counts().dropped)
        for reason in RefusalReason:
            name = f"reachlink_refused_{reason.value}"
            gauge(name, "1", REFUSED_DESCRIPTION, partial(_refused, counts, reason))

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._metrics.page()

    def close(self) -> None:
        """Export what is pending and stop."""
        self._metrics.close()


def _by_service(values: Mapping[str, float]) -> Iterator[tuple[float, dict[str, str]]]:
    """Return the value of each service, with its label."""
    for service, value in values.items():
        yield value, {"service": service}


def _spread(by_service: dict[str, list[float]]) -> Iterator[tuple[float, dict[str, str]]]:
    """Return the least, the median and the most of each service, with labels."""
    for service, values in by_service.items():
        for name, of in (("min", min), ("median", median), ("max", max)):
            yield of(values), {"service": service, "of": name}


def _refused(counts: Callable[[], CallerRetryCounts], reason: RefusalReason) -> float:
    return counts().refused[reason]
