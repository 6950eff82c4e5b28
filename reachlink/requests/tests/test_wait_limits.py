"""Limits on the wait of a request for room, and for the end of a backoff."""

import pytest

from reachlink.requests import _wait_limits as wait_limits
from reachlink.requests.tests.world import world
from reachlink.routing import RequestKind

# Objective of the route for calls, in seconds.
OBJECTIVE_S = 0.2


@pytest.mark.parametrize(
    "share,backoff_s,looks",
    [
        (0.1, None, True),
        (0.3, None, False),
        # The request waits for a backoff, so that the limit for room does not apply.
        (0.3, 0.0, True),
        (0.1, 0.3 * OBJECTIVE_S, True),
        (0.1, 0.5 * OBJECTIVE_S, False),
        (0.6, 0.0, False),
        (0.0, 300.0, False),
    ],
)
def test_a_request_checks_again_only_within_its_wait_limit(share, backoff_s, looks):
    request = world().request(RequestKind.ONCE)
    now = request.arrived_at + share * request.route.objective_s
    assert request.route.objective_s == OBJECTIVE_S
    assert (wait_limits.poll_delay_s(request, now, backoff_s) is not None) == looks


def test_the_next_check_is_not_later_than_the_end_of_a_backoff():
    request = world().request(RequestKind.STREAM)
    pause_s = wait_limits.poll_delay_s(request, request.arrived_at, 0.06)
    assert pause_s == 0.06
    assert (
        wait_limits.poll_delay_s(request, request.arrived_at, 0.4)
        == wait_limits.PACING_POLL_INTERVAL_S
    )
