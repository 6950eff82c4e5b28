"""The entry daemon: HTTP for callers and operators, and the background work."""

import asyncio
import contextlib
import uuid
from collections import deque
from collections.abc import Awaitable, Callable

from aiohttp import web

from reachlink.control import OperatorError, OperatorHandlers, RequestFreshness
from reachlink.entry._caller_connections import CallerConnections
from reachlink.entry._caller_server import CLOSE_TIMEOUT_S, SERVER_KEEPALIVE_S
from reachlink.entry._chat import ChatHandlers
from reachlink.entry._config import EntryConfig
from reachlink.entry._digests import Digest, PlacementNote
from reachlink.entry._follower import SettingsFollower
from reachlink.entry._forced_stop import forced_patience_s
from reachlink.entry._guardians import CarriedReport
from reachlink.entry._http import Handler, error_middleware, error_response
from reachlink.entry._node import (
    CHANNEL_CARRIED,
    CHANNEL_CRASHES,
    CHANNEL_LIMITS,
    CHANNEL_PLACED,
    EntryNode,
)
from reachlink.entry._peer_settings import CHANNEL_SETTINGS
from reachlink.entry._plain import PlainHandlers
from reachlink.entry._sinks import SLOW_READER_S
from reachlink.entry.exceptions import RequestError, no_room_error
from reachlink.ingress import BoundedAppRunner, caller_limits
from reachlink.kernel import LoopGaps, json_response, steady_time, watch_suspensions
from reachlink.membership import PLATFORMS, LeavingSource, PlatformUnavailableError
from reachlink.messaging import decode, encode
from reachlink.pacing import LimitUpdate
from reachlink.quarantine import QuarantineNote
from reachlink.upstreams import EngineAdapter, LoadReport, Replica, UpstreamError

CHANNEL_DIGEST = "digest"
DRAIN_POLL_S = 0.05
# Time in seconds that a planned stop goes on after all final answers were due.
LAST_WRITES_S = 0.2
# How many replicas are read in one round, whatever their number.
MAX_REPORTS = 6
MAX_CACHES = 3
MAX_HEADER_BYTES = 16 << 10


