"""Causes of lost and late requests, derived from the logs of all instances; without I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum, StrEnum

from reachlink.telemetry._records import LogRecord


class LossCause(Enum):
    """Cause for which a request was not answered in time; the value is the text shown."""

    NO_ROOM = "no replica had room"
    QUEUE_FULL = "too many waited already"
    OVER_SHARE = "its workspace had more than its share"
    LIMITED_BY_REPLICAS = "replicas that ask for less traffic held it back"
    NO_ZONE_AVAILABLE = "no zone was in service or in reach"
    REPLICA_LEFT_WITHOUT_COPY = "its replica left and no other one had its memory"
    STREAM_BROKEN_WITHOUT_COPY = "its replica broke off and no other one had its memory"
    CALLER_LEFT = "its caller left"
    TIMEOUT = "its time was over"
    OTHER_FAILURE = "it failed in another way"
    LATE_FIRST_EVENT = "its first event came late"
    LATE_AT_RESUME = "it paused too long when it went on at another replica"
    LATE_WITHIN_REPLICA = "it paused too long within one replica"


class LossGroup(StrEnum):
    """Field of `Loss` by which losses are counted; the value is the name of the field."""

    ROUTE = "route"
    ZONE = "zone"
    REPLICA = "replica"
    WORKSPACE = "workspace"


@dataclass(slots=True, frozen=True)
class Loss:
    """One request that was lost or late.

    Attributes
    ----------
    request_id : str
        Identifier of the request.
    route : str
        Route of the request.
    cause : LossCause
        Cause of the loss or delay.
    at : datetime
        Time at which the request ended, by the clock of its instance.
    zone : str
        Availability zone of the instance that handled the request.
    replica : str
        Replica where the request ran last; empty if it ran at none.
    workspace : str
        Workspace of the request; empty if no log line names it.
    """

    request_id: str
    route: str
    cause: LossCause
    at: datetime
    zone: str = ""
    replica: str = ""
    workspace: str = ""

    def group_key(self, group: LossGroup) -> str:
        """Return the value by which the loss is grouped, such as its route."""
        return str(getattr(self, group.value))


@dataclass(slots=True)
class LossSummary:
    """Lost and late requests, and numbers of streams that were complete and in time.

    Attributes
    ----------
    losses : list of Loss
        Requests that were lost or late.
    in_time : dict of str to int
        Number of streams that were complete and in time, by route.
    """

    losses: list[Loss] = field(default_factory=list)
    in_time: dict[str, int] = field(default_factory=dict)

    def counts(self, by: LossGroup = LossGroup.ROUTE) -> dict[tuple[str, LossCause], int]:
        """Return the number of losses by cause and by route or another field."""
        counts: dict[tuple[str, LossCause], int] = {}
        for loss in self.losses:
            key = loss.group_key(by), loss.cause
            counts[key] = counts.get(key, 0) + 1
        return counts


_CAUSE_BY_OUTCOME = {
    "no_replica": LossCause.NO_ROOM,
    "no_room": LossCause.NO_ROOM,
    "line_full": LossCause.QUEUE_FULL,
    "over_share": LossCause.OVER_SHARE,
    "over_limit": LossCause.LIMITED_BY_REPLICAS,
    "brittle": LossCause.LIMITED_BY_REPLICAS,
    "in_backoff": LossCause.LIMITED_BY_REPLICAS,
    "not_run": LossCause.LIMITED_BY_REPLICAS,
    "zones_out_of_service": LossCause.NO_ZONE_AVAILABLE,
    "home_regions_out_of_reach": LossCause.NO_ZONE_AVAILABLE,
    "zone_cut_off": LossCause.NO_ZONE_AVAILABLE,
    "stream_timeout": LossCause.TIMEOUT,
    "cancelled": LossCause.CALLER_LEFT,
    "timeout": LossCause.TIMEOUT,
}


# Events whose ``replica`` is the one to which a request was sent, or where it resumed, broke
# off or failed.
_REPLICA_EVENTS = frozenset(
    {"generation_placed", "stream_joined", "stream_broken", "attempt_failed"}
)


@dataclass(slots=True)
class _RequestHistory:
    """State of requests and replicas, collected from log lines.

    Attributes
    ----------
    last_replicas : dict of str to str
        Replica where the request ran last, by request.
    broken_replicas : dict of str to str
        Replica whose stream broke off last, by request.
    resume_events : dict of str to set of int
        Numbers of the events with which a stream resumed at another replica, by
        request.
    workspaces : dict of str to str
        Workspace of the request, by request.
    leaving_replicas : set of str
        Replicas that an instance reported as leaving.
    """

    last_replicas: dict[str, str] = field(default_factory=dict)
    broken_replicas: dict[str, str] = field(default_factory=dict)
    resume_events: dict[str, set[int]] = field(default_factory=dict)
    workspaces: dict[str, str] = field(default_factory=dict)
    leaving_replicas: set[str] = field(default_factory=set)

    def add_record(self, record: LogRecord) -> None:
        """Update the state from one log line."""
        request_id, replica = record.request_id, record.fields.get("replica", "")
        if record.event == "upstream_leaving":
            self.leaving_replicas.add(replica)
        if record.event in _REPLICA_EVENTS:
            self.last_replicas[request_id] = replica
        if record.event == "stream_broken":
            self.broken_replicas[request_id] = replica
        if record.event == "stream_joined":
            self.resume_events.setdefault(request_id, set()).add(int(record.number("event_number")))
        if record.fields.get("workspace"):
            self.workspaces[request_id] = record.fields["workspace"]


def summarize_losses(records: Iterable[LogRecord]) -> LossSummary:
    """Determine the lost and late requests from the logs of all entry instances.

    Parameters
    ----------
    records : iterable of LogRecord
        Log records, in any order. Plain requests that were answered leave no
        line, so only streams are counted as in time.
    """
    records = sorted(records, key=lambda record: record.at)
    history = _RequestHistory()
    for record in records:
        history.add_record(record)
    summary = LossSummary()
    for record in records:
        if record.event == "request_ended":
            _add_request(summary, record, _cause_of_end(record, history), history)
        elif record.event == "stream_delivered":
            _add_request(summary, record, _cause_of_delay(record, history), history)
    return summary


def _add_request(
    summary: LossSummary, record: LogRecord, cause: LossCause | None, history: _RequestHistory
) -> None:
    route, request_id = record.fields.get("route", ""), record.request_id
    if cause is None:
        summary.in_time[route] = summary.in_time.get(route, 0) + 1
        return
    loss = Loss(
        request_id,
        route,
        cause,
        record.at,
        zone=record.fields.get("availability_zone", ""),
        replica=record.fields.get("replica") or history.last_replicas.get(request_id, ""),
        workspace=history.workspaces.get(request_id, ""),
    )
    summary.losses.append(loss)


def _cause_of_end(record: LogRecord, history: _RequestHistory) -> LossCause:
    outcome = record.fields.get("outcome", "")
    if outcome == "no_copy_left":
        replica_left = history.broken_replicas.get(record.request_id) in history.leaving_replicas
        return (
            LossCause.REPLICA_LEFT_WITHOUT_COPY
            if replica_left
            else LossCause.STREAM_BROKEN_WITHOUT_COPY
        )
    return _CAUSE_BY_OUTCOME.get(outcome, LossCause.OTHER_FAILURE)


def _cause_of_delay(record: LogRecord, history: _RequestHistory) -> LossCause | None:
    """Return the cause for which a complete stream was late, or None if it was in time."""
    if record.number("first_event_ms") > record.number("objective_ms") > 0:
        return LossCause.LATE_FIRST_EVENT
    if not record.number("longest_pause_ms") > record.number("pause_goal_ms") > 0:
        return None
    resume_events = history.resume_events.get(record.request_id, set())
    at_resume = int(record.number("longest_pause_at")) in resume_events
    return LossCause.LATE_AT_RESUME if at_resume else LossCause.LATE_WITHIN_REPLICA
