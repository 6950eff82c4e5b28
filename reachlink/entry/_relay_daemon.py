"""The relaying entry daemon: a callers' border, readiness, and background work."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from random import Random

from aiohttp import web

from reachlink.entry._borders import CALLER_BORDERS, CallerBorder
from reachlink.entry._follower import SettingsFollower
from reachlink.entry._forced_stop import forced_patience_s
from reachlink.entry._list_reader import ListReader
from reachlink.entry._peer_settings import CHANNEL_SETTINGS
from reachlink.entry._relay_config import RelayConfig
from reachlink.entry._relay_node import RelayNode
from reachlink.entry._unfinished import log_unfinished
from reachlink.ingress import PROBE_LIMITS, BoundedAppRunner
from reachlink.kernel import json_response, steady_time, watch_suspensions
from reachlink.membership import PLATFORMS

# How often a planned stop looks whether requests still run, in seconds.
DRAIN_POLL_S = 0.05
# How often a planned stop looks whether the final answers are due, in seconds.
END_POLL_S = 0.1
# How long a stop waits for the last final answers to be written, in seconds.
LAST_WRITES_S = 0.05
# How long a planned stop waits for a caller that reads nothing of its last answer, in seconds.
UNREAD_PATIENCE_S = 2.0

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RelayDaemon:
    """One relaying entry instance.

    Parameters
    ----------
    config : RelayConfig
        Configuration of the process.
    listener : socket.socket, optional
        Listens where callers come since before this process had loaded its libraries.
    """

    def __init__(self, config: RelayConfig, listener: socket.socket | None = None) -> None:
        self._config = config
        self._listener = listener
        self._node = RelayNode(config)
        self._follower = SettingsFollower(self._node)
        self._node.metrics.export_settings(
            lambda: self._node.index.number if self._node.index else 0,
            lambda: self._node.tree.revision,
            lambda: self._follower.unanswered_s,
            lambda: self._node.confirmation.age_s,
        )
        backoffs = self._node.client.pacing.backoffs
        self._node.metrics.export_backoffs(lambda: backoffs.count(steady_time()))
        self._node.metrics.export_held(self._node.held)
        self._node.metrics.export_limits(self._node.client.pacing.limits.count)
        self._node.metrics.export_brittle(self._node.client.pacing.brittle.count)
        self._node.metrics.export_paces(
            self._node.tracker.paces.steady_paces, lambda: self._node.adapter.unreadable_loads
        )
        self._node.metrics.export_quarantine(
            lambda: len(self._node.quarantine.held(steady_time())),
            lambda: len(self._node.quarantine.suspects),
        )
        self._platform = PLATFORMS.get(config.platform.adapter)(config.platform.url)
        self._reader = ListReader(
            self._platform,
            self._node.directory,
            self._node.listed,
            self._node.list_readers,
            config.platform.interval_s,
            config.platform.shared_interval_s,
            self._node.reading_role,
            Random(),
        )
        self._border: CallerBorder = CALLER_BORDERS.get(config.border)(self._node)
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open sockets and start background work."""
        node, config = self._node, self._config
        node.bus.handle(CHANNEL_SETTINGS, self._follower.peers.answer)
        node.bus.bind(config.bus_address)
        self._tasks = [
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self._reader.run()),
            asyncio.create_task(node.teller.run()),
            asyncio.create_task(node.member.run()),
            asyncio.create_task(node.reports.run()),
            asyncio.create_task(node.crash_news.run()),
            asyncio.create_task(watch_suspensions(node.on_resumed)),
        ]
        await self._border.start(config.host, config.port, self._listener)
        await self._serve(config.readiness_path, self._readiness, config.readiness_port)
        if config.metrics_port:
            await self._serve("/metrics", self._metrics_page, config.metrics_port)
        node.log.info("entry_started", address=f"{config.host}:{config.port}")

    def take_seeds(self, seeds: list[str]) -> None:
        """Take other addresses where control instances may be found."""
        self._node.take_seeds(seeds)

    async def failed(self) -> None:
        """Wait for ever: nothing ends this daemon but a signal."""
        await asyncio.Event().wait()

    async def drain(self) -> None:
        """Say not ready, let the balancer notice, and finish what runs."""
        node = self._node
        node.begin_drain()
        node.replica_reach.server.drain()
        # It goes on where a second signal ends the drain.
        self._tasks.append(asyncio.create_task(self._end_in_time()))
        await asyncio.sleep(self._config.balancer_delay_s)
        # What callers have yet to read of whole answers would be cut off as well.
        while node.running_requests or len(node.readers) or node.replica_reach.server.count:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._border.stop_listening()
        await node.connections.finish(UNREAD_PATIENCE_S)
        node.log.info("drained")

    async def _end_in_time(self) -> None:
        """Log what is unfinished when the final answers are due, and give those that can be."""
        node = self._node
        due_at = node.planned_stop.answers_due_at if node.planned_stop is not None else None
        if due_at is None:
            return
        # Step by step: timers stand still while the machine is suspended.
        while (left_s := due_at - steady_time()) > 0.0:
            await asyncio.sleep(min(left_s, END_POLL_S))
        log_unfinished(node.log, node.runner.in_progress, steady_time())
        node.runner.end_unanswered()

    async def stop(self) -> None:
        """Close everything, after a bounded wait for the requests that still run."""
        node = self._node
        await self._border.stop_listening()
        # Requests that still run may need another replica, or a newer table, to go on.
        await node.connections.wait(forced_patience_s(node.planned_stop, steady_time()))
        # Here as well: after a stall of the process this comes before `_end_in_time`.
        node.runner.end_unanswered()
        await node.connections.end(LAST_WRITES_S)
        for task in self._tasks:
            task.cancel()
        await self._border.close()
        node.readers.close()
        node.connections.close()
        for runner in self._runners:
            await runner.cleanup()
        node.replica_reach.server.close()
        await node.client.close()
        await self._platform.close()
        node.bus.close()
        node.metrics.close()

    async def _serve(self, path: str, handler: _Handler, port: int) -> None:
        app = web.Application()
        app.add_routes([web.get(path, handler)])
        runner = BoundedAppRunner(app, PROBE_LIMITS, self._node.on_connection_closed)
        await runner.listen(self._config.host, port)
        self._runners.append(runner)

    async def _readiness(self, request: web.Request) -> web.Response:
        reason = self._not_ready()
        if reason:
            return json_response({"ready": False, "reason": reason}, 503)
        return json_response({"ready": True, "revision": self._node.tree.revision})

    def _not_ready(self) -> str:
        node = self._node
        if node.draining:
            return "draining"
        if not node.ready:
            return node.not_ready_reason
        if node.index is None:
            return "no routing table was published yet"
        if not self._reader.has_read:
            return "the platform's list was not read yet"
        if not node.crash_news.initial_sync_done:
            return "what the others know of crashes was not learned yet"
        if unserved := node.unserved():
            return f"the zone is cut off without a replica of {unserved}"
        return ""

    async def _metrics_page(self, request: web.Request) -> web.Response:
        return web.Response(body=self._node.metrics.page(), content_type="text/plain")
