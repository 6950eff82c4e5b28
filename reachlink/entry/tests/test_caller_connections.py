"""Connections of callers in virtual time: when they are closed, and what is read before."""

import asyncio
import time

import pytest
import uvloop
from aiohttp import web

from reachlink.entry import CallerConnections, CallerServer
from reachlink.entry import _caller_connections as caller_connections
from reachlink.entry._caller_connections import CHECK_INTERVAL_S, LAST_READ_S, QUIET_S
from reachlink.entry.tests.wire import Wire
from reachlink.ingress import caller_limits
from reachlink.testing._virtual_loop import run_virtually

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
LAST_REQUEST = REQUEST.replace(b"Host: a", b"Host: a\r\nConnection: close")
HEAD, BODY = REQUEST[:-4], REQUEST[-4:]
IDLE_S = 5.0
PATIENCE_S = 2.0


class Listener:
    """A server without sockets, whose handler takes some time."""

    def __init__(self, handling_s: float = 0.0) -> None:
        self._handling_s = handling_s
        self.closed: list[str] = []
        # Called each time that the idle time in force is looked up.
        self.on_idle_time = lambda: None
        self.connections = CallerConnections(self._idle_s, self.closed.append, self.now)
        self._server = CallerServer(self._answer, self.connections, caller_limits())

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def connect(self) -> Wire:
        return Wire(self._server)

    def _idle_s(self) -> float:
        self.on_idle_time()
        return IDLE_S

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        await asyncio.sleep(self._handling_s)
        return web.Response(text="done")


def answers(wire: Wire) -> int:
    return wire.received.count(b"HTTP/1.1 200 OK")


async def ask(wire: Wire) -> None:
    """Send a request and wait for its answer."""
    before = answers(wire)
    wire.send(REQUEST)
    while answers(wire) == before:
        await asyncio.sleep(0.01)


def test_a_request_that_was_read_as_its_connection_became_overdue_is_answered():
    async def work():
        listener = Listener()
        wire = listener.connect()
        await ask(wire)
        rested_at = listener.now()

        def send_once_overdue():
            if listener.now() - rested_at > IDLE_S + 1.0:
                listener.on_idle_time = lambda: None
                wire.send(REQUEST)

        listener.on_idle_time = send_once_overdue
        await asyncio.sleep(IDLE_S + 2.0)
        assert answers(wire) == 2 and not wire.closed

    run_virtually(work())


def test_a_request_that_was_sent_in_time_while_the_process_stood_still_is_answered():
    async def work():
        listener = Listener()
        wire = listener.connect()
        await ask(wire)
        loop = asyncio.get_running_loop()
        loop.advance(IDLE_S + 2.0)
        # The event loop runs the timers that are due before it reads.
        loop.call_soon(loop.call_soon, wire.send, REQUEST)
        await asyncio.sleep(1.0)
        assert answers(wire) == 2 and not wire.closed

    run_virtually(work())


def test_a_request_that_was_read_is_answered_though_the_turn_of_the_event_loop_is_long(monkeypatch):
    monkeypatch.setattr(caller_connections, "IDLE_MARGIN_S", -IDLE_S)

    async def work():
        listener = Listener()
        wire = listener.connect()
        checked = asyncio.Event()

        def send_before_a_long_turn():
            listener.on_idle_time = checked.set
            wire.send(REQUEST)
            asyncio.get_running_loop().call_soon(time.sleep, 2 * LAST_READ_S)

        listener.on_idle_time = send_before_a_long_turn
        await checked.wait()
        await asyncio.sleep(2 * LAST_READ_S)
        assert answers(wire) == 1

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())


def test_a_connection_is_not_closed_for_idleness_while_its_request_is_handled():
    async def work():
        listener = Listener(handling_s=4 * IDLE_S)
        wire = listener.connect()
        await ask(wire)
        assert not wire.closed and not listener.closed

    run_virtually(work())