class EntryDaemon:
    """One entry instance.

    Parameters
    ----------
    config : EntryConfig
        Configuration of the process.
    """

    def __init__(self, config: EntryConfig) -> None:
        self._config = config
        self._node = EntryNode(config)
        self._follower = SettingsFollower(self._node)
        self._platform = PLATFORMS.get(config.platform.adapter)(self._platform_url())
        self._gaps = LoopGaps()
        self._operators = OperatorHandlers(
            self._node.control,
            lambda: self._node.tree,
            config.bootstrap_key_hash,
            RequestFreshness(self._gaps),
            settings_confirmed=lambda: self._node.has_confirmed_settings,
        )
        self._runner: BoundedAppRunner | None = None
        # The HTTP library closes connections that rest for long.
        self._connections = CallerConnections(lambda: SERVER_KEEPALIVE_S)
        self._tasks: list[asyncio.Task[None]] = []
        self._reports: deque[str] = deque()
        self._caches: deque[str] = deque()
        self._list_read = False

    async def start(self) -> None:
        """Open sockets and start background work."""
        node, config = self._node, self._config
        node.bus.handle(CHANNEL_DIGEST, self._on_digest)
        node.bus.handle(CHANNEL_PLACED, self._on_placed)
        node.bus.handle(CHANNEL_CARRIED, self._on_carried)
        node.bus.handle(CHANNEL_CRASHES, self._on_crashes)
        node.bus.handle(CHANNEL_LIMITS, self._on_limits)
        node.bus.handle(CHANNEL_SETTINGS, self._follower.peers.answer)
        node.bus.bind(config.bus_address)
        self._tasks = [
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(node.crash_news.run()),
            asyncio.create_task(watch_suspensions(node.on_resumed)),
            asyncio.create_task(self._gaps.watch()),
            self._every(config.platform.interval_s, self._read_platform),
            self._every(config.digest_interval_s, self._send_digests),
            self._every(config.report_interval_s, self._read_reports),
            self._every(config.cache_interval_s, self._read_caches),
        ]
        self._runner = BoundedAppRunner(
            self._app(),
            caller_limits(config.memory_mb, config.max_descriptors),
            refuse=_no_room,
            handler_cancellation=True,
            shutdown_timeout=CLOSE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        await self._runner.listen(config.host, config.port)
        node.log.info("entry_started", address=f"{config.host}:{config.port}")

    async def failed(self) -> None:
        """Wait for ever: nothing ends this daemon but a signal."""
        await asyncio.Event().wait()

    async def drain(self) -> None:
        """Say not ready, let the balancer notice, and finish what runs."""
        node = self._node
        node.begin_drain()
        node.replica_reach.server.drain()
        try:
            async with asyncio.timeout(self._longest_drain_s()):
                await self._finish()
        except TimeoutError:
            # The process is about to be ended: the guardian takes over what still runs.
            node.tell_guardian()
        node.log.info("drained", running=node.running_requests, background=len(node.tasks))

    async def _finish(self) -> None:
        """Finish what runs once the balancer has noticed the planned stop."""
        await asyncio.sleep(self._config.balancer_delay_s)
        while self._in_progress:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._stop_listening()
        await self._connections.finish(SLOW_READER_S)
        while self._in_progress:
            await asyncio.sleep(DRAIN_POLL_S)

    def _longest_drain_s(self) -> float | None:
        """Return how long a planned stop may last, in seconds; None where nothing ends it."""
        stop = self._node.planned_stop
        due_at = stop.answers_due_at if stop is not None else None
        return None if due_at is None else due_at - steady_time() + LAST_WRITES_S

    async def stop(self) -> None:
        """Close everything, after a bounded wait for the requests that still run."""
        node = self._node
        await self._stop_listening()
        # Requests that still run may need another replica, or newer settings, to go on.
        await self._connections.end(forced_patience_s(node.planned_stop, steady_time()))
        for task in self._tasks:
            task.cancel()
        self._connections.close()
        if self._runner is not None:
            await self._runner.cleanup()
        node.replica_reach.server.close()
        await node.client.close()
        await self._platform.close()
        node.bus.close()
        node.metrics.close()

    @property
    def _in_progress(self) -> bool:
        node = self._node
        return bool(node.running_requests or node.tasks or node.replica_reach.server.count)

    async def _stop_listening(self) -> None:
        """Accept no new connections; those that are open go on."""
        for site in list(self._runner.sites) if self._runner is not None else ():
            await site.stop()

    async def _announce_close(self, request: web.Request, response: web.StreamResponse) -> None:
        """Tell callers during a planned stop that their connection closes after the answer."""
        if self._node.draining:
            response.force_close()
            response.headers["Connection"] = "close"

    @web.middleware
    async def _track(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Note that a connection does not rest while its request is handled."""
        return await self._connections.handle(request, handler)

    def _app(self) -> web.Application:
        node = self._node
        app = web.Application(middlewares=[self._track, error_middleware(node)])
        app.on_response_prepare.append(self._announce_close)
        app.add_routes(
            [
                web.get("/healthz", self._health),
                web.get("/readyz", self._readiness),
                web.get("/metrics", self._metrics_page),
                web.get("/v1/explain/{request_id}", self._explain),
            ]
        )
        app.add_routes(ChatHandlers(node).routes())
        app.add_routes(self._operators.routes())
        # Last: it takes every path that nothing else has.
        app.add_routes(PlainHandlers(node).routes())
        return app

    def _platform_url(self) -> str:
        url = self._config.platform.url
        for address, route in self._config.routes.items():
            url = url.replace(f"//{address}/", f"//{route}/")
        return url

    def _every(self, interval_s: float, work: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        async def repeat() -> None:
            failure = ""
            while True:
                started = steady_time()
                failure = await self._attempt(work, failure)
                passed = steady_time() - started
                await asyncio.sleep(max(0.0, interval_s - passed))

        return asyncio.create_task(repeat())

    async def _attempt(self, work: Callable[[], Awaitable[None]], failure: str) -> str:
        """Do periodic work once; return its error, which is logged if it differs from `failure`."""
        try:
            await work()
        except Exception as error:  # noqa: BLE001 - the work has to be done again next time
            reason = f"{type(error).__name__}: {error}"
            if reason != failure:
                name = getattr(work, "__name__", repr(work))
                self._node.log.error("periodic_work_failed", work=name, reason=reason)
            return reason
        return ""

    async def _read_platform(self) -> None:
        node = self._node
        try:
            listed = await self._platform.instances()
        except PlatformUnavailableError as error:
            node.log.warning("platform_list_unavailable", reason=str(error))
            return
        node.directory.update(listed, steady_time())
        self._list_read = True
        node.ledger.forget({r.name for r in node.directory.all()})
        node.pump()

    async def _send_digests(self) -> None:
        node = self._node
        silent = node.drop_old_digests()
        for name in silent:
            node.log.info("peer_silent", peer=name)
        node.cancel_orphans(silent)
        node.tell_peers(CHANNEL_DIGEST, encode(node.digest()))
        node.tell_guardian()

    async def _on_placed(self, sender: str, body: bytes) -> None:
        self._node.take_note(decode(body, PlacementNote))

    async def _on_carried(self, sender: str, body: bytes) -> None:
        self._node.wards.take(decode(body, CarriedReport))

    async def _on_crashes(self, sender: str, body: bytes) -> None:
        self._node.crash_news.apply_update(decode(body, QuarantineNote))

    async def _on_limits(self, sender: str, body: bytes) -> None:
        self._node.limits.apply_updates(decode(body, list[LimitUpdate]))

    async def _on_digest(self, sender: str, body: bytes) -> None:
        digest = decode(body, Digest)
        self._node.take_digest(digest)
        self._node.crash_news.apply_update(digest.quarantine)
        self._node.limits.apply_updates(digest.limits)
        if digest.revision > self._node.tree.revision:
            addresses = [p.address for p in self._config.peers if p.name == digest.instance]
            for address in addresses:
                await self._follower.peers.fetch_from(address)

    async def _read_reports(self) -> None:
        await asyncio.gather(
            *(self._read_report(r) for r in self._next(self._reports, MAX_REPORTS))
        )
        self._node.pump()

    async def _read_report(self, replica: Replica) -> None:
        node = self._node
        adapter = self._adapter_of(replica)
        if adapter is None:
            return
        try:
            report: LoadReport = await adapter.load(replica)
        except UpstreamError:
            return
        node.directory.record_start(replica.name, report.born, steady_time())
        state = node.ledger.replica(replica.name)
        # A report that stands still says nothing new, however often it is read.
        if report.sequence != state.report.sequence or not report.sequence:
            state.report, state.report_at = report, steady_time()
        if report.leaving and node.directory.mark_leaving(
            replica.name, LeavingSource.REPORT, steady_time()
        ):
            node.log.info("upstream_leaving", replica=replica.name, source="report")

    async def _read_caches(self) -> None:
        await asyncio.gather(*(self._read_cache(r) for r in self._next(self._caches, MAX_CACHES)))

    def _next(self, turn: deque[str], most: int) -> list[Replica]:
        """Return the replicas whose turn it is, so that reading costs the same for any number."""
        directory = self._node.directory
        known = {r.name: r for r in directory.all()}
        turn.extend(known.keys() - set(turn))
        chosen: list[Replica] = []
        for _ in range(len(turn)):
            name = turn.popleft()
            if name not in known:
                continue
            turn.append(name)
            chosen.append(known[name])
            if len(chosen) == most:
                break
        return chosen

    async def _read_cache(self, replica: Replica) -> None:
        adapter = self._adapter_of(replica)
        if not isinstance(adapter, EngineAdapter):
            return
        index = self._node.ledger.replica(replica.name).cache
        with contextlib.suppress(UpstreamError):
            for change in await adapter.cache_changes(replica, index.sequence):
                index.sequence = max(index.sequence, change.sequence)
                if change.stored:
                    index.stored([change.block])
                else:
                    index.evicted(change.block)

    def _adapter_of(self, replica: Replica):  # type: ignore[no-untyped-def]
        for service in self._node.tree.services.values():
            if service.upstream == replica.upstream:
                return self._node.adapter(service.adapter)
        return None

    async def _health(self, request: web.Request) -> web.Response:
        return json_response(
            {"instance": self._config.name, "running": self._node.running_requests}
        )

    async def _readiness(self, request: web.Request) -> web.Response:
        node = self._node
        if node.draining:
            return json_response({"ready": False, "reason": "draining"}, 503)
        if not node.ready:
            return json_response({"ready": False, "reason": node.not_ready_reason}, 503)
        if not self._list_read:
            # Without it every request would be refused for want of a replica.
            reason = "the platform's list was not read yet"
            return json_response({"ready": False, "reason": reason}, 503)
        if not node.crash_news.initial_sync_done:
            reason = "what the others know of crashes was not learned yet"
            return json_response({"ready": False, "reason": reason}, 503)
        return json_response({"ready": True, "revision": node.tree.revision})

    async def _metrics_page(self, request: web.Request) -> web.Response:
        return web.Response(body=self._node.metrics.page(), content_type="text/plain")

    async def _explain(self, request: web.Request) -> web.Response:
        try:
            self._operators.authorize(request, write=False)
        except OperatorError as error:
            raise RequestError(error.status, error.code, error.message) from error
        request_id = request.match_info["request_id"]
        decision = self._node.explained.get(request_id)
        if decision is None:
            return json_response({"error": {"message": "this instance has no such decision"}}, 404)
        return json_response(decision)


def _no_room(request: web.BaseRequest) -> web.Response:
    """Return the answer to a request for which its connection has no room."""
    response = error_response(no_room_error(), f"req-{uuid.uuid4().hex}")
    response.force_close()
    return response
