"""``reachlink losses`` and ``trace`` on collected logs."""

import pytest

from reachlink.cli._main import app
from reachlink.pacing import HoldReason
from reachlink.requests._obstacles import Obstacle
from reachlink.scheduling import RefusalReason
from reachlink.telemetry import LossCause, read_records, summarize_losses
from reachlink.telemetry.tests.test_losses import delivered, ended, line


@pytest.fixture
def logs(tmp_path):
    first, second = tmp_path / "e1.log", tmp_path / "e2.log"
    first.write_text(
        "\n".join(
            [
                line("stream_broken", 8, request_id="a", replica="r1", last_event=4),
                ended("a", "no_copy_left"),
                delivered("b"),
            ]
        )
    )
    second.write_text(line("upstream_leaving", 7, replica="r1", source="report") + "\n")
    return [str(first), str(second)]


def call(*words: str) -> int:
    with pytest.raises(SystemExit) as caught:
        app(list(words))
    code = caught.value.code
    return code if isinstance(code, int) else 0


def test_losses_by_route_and_cause(logs, capsys):
    call("losses", *logs)
    out = capsys.readouterr().out
    assert "route=chat in_time=1" in out
    assert 'lost_or_late=1 cause="its replica left and no other one had its memory"' in out


def test_losses_by_replica(logs, capsys):
    call("losses", *logs, "--by", "replica")
    out = capsys.readouterr().out
    assert "replica=r1 lost_or_late=1" in out


@pytest.mark.parametrize("reason", [*RefusalReason, *HoldReason, *Obstacle])
def test_each_refusal_has_a_cause_of_its_own(reason):
    account = summarize_losses(read_records([ended("a", reason.value)]))
    assert [loss.cause for loss in account.losses] != [LossCause.OTHER_FAILURE]


def test_a_trace_joins_the_instances_lines_in_order(logs, capsys):
    call("trace", "a", *logs)
    lines = capsys.readouterr().out.splitlines()
    events = [text.split("event=")[1].split()[0] for text in lines]
    assert events == ["upstream_leaving", "stream_broken", "request_ended"]


@pytest.mark.parametrize(
    "words,said", [(("trace", "nobody"), "nobody"), (("losses", "/no/such"), "/no/such")]
)
def test_what_is_not_there_is_named(logs, capsys, words, said):
    files = logs if words[0] == "trace" else []
    assert call(*words, *files) == 1
    assert said in capsys.readouterr().err


def test_a_trace_of_a_held_request_shows_the_crashes_under_others_like_it(tmp_path, capsys):
    """The page on operations leads from the id of who was refused to the replicas."""
    files = [tmp_path / "e1.log", tmp_path / "e2.log"]
    same, other = "00000000000000ff", "00000000000000ee"
    files[0].write_text(
        "\n".join(
            [
                line("run_broken", 5, request_id="x", fingerprint=same, replica="r1"),
                line("run_broken", 5, request_id="y", fingerprint=other, replica="r1"),
                line("quarantine_begun", 6, fingerprint=same, replicas="r1,r2,r3"),
            ]
        )
    )
    files[1].write_text(
        "\n".join(
            [
                line("generation_placed", 4, request_id="x", fingerprint=same, replica="r1"),
                line("request_held", 7, request_id="a", fingerprint=same, crashes=3),
            ]
        )
    )
    call("trace", "a", *map(str, files))
    lines = capsys.readouterr().out.splitlines()
    events = [text.split("event=")[1].split()[0] for text in lines]
    assert events == ["run_broken", "quarantine_begun", "request_held"]
    assert other not in "".join(lines)


def test_a_trace_of_a_held_request_shows_the_crashes_under_others_with_its_part(tmp_path, capsys):
    logs = tmp_path / "e1.log"
    part, other = "00000000000000ff", "00000000000000ee"
    lines = [
        line("run_broken", 5, request_id="x", fingerprint="1", parts=f"{part},2", replica="r1"),
        line("run_broken", 5, request_id="y", fingerprint="3", parts=other, replica="r1"),
        line("quarantine_begun", 6, fingerprint=part, digests=part, replicas="r1,r2,r3"),
        line("request_held", 7, request_id="a", fingerprint="4", held_by=part, crashes=3),
    ]
    logs.write_text("\n".join(lines))
    call("trace", "a", str(logs))
    shown = capsys.readouterr().out.splitlines()
    events = [text.split("event=")[1].split()[0] for text in shown]
    assert events == ["run_broken", "quarantine_begun", "request_held"]
    assert other not in "".join(shown)
