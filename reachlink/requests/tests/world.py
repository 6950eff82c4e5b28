"""Fake replicas and callers for tests of the request lifecycle without sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

from reachlink.kernel import steady_time
from reachlink.membership import InstanceState, ListedInstance, ReplicaDirectory
from reachlink.pacing import PacingTracker
from reachlink.quarantine import Quarantine
from reachlink.requests import (
    CallerRequest,
    PeerLoad,
    ReplicaTracker,
    RequestRunner,
    RunnerParts,
    ShutdownTimes,
)
from reachlink.routing import Backend, EngineLimits, RequestKind, Route, Service
from reachlink.upstreams import (
    AnswerHead,
    Continuation,
    GenerationFacts,
    LoadReport,
    MovedMemory,
    MoveFailure,
    MoveResult,
    RelayAdapter,
    RelayAnswer,
    RelayRequest,
    Replica,
    RequestFeatures,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)

ENGINE = EngineLimits(64, 40_000, moves=True, backups=True, tokens_per_event=4)
# Continuously sends memory to a backup, and does not move memory on request.
BACKUP_ENGINE = EngineLimits(64, 40_000, moves=False, backups=True, tokens_per_event=4)
NO_FEATURES = RequestFeatures()
PLAIN = Service("plain", "/health", 10)
ROUTES = {
    RequestKind.ONCE: Route(
        "once", "h", "/o/", RequestKind.ONCE, (Backend("plain", 1.0),), 1.0, 0.2, max_attempts=2
    ),
    RequestKind.REPEATABLE: Route(
        "rep",
        "h",
        "/r/",
        RequestKind.REPEATABLE,
        (Backend("plain", 1.0),),
        1.0,
        0.2,
        max_attempts=2,
    ),
    RequestKind.STREAM: Route(
        "chat", "h", "/c/", RequestKind.STREAM, (Backend("model", 1.0),), 5.0, 1.0, event_gap_s=0.18
    ),
}


def event(number: int) -> bytes:
    return b"id: %d\ndata: token\n\n" % number


def stream(first: int, last: int) -> bytes:
    return b"".join(event(n) for n in range(first, last + 1))


@dataclass
class SentRequest:
    """One request as a replica received it."""

    replica: str
    request_id: str
    left_s: float
    continuation: Continuation | None
    backup: str


class FakeAnswer(RelayAnswer):
    """Answer that consists of chunks; a float is a pause in seconds, an exception is raised."""

    def __init__(self, head: AnswerHead, pieces: list[bytes | BaseException | float]) -> None:
        self._head = head
        self._pieces = list(pieces)
        self._pause_ends_at: float | None = None
        self.closed = False

    @property
    def head(self) -> AnswerHead:
        return self._head

    async def read(self) -> bytes:
        while self._pieces:
            piece = self._pieces[0]
            if isinstance(piece, float):
                await self._pause(piece)
            self._pieces.pop(0)
            if isinstance(piece, BaseException):
                raise piece
            if isinstance(piece, bytes):
                return piece
        return b""

    async def _pause(self, seconds: float) -> None:
        """Wait for the end of a pause, which a cancelled read does not shorten."""
        now = asyncio.get_running_loop().time()
        if self._pause_ends_at is None:
            self._pause_ends_at = now + seconds
        await asyncio.sleep(self._pause_ends_at - now)
        self._pause_ends_at = None

    def close(self) -> None:
        self.closed = True


Script = Callable[[SentRequest], Awaitable[FakeAnswer]]


def answering(
    status: int = 200, *pieces: bytes | BaseException | float, **head: object
) -> Callable[[SentRequest], Awaitable[FakeAnswer]]:
    async def script(sent: SentRequest) -> FakeAnswer:
        return FakeAnswer(AnswerHead(status, **head), list(pieces))  # type: ignore[arg-type]

    return script


def failing(error: BaseException) -> Script:
    async def script(sent: SentRequest) -> FakeAnswer:
        raise error

    return script


BROKEN = UpstreamBrokenError("reset")
NOT_RUN = answering(503, not_run=True)
OK = answering(200, b"whole")


@dataclass
class FakeAdapter(RelayAdapter):
    """Answers with the scripts of each replica in turn; the last one is used repeatedly."""

    scripts: dict[str, list[Script]] = field(default_factory=dict)
    sent: list[SentRequest] = field(default_factory=list)
    moves: list[tuple[str, str, bool]] = field(default_factory=list)
    released: list[MovedMemory] = field(default_factory=list)
    touched: list[str] = field(default_factory=list)
    # Whether each request already had its permit when it was sent.
    admitted: list[bool] = field(default_factory=list)
    # Replicas that refuse connections.
    down: set[str] = field(default_factory=set)
    move_result: MoveResult = field(default_factory=MoveResult)
    move_takes_s: float = 0.0
    # Ids of requests whose memory is being transferred; a second transfer is refused.
    moving: set[str] = field(default_factory=set)

    async def open(
        self,
        replica: Replica,
        request: RelayRequest,
        left_s: float,
        continuation: Continuation | None = None,
        backup: Replica | None = None,
    ) -> RelayAnswer:
        sent = SentRequest(
            replica.name, request.request_id, left_s, continuation, backup.name if backup else ""
        )
        self.sent.append(sent)
        self.admitted.append(request.admitted)
        scripts = self.scripts[replica.name]
        script = scripts.pop(0) if len(scripts) > 1 else scripts[0]
        return await script(sent)

    async def touch(self, replica: Replica) -> None:
        self.touched.append(replica.name)
        if replica.name in self.down:
            raise UpstreamUnreachableError("refused")

    async def report(self, replica: Replica) -> LoadReport:
        raise UpstreamBrokenError("no report")

    async def move(
        self, replica: Replica, request_id: str, target: Replica, last: bool
    ) -> MoveResult:
        self.moves.append((replica.name, target.name, last))
        if request_id in self.moving:
            return MoveResult(failure=MoveFailure.MOVE_IN_PROGRESS)
        self.moving.add(request_id)
        try:
            await asyncio.sleep(self.move_takes_s)
        finally:
            self.moving.discard(request_id)
        return self.move_result

    async def release(self, memory: MovedMemory) -> None:
        self.released.append(memory)


@dataclass
class FakeSink:
    """Records the answer that a caller got."""

    head: AnswerHead | None = None
    body: bytes = b""
    ended: bool = False

    @property
    def begun(self) -> bool:
        return self.head is not None

    async def write_whole(self, head: AnswerHead, body: bytes) -> None:
        self.head, self.body, self.ended = head, body, True

    async def begin(self, head: AnswerHead) -> None:
        self.head = head

    async def write(self, data: bytes) -> None:
        self.body += data

    async def end(self) -> None:
        self.ended = True


@dataclass
class World:
    """Entry instance with fake replicas, given as a mapping of their names to zones."""

    zones: dict[str, str]
    adapter: FakeAdapter = field(default_factory=FakeAdapter)
    engine: EngineLimits = ENGINE
    outcomes: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.directory = ReplicaDirectory()
        self.list_replicas()
        self.tracker = ReplicaTracker()
        self.peer_load = PeerLoad()
        self.shutdown_times = ShutdownTimes()
        self.quarantine = Quarantine(Random(1))
        self.pacing = PacingTracker(Random(1))
        self.backoffs = self.pacing.backoffs
        parts = RunnerParts(
            "a",
            self.adapter,
            self.directory,
            self.tracker,
            self.peer_load,
            Random(1),
            lambda request, code, duration: self.outcomes.append(code),
            shutdown_times=self.shutdown_times,
            quarantine=self.quarantine,
            pacing=self.pacing,
        )
        self.parts = parts
        self.runner = RequestRunner(parts)

    def now(self) -> float:
        """Return the time of the clock of the runner, in monotonic seconds."""
        return steady_time()

    def list_replicas(self, *leaving: str) -> None:
        listed = [
            ListedInstance(
                name,
                service,
                zone,
                f"{name}:1",
                InstanceState.LEAVING if name in leaving else InstanceState.LIVE,
            )
            for name, zone in self.zones.items()
            for service in ("model" if name.startswith("m") else "plain",)
        ]
        self.directory.update(listed, 0.0)

    def request(
        self, kind: RequestKind, output_tokens: int = 1000, expected_tokens: int = 0
    ) -> CallerRequest:
        streams = kind is RequestKind.STREAM
        service = Service("model", "/health", 10, self.engine) if streams else PLAIN
        facts = GenerationFacts("m", 3000, output_tokens, (), expected_tokens) if streams else None
        relay = RelayRequest("id-1", "POST", "/x", [], b"", generation=facts)
        return CallerRequest(relay, ROUTES[kind], service, steady_time(), caller_timeout_s=4.0)

    async def run(
        self,
        kind: RequestKind,
        output_tokens: int = 1000,
        expected_tokens: int = 0,
        features: RequestFeatures = NO_FEATURES,
        **route: object,
    ) -> FakeSink:
        request = self.request(kind, output_tokens, expected_tokens)
        request.relay.features = features
        request.route = replace(request.route, **route)  # type: ignore[arg-type]
        sink = FakeSink()
        await self.runner.run(request, sink)
        return sink


def world(zones: str = "a a", prefix: str = "p", **scripts: list[Script]) -> World:
    names = {f"{prefix}{i}": zone for i, zone in enumerate(zones.split(), 1)}
    adapter = FakeAdapter({name: [OK] for name in names})
    adapter.scripts.update(scripts)
    return World(names, adapter)


def world_with_script(zones: str = "a a", prefix: str = "p", *, script: Script) -> World:
    setup = world(zones, prefix)
    setup.adapter.scripts = {name: [script] for name in setup.zones}
    return setup


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)