def test_a_connection_on_which_nothing_is_ever_sent_is_not_kept():
    async def work():
        listener = Listener()
        wire = listener.connect()
        await asyncio.sleep(IDLE_S + 2.0)
        assert wire.closed and listener.closed == ["idle"]
        assert not len(listener.connections)

    run_virtually(work())


def test_connections_that_callers_have_closed_are_forgotten():
    async def work():
        listener = Listener()
        for _ in range(10):
            wire = listener.connect()
            await ask(wire)
            wire.close()
        await asyncio.sleep(0.1)
        assert not len(listener.connections) and not listener.closed

    run_virtually(work())


def test_a_stop_answers_a_request_that_follows_an_answer_closely():
    async def work():
        listener = Listener()
        wire = listener.connect()
        await ask(wire)
        finishing = asyncio.create_task(listener.connections.finish(PATIENCE_S))
        await asyncio.sleep(QUIET_S / 2)
        wire.send(REQUEST)
        await finishing
        assert answers(wire) == 2

    run_virtually(work())


def test_a_stop_answers_a_request_that_was_read_before_it_reads_no_more():
    async def work():
        listener = Listener(handling_s=1.0)
        wire = listener.connect()
        paused, pause = asyncio.Event(), wire.pause_reading

        def read_and_pause():
            wire.send(HEAD)
            pause()
            paused.set()

        wire.pause_reading = read_and_pause
        finishing = asyncio.create_task(listener.connections.finish(PATIENCE_S))
        await paused.wait()
        wire.send(BODY)
        await finishing
        assert answers(wire) == 1

    run_virtually(work())


def test_a_stop_answers_a_request_that_was_sent_while_the_process_stood_still():
    async def work():
        listener = Listener()
        wire = listener.connect()
        await ask(wire)
        loop = asyncio.get_running_loop()
        finishing = asyncio.create_task(listener.connections.finish(PATIENCE_S))
        await asyncio.sleep(0.0)
        loop.advance(2 * QUIET_S)
        # The event loop runs the timers that are due before it reads.
        loop.call_soon(loop.call_soon, wire.send, REQUEST)
        await finishing
        assert answers(wire) == 2

    run_virtually(work())


def test_a_stop_reads_no_request_that_it_does_not_answer():
    async def work():
        listener = Listener()
        wire = listener.connect()
        await asyncio.sleep(QUIET_S + 0.1)
        await listener.connections.finish(PATIENCE_S)
        wire.send(REQUEST)
        await asyncio.sleep(QUIET_S)
        assert not answers(wire) and not wire.reading

    run_virtually(work())


@pytest.mark.parametrize("unread_s,takes_s", [(1.0, 1.0), (100.0, PATIENCE_S)])
def test_a_stop_waits_for_callers_to_read_their_answers_but_not_without_end(unread_s, takes_s):
    async def work() -> float:
        listener = Listener()
        wire = listener.connect()
        await ask(wire)
        wire.unread_bytes = 100
        started = listener.now()
        asyncio.get_running_loop().call_later(unread_s, setattr, wire, "unread_bytes", 0)
        await listener.connections.finish(PATIENCE_S)
        return listener.now() - started

    assert takes_s <= run_virtually(work()) < takes_s + 2 * QUIET_S


def test_a_stop_waits_for_a_caller_to_read_an_answer_after_which_its_connection_closes():
    async def work():
        listener = Listener()
        wire = listener.connect()
        wire.unread_bytes = 100
        wire.send(LAST_REQUEST)
        while not wire.closed:
            await asyncio.sleep(0.01)
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        finishing = asyncio.create_task(listener.connections.finish(PATIENCE_S))
        await asyncio.wait({finishing}, timeout=PATIENCE_S / 2)
        assert not finishing.done()
        wire.read()
        await finishing
        assert listener.now() < PATIENCE_S + 2 * CHECK_INTERVAL_S

    run_virtually(work())
