"""Each send of a request that may run once leaves a log line that says where and how it went."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
from structlog.testing import capture_logs

from reachlink.telemetry import get_logger
from reachlink.upstreams import (
    AlreadySentError,
    HttpClient,
    LoggedSend,
    Send,
    SendRecord,
    UnconfirmedRefusalError,
    UpstreamBrokenError,
    UpstreamInvalidError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from reachlink.upstreams._sends import recording
from reachlink.upstreams.tests.test_connections import OK, read_request, serve


@dataclass
class Served:
    """A replica that answers each request and keeps its connections, and a client of it."""

    client: HttpClient
    url: str
    opened: list[int]
    received: list[bytes]


@asynccontextmanager
async def replica() -> AsyncIterator[Served]:
    received: list[bytes] = []

    async def script(reader, writer):
        while True:
            received.append(await read_request(reader))
            writer.write(OK)

    server, url, opened = await serve(script)
    client = HttpClient()
    try:
        yield Served(client, url, opened, received)
    finally:
        await client.close()
        server.close()


async def relay(client: HttpClient, url: str, record: SendRecord) -> None:
    response = await client.relay("POST", url, [("Host", "h")], b"", record=record)
    await response.read()
    response.release()


def logged(record: SendRecord, may_repeat: bool, error: Exception | None = None) -> list[dict]:
    """Return the lines of one more send, which may fail."""
    with capture_logs() as lines:
        try:
            with LoggedSend(get_logger(), "id-1", "r1", record, may_repeat) as send:
                record.add(Send("h:1", record.count + 1))
                if error is not None:
                    raise error
                send.note_answer(200)
        except type(error or UpstreamBrokenError("")):
            pass
    return [dict(line) for line in lines]


def test_a_record_tells_new_connections_from_kept_ones():
    async def scenario():
        records = [SendRecord(), SendRecord()]
        async with replica() as served:
            for record in records:
                await relay(served.client, served.url, record)
        first, second = (record.sends[0] for record in records)
        assert first.connection == second.connection
        assert (first.requests_before, second.requests_before) == (0, 1)
        assert first.address in served.url and first.peer == ""

    asyncio.run(scenario())


def test_an_attempt_without_a_connection_is_no_send():
    async def scenario():
        server, url, _ = await serve(lambda reader, writer: asyncio.sleep(0))
        server.close()
        await server.wait_closed()
        client, record = HttpClient(), SendRecord()
        with pytest.raises(UpstreamUnreachableError):
            await relay(client, url, record)
        await client.close()
        assert record.count == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("error", "outcome", "status"),
    [
        (None, "answered", 200),
        (UpstreamBrokenError("reset"), "broken", 0),
        (UpstreamRefusedError(503, "full", ""), "not_run", 503),
        (UnconfirmedRefusalError(503), "unconfirmed_refusal", 503),
        (UpstreamInvalidError(400, "too_long", ""), "answered", 400),
        (asyncio.CancelledError(), "cancelled", 0),
    ],
)
def test_a_send_is_logged_with_its_outcome(error, outcome, status):
    (line,) = logged(SendRecord(), may_repeat=False, error=error)
    assert (line["event"], line["request_id"], line["number"]) == ("request_sent", "id-1", 1)
    assert (line["outcome"], line["status"], line["replica"]) == (outcome, status, "r1")


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_an_answer_whose_status_promises_more_than_its_replica_is_told_apart(status):
    with capture_logs() as lines:
        for not_run in (False, True):
            record = SendRecord()
            with LoggedSend(get_logger(), "id-1", "r1", record, False) as send:
                record.add(Send("h:1", 1))
                send.note_answer(status, not_run)
    assert [line["outcome"] for line in lines] == ["unconfirmed_refusal", "not_run"]


def test_what_may_be_repeated_is_logged_from_its_second_send_on():
    record = SendRecord()
    assert logged(record, may_repeat=True) == []
    (line,) = logged(record, may_repeat=True)
    assert line["number"] == 2


def test_a_request_is_not_sent_twice_on_a_connection():
    async def scenario():
        repeated, other = SendRecord(), SendRecord()
        async with replica() as served:
            # Both connections are kept for others; the last one used comes first.
            for record in (repeated, repeated, other):
                await relay(served.client, served.url, record)
        first, second = repeated.sends
        assert first.connection != second.connection
        assert other.sends[0].connection == second.connection
        assert len(served.opened) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize(("not_run", "sent"), [(False, 1), (True, 2)])
def test_what_may_run_once_is_sent_again_only_if_it_is_known_not_to_have_run(not_run, sent):
    async def scenario():
        record = SendRecord(once=True)
        async with replica() as served:
            with capture_logs() as lines:
                with LoggedSend(get_logger(), "id-1", "r1", record, may_repeat=False) as send:
                    await relay(served.client, served.url, record)
                    send.note_answer(200, not_run)
                try:
                    with LoggedSend(get_logger(), "id-1", "r1", record, may_repeat=False):
                        await relay(served.client, served.url, record)
                except AlreadySentError:
                    assert not not_run
        events = [line["event"] for line in lines]
        assert len(served.received) == record.count == sent
        assert events.count("request_not_sent_again") == 2 - sent

    asyncio.run(scenario())


def test_a_report_that_is_asked_for_while_a_request_is_sent_is_no_send_of_it():
    async def scenario():
        record = SendRecord(once=True)
        async with replica() as served:
            with recording(record):
                for _ in range(2):
                    async with served.client.control("GET", served.url) as response:
                        await response.read()
        assert record.count == 0

    asyncio.run(scenario())
