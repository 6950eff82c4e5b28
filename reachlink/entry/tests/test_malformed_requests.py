"""Requests that cannot be read are refused as errors of their caller, which did not run."""

import asyncio

import pytest

from reachlink.entry.tests.own_instance import OwnInstance, Replica, chat_body, serve_tokens

CHAT = "/v1/chat/completions"


def ask(path: str, body: bytes = b"{}", headers: bytes = b"", **options: bytes):
    async def story():
        replica = Replica(serve_tokens)
        async with OwnInstance(replica) as instance:
            caller = await instance.connect()
            caller.send(path, body, headers, **options)
            answer = await caller.answer()
            assert not replica.requests
            return answer.status, answer.error()

    return asyncio.run(story())


@pytest.mark.parametrize("path", [CHAT, "/readings/x"])
def test_a_key_that_is_no_text_is_not_a_failure_of_the_instance(path):
    status, error = ask(path, chat_body(), key=b"\xff\xfe")
    assert (status, error["code"], error["outcome"]) == (401, "invalid_key", "not_run")


def test_an_idempotency_key_that_is_no_text_is_not_a_failure_of_the_instance():
    headers = b"Idempotency-Key: \xff\r\nReachlink-Repeatable: no\r\n"
    status, error = ask("/readings/x", headers=headers)
    assert (status, error["code"], error["outcome"]) == (400, "invalid_header", "not_run")


@pytest.mark.parametrize(
    "field", [b"[" * 100_000, b"[" * 990 + b"]" * 990, b"1" * 5000], ids=["deep", "nested", "long"]
)
def test_a_body_that_is_too_deep_or_has_too_long_a_number_is_not_a_failure_of_the_instance(field):
    body = b'{"model": "explain", "messages": [{"role": "user"}], "other": %b}' % field
    status, error = ask(CHAT, body)
    assert (status, error["code"], error["outcome"]) == (400, "invalid_json", "not_run")


@pytest.mark.parametrize("path", [CHAT, "/readings/x"])
def test_a_body_that_is_not_what_its_encoding_says_is_not_a_failure_of_the_instance(path):
    status, error = ask(path, b"no gzip", headers=b"Content-Encoding: gzip\r\n")
    assert (status, error["code"], error["outcome"]) == (400, "invalid_body", "not_run")
