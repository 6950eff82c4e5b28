"""Bodies for engines keep what callers sent in fields that are not read."""

import json

import pytest

from reachlink.entry._chat_models import upstream_body
from reachlink.entry.exceptions import RequestError


def test_fields_that_are_not_read_pass_on_as_they_came():
    raw = '{"model": "a", "stream": false, "more": [1.50, {"x": "\\u00e4ö"}, 1e400], "big": 9%s}'
    sent = upstream_body((raw % ("0" * 30)).encode(), "b", 3)
    assert '[1.50, {"x": "\\u00e4ö"}, 1e400]'.encode() in sent
    read = json.loads(sent)
    assert (read["model"], read["stream"], read["priority"]) == ("b", True, 3)
    assert read["big"] == 9 * 10**30


@pytest.mark.parametrize(
    "raw", [b'{"more": "\xff"}', b'{"more": [1,]}', b"[]", b'{"more": ' + b"[" * 100_000]
)
def test_a_body_that_cannot_be_passed_on_is_refused(raw):
    with pytest.raises(RequestError) as refused:
        upstream_body(raw, "b", 3)
    assert refused.value.status == 400
