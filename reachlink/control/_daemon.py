"""The control daemon: one replica of the log and its interfaces."""

import asyncio
import contextlib

from aiohttp import web

from reachlink.agreement import (
    Candidate,
    Identity,
    Member,
    ReplicaService,
    Storage,
    StorageError,
)
from reachlink.control._client import ControlClient
from reachlink.control._config import ControlConfig
from reachlink.control._freshness import RequestFreshness
from reachlink.control._machine import ControlMachine
from reachlink.control._operator_bodies import OperatorBuffers
from reachlink.control._operator_http import OperatorHandlers
from reachlink.control._proposals import propose_through
from reachlink.control._protocol import CHANNEL_CONTROL, CHANNEL_LOG, CHANNEL_ROSTER
from reachlink.control._publishing import OPERATOR_BORDERS, OperatorTools, TablePublisher
from reachlink.control._server import ControlServer
from reachlink.control._steward import Steward
from reachlink.control._zone_orders import ZoneOrders
from reachlink.ingress import (
    PROBE_LIMITS,
    BoundedAppRunner,
    IngressLimits,
    caller_limits,
    peer_connections,
)
from reachlink.kernel import LoopGaps, SystemClock, process_started_at
from reachlink.messaging import Bus, export_traffic
from reachlink.telemetry import Metrics, get_logger

_SEPARATOR = "@"


class ControlDaemon:
    """One control instance.

    Parameters
    ----------
    config : ControlConfig
        Configuration of the process.
    """

    def __init__(self, config: ControlConfig) -> None:
        self._config = config
        self._log = get_logger()
        self._clock = SystemClock()
        self._storage = Storage(config.folder)
        _found_first(config, self._storage)
        identity = self._storage.identity(config.name)
        loaded = self._storage.load()
        if loaded.snapshot is None:
            loaded.log.snapshot_members = list(identity.founding)
        self._identity = identity
        sender = f"{identity.node_id}{_SEPARATOR}{config.bus_address}"
        self._bus = Bus(
            sender,
            config.cluster_secret.encode(),
            config.routes,
            peer_connections(config.max_descriptors),
        )
        self._machine = ControlMachine()
        self._service = ReplicaService(
            identity.node_id,
            self._storage,
            loaded,
            self._machine,
            lambda address, payload: self._bus.send(address, CHANNEL_LOG, payload),
            self._clock,
            on_applied=lambda: self._server.on_applied(),
            started_at=process_started_at(),
        )
        self._server = ControlServer(
            self._service,
            self._machine,
            self._storage,
            self._bus,
            self._clock,
            config.coordination,
        )
        self._metrics = Metrics("control", config.name, config.availability_zone)
        export_traffic(self._metrics, self._bus.traffic)
        self._client = ControlClient(self._bus, [config.bus_address])
        self._gaps = LoopGaps()
        self._freshness = RequestFreshness(self._gaps)
        self._runners: list[web.AppRunner] = []
        self._seeds = list(config.seeds)
        self._tasks: list[asyncio.Task[None]] = []
        self._failed = asyncio.Event()

    async def start(self) -> None:
        """Open sockets and start the replica."""
        self._bus.handle(CHANNEL_LOG, self._on_log)
        self._bus.handle(CHANNEL_CONTROL, self._server.handle)
        self._bus.handle(CHANNEL_ROSTER, self._server.on_roster)
        self._bus.bind(self._config.bus_address)
        self._tasks.append(asyncio.create_task(self._run()))
        self._tasks.append(asyncio.create_task(self._gaps.watch()))
        if self._seeds:
            self._tasks.append(asyncio.create_task(self._steward().run()))
        handlers = OperatorHandlers(
            self._client,
            lambda: self._machine.tree,
            self._config.bootstrap_key_hash,
            self._freshness,
            self._config.zones,
        )
        buffers = OperatorBuffers(self._config.memory_mb)
        app = web.Application(middlewares=[buffers.middleware()])
        app.add_routes(handlers.routes())
        app.add_routes([web.get("/healthz", self._health), web.get("/metrics", self._page)])
        for border in self._config.borders:
            app.add_routes(OPERATOR_BORDERS.get(border)(self._operator_tools()))
        limits = caller_limits(self._config.memory_mb, self._config.max_descriptors)
        await self._serve(app, self._config.port, limits)
        if self._config.metrics_port:
            page = web.Application()
            page.add_routes([web.get("/metrics", self._page)])
            await self._serve(page, self._config.metrics_port, PROBE_LIMITS)
        self._log.info(
            "control_started",
            node_id=self._identity.node_id,
            members=len(self._service.core.state.members),
        )

    async def failed(self) -> None:
        """Wait until the replica of the log cannot go on."""
        await self._failed.wait()

    async def drain(self) -> None:
        """Nothing to finish: what is not on disk was not promised."""

    async def stop(self) -> None:
        """Answer the requests under way, and close everything."""
        self._client.close()
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._bus.close()
        self._storage.close()
        self._metrics.close()

    def take_seeds(self, seeds: list[str]) -> None:
        """Take other addresses where control instances may be found."""
        self._seeds[:] = seeds

    def _operator_tools(self) -> OperatorTools:
        zones = ZoneOrders(
            lambda command: propose_through(self._server, command),
            lambda: self._machine.tree,
            self._config.zones,
        )
        return OperatorTools(TablePublisher(self._server), zones, self._freshness)

    def _steward(self) -> Steward:
        config = self._config
        own = Candidate(self._identity.node_id, config.bus_address, config.availability_zone)
        return Steward(
            own, self._service, self._server, self._bus, lambda: self._seeds, config.voters
        )

    async def _serve(self, app: web.Application, port: int, limits: IngressLimits) -> None:
        runner = BoundedAppRunner(app, limits)
        await runner.listen(self._config.host, port)
        self._runners.append(runner)

    async def _run(self) -> None:
        try:
            await self._service.run()
        except StorageError as error:
            # Going on could break promises made on what the disk holds.
            self._log.error("disk_failed", reason=str(error))
            self._failed.set()
        except Exception as error:
            # Without its replica, an instance could only refuse or keep waiting.
            self._log.error("replica_failed", reason=f"{type(error).__name__}: {error}")
            self._failed.set()

    async def _on_log(self, sender: str, body: bytes) -> None:
        node_id, _, address = sender.partition(_SEPARATOR)
        self._service.receive(node_id, address, body)

    async def _health(self, request: web.Request) -> web.Response:
        state = self._service.core.state
        return web.json_response(
            {"node_id": state.node_id, "role": state.role.value, "leader": state.leader}
        )

    async def _page(self, request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.page(), content_type="text/plain")


