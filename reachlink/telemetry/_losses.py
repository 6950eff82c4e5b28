"""Why requests were lost or late, from the logs of all instances; pure."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum

from reachlink.telemetry._records import LogRecord


class LossCause(Enum):
    """Why a request was not answered in time."""

    NO_ROOM = "no replica had room"
    LEFT_WITHOUT_COPY = "its replica left and no other one had its memory"
    BROKEN_WITHOUT_COPY = "its replica broke off and no other one had its memory"
    CALLER_LEFT = "its caller left"
    TIMEOUT = "its time was over"
    OTHER_FAILURE = "it failed in another way"
    LATE_FIRST_EVENT = "its first event came late"
    LATE_AT_JOINT = "it paused too long when it went on at another replica"
    LATE_WITHIN_REPLICA = "it paused too long within one replica"


@dataclass(slots=True, frozen=True)
class Loss:
    """One request that was lost or late."""

    request_id: str
    route: str
    cause: LossCause
    at: datetime


@dataclass(slots=True)
class LossAccount:
    """Losses, and how many streams came whole and in time, by route."""

    losses: list[Loss] = field(default_factory=list)
    in_time: dict[str, int] = field(default_factory=dict)

    def counts(self) -> dict[tuple[str, LossCause], int]:
        """Return how many requests each cause took on each route."""
        found: dict[tuple[str, LossCause], int] = {}
        for loss in self.losses:
            key = loss.route, loss.cause
            found[key] = found.get(key, 0) + 1
        return found


_BY_OUTCOME = {
    "no_replica": LossCause.NO_ROOM,
    "cancelled": LossCause.CALLER_LEFT,
    "timeout": LossCause.TIMEOUT,
}


def account_losses(records: Iterable[LogRecord]) -> LossAccount:
    """Return what the logs of all entry instances tell of lost and late requests.

    Parameters
    ----------
    records : iterable of LogRecord
        In any order. Plain requests that were answered leave no line, so that
        only streams are counted as in time.
    """
    records = list(records)
    leaving = {r.fields.get("replica", "") for r in records if r.event == "upstream_leaving"}
    homes: dict[str, str] = {}
    joints: dict[str, set[int]] = {}
    for record in records:
        if record.event == "stream_broken":
            homes[record.request_id] = record.fields.get("replica", "")
        elif record.event == "stream_joined":
            joints.setdefault(record.request_id, set()).add(int(record.number("event_number")))
    account = LossAccount()
    for record in records:
        if record.event == "request_ended":
            _add(account, record, _cause_of_end(record, homes, leaving))
        elif record.event == "stream_delivered":
            _add(account, record, _cause_of_delay(record, joints))
    return account


def _add(account: LossAccount, record: LogRecord, cause: LossCause | None) -> None:
    route = record.fields.get("route", "")
    if cause is None:
        account.in_time[route] = account.in_time.get(route, 0) + 1
    else:
        account.losses.append(Loss(record.request_id, route, cause, record.at))


def _cause_of_end(record: LogRecord, homes: dict[str, str], leaving: set[str]) -> LossCause:
    outcome = record.fields.get("outcome", "")
    if outcome == "no_copy_left":
        left = homes.get(record.request_id) in leaving
        return LossCause.LEFT_WITHOUT_COPY if left else LossCause.BROKEN_WITHOUT_COPY
    return _BY_OUTCOME.get(outcome, LossCause.OTHER_FAILURE)


def _cause_of_delay(record: LogRecord, joints: dict[str, set[int]]) -> LossCause | None:
    """Return why a whole stream was late, or None where it was in time."""
    if record.number("first_event_ms") > record.number("objective_ms") > 0:
        return LossCause.LATE_FIRST_EVENT
    if not record.number("longest_pause_ms") > record.number("pause_goal_ms") > 0:
        return None
    at_joint = int(record.number("longest_pause_at")) in joints.get(record.request_id, set())
    return LossCause.LATE_AT_JOINT if at_joint else LossCause.LATE_WITHIN_REPLICA
