"""Final answers promise no more than is known of their requests."""

import pytest

from reachlink.delivery import Outcome
from reachlink.entry.exceptions import RequestError, after_dispatch
from reachlink.requests import RequestFailedError

PROMISES = [408, 421, 429, 503]


@pytest.mark.parametrize("kind", [RequestFailedError, RequestError])
@pytest.mark.parametrize("status", PROMISES)
def test_a_final_answer_to_what_may_have_run_has_no_status_that_says_otherwise(kind, status):
    for outcome in (Outcome.UNKNOWN, Outcome.RAN):
        with pytest.raises(ValueError, match=str(status)):
            kind(status, "code", outcome=outcome, **_message(kind))
    assert kind(status, "code", outcome=Outcome.NOT_RUN, **_message(kind)).status == status


def _message(kind: type) -> dict[str, str]:
    return {"message": "text"} if kind is RequestError else {}


@pytest.mark.parametrize("status", PROMISES)
def test_an_error_loses_its_promise_if_an_earlier_attempt_may_have_run(status):
    told = after_dispatch(RequestError(status, "rate_limited", "text"))
    assert (told.status, told.code, told.outcome) == (502, "upstream_failed", Outcome.UNKNOWN)