def found_cluster(config: ControlConfig, cluster: str, members: list[Member]) -> Identity:
    """Write the identity of a founding member into an empty data folder.

    Parameters
    ----------
    config : ControlConfig
        Its configuration.
    cluster : str
        Name of the cluster.
    members : list of Member
        The founding members; this one's node id is its name with ``-0``.

    Raises
    ------
    StorageError
        If the folder holds an identity already.
    """
    if (config.folder / "identity.json").exists():
        raise StorageError(f"{config.folder} already belongs to a control instance")
    storage = Storage(config.folder)
    identity = Identity(cluster, founding_id(config.name), members)
    storage.write_identity(identity)
    storage.close()
    return identity


def _found_first(config: ControlConfig, storage: Storage) -> None:
    """Make a seed a founding member on the first start of the whole system.

    Every founder comes to the same membership by itself: the seeds in order,
    each named by its address. Zones are corrected once they announce
    themselves.
    """
    founder = config.first_start and config.bus_address in config.seeds
    if not founder or storage.has_identity:
        return
    members = [Member(founding_id(a), a, "", True) for a in sorted(set(config.seeds))]
    storage.write_identity(Identity("", founding_id(config.bus_address), members))


def founding_id(name: str) -> str:
    """Return the node id of a founding member.

    Replicas with a later disk get a random one, so that no identity is used
    twice.
    """
    return f"{name}-0"
