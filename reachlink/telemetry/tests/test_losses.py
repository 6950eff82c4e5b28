"""Tests of the summary of losses, on log lines in the format of the entry instances."""

from reachlink.telemetry import LossCause, LossGroup, read_records, summarize_losses


def line(event: str, second: int, **fields: object) -> str:
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"timestamp=2026-01-01T00:00:{second:02}.5Z level=info event={event} {pairs}"


def delivered(request_id: str, **fields: object) -> str:
    defaults = {"first_event_ms": 400, "objective_ms": 1800, "longest_pause_ms": 90}
    defaults |= {"longest_pause_at": 7, "pause_goal_ms": 180}
    return line("stream_delivered", 9, request_id=request_id, route="chat", **(defaults | fields))


def ended(request_id: str, outcome: str, route: str = "chat") -> str:
    return line("request_ended", 9, request_id=request_id, route=route, outcome=outcome)


def causes(*lines: str) -> dict[str, LossCause]:
    summary = summarize_losses(read_records(lines))
    return {loss.request_id: loss.cause for loss in summary.losses}


def test_cause_of_each_loss_follows_from_its_log_lines():
    found = causes(
        line("upstream_leaving", 1, replica="r1", source="report"),
        line("stream_broken", 8, request_id="left", replica="r1", last_event=4),
        line("stream_broken", 8, request_id="crashed", replica="r2", last_event=4),
        line("stream_joined", 8, request_id="resume", event_number=31, pause_ms=260),
        ended("left", "no_copy_left"),
        ended("crashed", "no_copy_left"),
        ended("full", "no_replica"),
        ended("gone", "cancelled"),
        ended("slow", "timeout"),
        ended("queued", "no_room"),
        ended("queue", "line_full"),
        ended("share", "over_share"),
        ended("held", "over_limit"),
        ended("zone", "zone_cut_off"),
        ended("odd", "event_missing"),
        delivered("first", first_event_ms=2000),
        delivered("resume", longest_pause_ms=260, longest_pause_at=31),
        delivered("pause", longest_pause_ms=260, longest_pause_at=40),
        delivered("good"),
    )
    assert found == {
        "left": LossCause.REPLICA_LEFT_WITHOUT_COPY,
        "crashed": LossCause.STREAM_BROKEN_WITHOUT_COPY,
        "full": LossCause.NO_ROOM,
        "gone": LossCause.CALLER_LEFT,
        "slow": LossCause.TIMEOUT,
        "queued": LossCause.NO_ROOM,
        "queue": LossCause.QUEUE_FULL,
        "share": LossCause.OVER_SHARE,
        "held": LossCause.LIMITED_BY_REPLICAS,
        "zone": LossCause.NO_ZONE_AVAILABLE,
        "odd": LossCause.OTHER_FAILURE,
        "first": LossCause.LATE_FIRST_EVENT,
        "resume": LossCause.LATE_AT_RESUME,
        "pause": LossCause.LATE_WITHIN_REPLICA,
    }


def test_losses_are_counted_by_route():
    lines = [ended("a", "timeout"), ended("b", "timeout"), ended("c", "timeout", "plain")]
    summary = summarize_losses(read_records([*lines, delivered("d")]))
    assert summary.counts() == {("chat", LossCause.TIMEOUT): 2, ("plain", LossCause.TIMEOUT): 1}
    assert summary.in_time == {"chat": 1}


def test_losses_are_counted_by_zone_replica_and_workspace():
    lines = [
        line("line_joined", 1, request_id="a", workspace="w1", availability_zone="z1"),
        line("generation_placed", 2, request_id="a", replica="r1", availability_zone="z1"),
        line("stream_joined", 3, request_id="a", replica="r2", event_number=3),
        line("request_ended", 9, request_id="a", outcome="timeout", availability_zone="z1"),
        delivered("b", replica="r2", longest_pause_ms=260, availability_zone="z2", workspace="w2"),
    ]
    summary = summarize_losses(read_records(reversed(lines)))
    timeout, pause = LossCause.TIMEOUT, LossCause.LATE_WITHIN_REPLICA
    assert summary.counts(LossGroup.ZONE) == {("z1", timeout): 1, ("z2", pause): 1}
    assert summary.counts(LossGroup.REPLICA) == {("r2", timeout): 1, ("r2", pause): 1}
    assert summary.counts(LossGroup.WORKSPACE) == {("w1", timeout): 1, ("w2", pause): 1}


def test_lines_of_other_programs_are_ignored():
    lines = ["", "Traceback (most recent call last):", "  12.5 e1 " + ended("a", "timeout")]
    (record,) = read_records(lines)
    assert record.event == "request_ended" and record.request_id == "a"


def test_quoted_values_and_flags_are_read():
    (record,) = read_records([line("x", 1, reason='"no room = here"', near="") + " draining"])
    assert record.fields["reason"] == "no room = here"
    assert record.fields["draining"] == ""
    assert record.number("missing") == 0.0
