"""Log lines of this process."""

import pytest
import structlog

from reachlink.telemetry import configure_logs, get_logger


@pytest.fixture(autouse=True)
def restored():
    before = structlog.get_config()
    yield
    structlog.configure(**before)
    structlog.contextvars.clear_contextvars()


def test_a_value_that_a_caller_chose_does_not_fill_the_log(capsys):
    configure_logs(instance="entry-1")
    get_logger().info("request_refused", request="r" * 10_000, status=503, reason="no_room")
    (line,) = capsys.readouterr().out.splitlines()
    assert "status=503 reason=no_room" in line and "request=rrr" in line
    assert len(line) <= 1_000
