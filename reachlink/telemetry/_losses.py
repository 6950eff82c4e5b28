"""Why requests were lost or late, from the logs of all instances; pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum, StrEnum

from reachlink.telemetry._records import LogRecord


class LossCause(Enum):
    """Why a request was not answered in time."""

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
    """By what losses are counted; the value is the name of the field."""

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
        The request.
    route : str
        Its route.
    cause : LossCause
        Why.
    at : datetime
        When it ended, by the clock of its instance.
    zone : str
        Availability zone of its instance.
    replica : str
        Where it ran last; empty for none.
    workspace : str
        Its workspace; empty where no line tells it.
    """

    request_id: str
    route: str
    cause: LossCause
    at: datetime
    zone: str = ""
    replica: str = ""
    workspace: str = ""

    def group_key(self, group: LossGroup) -> str:
        """Return the group that it counts in, such as its route."""
        return str(getattr(self, group.value))


@dataclass(slots=True)
class LossSummary:
    """Losses, and how many streams came whole and in time, by route."""

    losses: list[Loss] = field(default_factory=list)
    in_time: dict[str, int] = field(default_factory=dict)

    def counts(self, by: LossGroup = LossGroup.ROUTE) -> dict[tuple[str, LossCause], int]:
        """Return how many requests each cause took, by route or another group."""
        found: dict[tuple[str, LossCause], int] = {}
        for loss in self.losses:
            key = loss.group_key(by), loss.cause
            found[key] = found.get(key, 0) + 1
        return found


_BY_OUTCOME = {
    "no_replica": LossCause.NO_ROOM,
    "no_room": LossCause.NO_ROOM,
    "line_full": LossCause.QUEUE_FULL,
    "over_share": LossCause.OVER_SHARE,
    "over_limit": LossCause.LIMITED_BY_REPLICAS,
    "in_backoff": LossCause.LIMITED_BY_REPLICAS,
    "not_run": LossCause.LIMITED_BY_REPLICAS,
    "zones_out_of_service": LossCause.NO_ZONE_AVAILABLE,
    "home_regions_out_of_reach": LossCause.NO_ZONE_AVAILABLE,
    "zone_cut_off": LossCause.NO_ZONE_AVAILABLE,
    "stream_timeout": LossCause.TIMEOUT,
    "cancelled": LossCause.CALLER_LEFT,
    "timeout": LossCause.TIMEOUT,
}


# What an instance tells when it has sent a request to a replica, or hears of it there.
_AT_REPLICA = frozenset({"generation_placed", "stream_joined", "stream_broken", "attempt_failed"})


@dataclass(slots=True)
class _Lives:
    """What lines before its end tell of each request.

    Attributes
    ----------
    homes : dict of str to str
        Where it ran last, by request.
    broken : dict of str to str
        The replica whose stream broke off last, by request.
    joints : dict of str to set of int
        Events that were the first ones of another replica, by request.
    workspaces : dict of str to str
        Its workspace, by request.
    leaving : set of str
        Replicas that were told to leave.
    """

    homes: dict[str, str] = field(default_factory=dict)
    broken: dict[str, str] = field(default_factory=dict)
    joints: dict[str, set[int]] = field(default_factory=dict)
    workspaces: dict[str, str] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)

    def note(self, record: LogRecord) -> None:
        """Take in one line."""
        request_id, replica = record.request_id, record.fields.get("replica", "")
        if record.event == "upstream_leaving":
            self.leaving.add(replica)
        if record.event in _AT_REPLICA:
            self.homes[request_id] = replica
        if record.event == "stream_broken":
            self.broken[request_id] = replica
        if record.event == "stream_joined":
            self.joints.setdefault(request_id, set()).add(int(record.number("event_number")))
        if record.fields.get("workspace"):
            self.workspaces[request_id] = record.fields["workspace"]


def summarize_losses(records: Iterable[LogRecord]) -> LossSummary:
    """Return what the logs of all entry instances tell of lost and late requests.

    Parameters
    ----------
    records : iterable of LogRecord
        In any order. Plain requests that were answered leave no line, so that
        only streams are counted as in time.
    """
    records = sorted(records, key=lambda record: record.at)
    lives = _Lives()
    for record in records:
        lives.note(record)
    account = LossSummary()
    for record in records:
        if record.event == "request_ended":
            _add(account, record, _cause_of_end(record, lives), lives)
        elif record.event == "stream_delivered":
            _add(account, record, _cause_of_delay(record, lives), lives)
    return account


def _add(account: LossSummary, record: LogRecord, cause: LossCause | None, lives: _Lives) -> None:
    route, request_id = record.fields.get("route", ""), record.request_id
    if cause is None:
        account.in_time[route] = account.in_time.get(route, 0) + 1
        return
    loss = Loss(
        request_id,
        route,
        cause,
        record.at,
        zone=record.fields.get("availability_zone", ""),
        replica=record.fields.get("replica") or lives.homes.get(request_id, ""),
        workspace=lives.workspaces.get(request_id, ""),
    )
    account.losses.append(loss)


def _cause_of_end(record: LogRecord, lives: _Lives) -> LossCause:
    outcome = record.fields.get("outcome", "")
    if outcome == "no_copy_left":
        left = lives.broken.get(record.request_id) in lives.leaving
        return LossCause.REPLICA_LEFT_WITHOUT_COPY if left else LossCause.STREAM_BROKEN_WITHOUT_COPY
    return _BY_OUTCOME.get(outcome, LossCause.OTHER_FAILURE)


def _cause_of_delay(record: LogRecord, lives: _Lives) -> LossCause | None:
    """Return why a whole stream was late, or None where it was in time."""
    if record.number("first_event_ms") > record.number("objective_ms") > 0:
        return LossCause.LATE_FIRST_EVENT
    if not record.number("longest_pause_ms") > record.number("pause_goal_ms") > 0:
        return None
    joints = lives.joints.get(record.request_id, set())
    at_joint = int(record.number("longest_pause_at")) in joints
    return LossCause.LATE_AT_RESUME if at_joint else LossCause.LATE_WITHIN_REPLICA
