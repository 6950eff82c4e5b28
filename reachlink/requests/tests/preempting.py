"""Simulated model engines that preempt generations, copy their memory and stop them on request."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import count

from reachlink.requests.tests.world import FakeAdapter, FakeSink, World, event
from reachlink.routing import EngineLimits, RequestKind
from reachlink.upstreams import (
    AnswerHead,
    Continuation,
    LoadReport,
    MovedMemory,
    MoveFailure,
    MoveResult,
    RelayAnswer,
    RelayRequest,
    Replica,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)

# Interval between two events of a generation, in seconds.
EVENT_S = 0.05
# Time in seconds for which an engine keeps a copy that is neither used nor refreshed.
COPY_KEPT_S = 5.0
# Time that callers wait for a whole answer, in seconds.
DEADLINE_S = 39.0
ENGINE = EngineLimits(64, 40_000, moves=True, backups=True, tokens_per_event=4, move_keep_s=5.0)


class State(Enum):
    WORKS = "works"
    # Makes no event, though it has its memory.
    STALLED = "stalled"
    PREEMPTED = "preempted"
    COMPLETE = "complete"
    DROPPED = "dropped"
    STOPPED = "stopped"


ENDED = (State.COMPLETE, State.DROPPED, State.STOPPED)


@dataclass
class Run:
    """One run of the generation at an engine; its events are numbered from 1."""

    replica: str
    made: int = 0
    state: State = State.WORKS
    # When each state began, in seconds of the virtual clock.
    states: list[tuple[float, State]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # Whether the connection was reset, so that the answer ends although the run goes on.
    reset: bool = False
    # Whether the connection carries nothing any more, without having been closed.
    mute: bool = False
    # Whether the run continues another one.
    continues: bool = False
    # States that it enters after its present event, and for how many seconds each.
    stalls: list[tuple[float, State]] = field(default_factory=list)
    # Engine that gets a backup, and the handle of it.
    backup: tuple[str, str] | None = None

    def enter(self, state: State) -> None:
        self.state = state
        self.states.append((now(), state))
        self.wake()

    def wake(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def works_at(self, time: float) -> bool:
        """Return whether the engine worked on it at a time."""
        return self._states_until(time)[-1:] == [State.WORKS]

    def waits_at(self, time: float) -> bool:
        """Return whether it waited for memory at a time."""
        return self._states_until(time)[-1:] == [State.PREEMPTED]

    def _states_until(self, time: float) -> list[State]:
        return [state for at, state in self.states if at <= time]


@dataclass
class Copy:
    made: int
    moved_at: float


class RunAnswer(RelayAnswer):
    """Answer that passes on the events of a run."""

    def __init__(self, run: Run, sent: int, drops: bool, drop_s: float) -> None:
        self._run = run
        self._sent = sent
        self._drops = drops
        self._drop_s = drop_s

    @property
    def head(self) -> AnswerHead:
        return AnswerHead(200)

    async def read(self) -> bytes:
        run = self._run
        while True:
            if run.reset:
                raise UpstreamBrokenError("reset")
            if run.made > self._sent and not run.mute:
                self._sent += 1
                return event(self._sent)
            if run.state is State.COMPLETE and not run.mute:
                return b""
            if run.state in (State.STOPPED, State.DROPPED) and not run.mute:
                raise UpstreamBrokenError("closed before its end")
            await run.changed.wait()

    def close(self) -> None:
        if self._drops and not self._run.reset:
            asyncio.get_running_loop().call_later(self._drop_s, self._drop)

    def _drop(self) -> None:
        if self._run.state not in ENDED:
            self._run.enter(State.DROPPED)


@dataclass
class Engines(FakeAdapter):
    """Engines that run one generation of `events` events.

    Attributes
    ----------
    preemptions : list of tuple
        Number of the event after which the first run is preempted, and for how many seconds.
    drops : bool
        Whether an engine ends a run once the connection of its request closes.
    drop_s : float
        Time that this takes in seconds.
    takes_orders : bool
        Whether the engines move memory on request; else they send backups.
    """

    events: int = 60
    preemptions: list[tuple[int, float]] = field(default_factory=list)
    drops: bool = True
    drop_s: float = 0.0
    takes_orders: bool = True
    # Called when the first run has made an event.
    on_event: Callable[[Run], None] = lambda run: None
    # Called when a later one has.
    on_later_event: Callable[[Run], None] = lambda run: None
    # Replicas that answer no order and no report.
    unreachable: set[str] = field(default_factory=set)
    # Other generations that wait at each engine.
    others_waiting: int = 0
    # Continuations whose connections break although the engine runs them.
    broken_continuations: int = 0
    # Time that a transfer takes, in seconds; another one for the same run is refused meanwhile.
    transfer_s: float = 0.01
    # Time that the head of a continuation takes, in seconds; the engine begins at once.
    head_s: float = 0.0
    # Time after which an engine looks at an order, in seconds.
    order_s: float = 0.0
    # Whether the engines have no room for copies of runs that go on.
    refuses_copies: bool = False
    # Orders to stop that are never answered nor carried out.
    hanging_orders: int = 0
    # Whether a copy cannot be used while a transfer to it is in progress.
    locks_copies: bool = False
    # Age of a report, in seconds.
    report_age_s: float = 0.0
    runs: list[Run] = field(default_factory=list)
    copies: dict[tuple[str, str], Copy] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)
    # Engines that transfer memory of the generation at this time.
    transferring: set[str] = field(default_factory=set)
    last_orders: list[tuple[float, str]] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _handles: count = field(default_factory=lambda: count(1))

    async def open(
        self,
        replica: Replica,
        request: RelayRequest,
        left_s: float,
        continuation: Continuation | None = None,
        backup: Replica | None = None,
    ) -> RelayAnswer:
        run = Run(replica.name)
        run.backup = (backup.name, request.request_id) if backup is not None else None
        if continuation is not None:
            copy = self.copies.pop((replica.name, continuation.memory.handle), None)
            if copy is not None and self.locks_copies and self.transferring:
                self.copies[replica.name, continuation.memory.handle] = copy
                copy = None
            if copy is None or now() - copy.moved_at > COPY_KEPT_S:
                self.refused.append(replica.name)
                return _Refusal()
            run.made, run.continues = continuation.after_event, True
        self.runs.append(run)
        run.enter(State.WORKS)
        sent = run.made
        self._tasks.append(asyncio.create_task(self._make_events(run)))
        if run.continues and self.broken_continuations:
            self.broken_continuations -= 1
            raise UpstreamBrokenError("reset")
        if run.continues:
            await asyncio.sleep(self.head_s)
        return RunAnswer(run, sent, self.drops, self.drop_s)

    async def _make_events(self, run: Run) -> None:
        preemptions = dict(self.preemptions) if not run.continues else {}
        while run.made < self.events:
            await asyncio.sleep(EVENT_S)
            if run.state in ENDED:
                return
            run.made += 1
            run.wake()
            if run.backup is not None:
                self.copies[run.backup] = Copy(run.made, now())
            if run is self.runs[0]:
                self.on_event(run)
            else:
                self.on_later_event(run)
            await self._stand_still(run)
            if run.state in ENDED:
                return
            if run.made in preemptions and run.state is State.WORKS:
                run.enter(State.PREEMPTED)
                await asyncio.sleep(preemptions[run.made])
                if run.state in ENDED:
                    return
                run.enter(State.WORKS)
        if run.state not in ENDED:
            run.enter(State.COMPLETE)

    async def _stand_still(self, run: Run) -> None:
        """Let a run go through states in which it makes no event."""
        if not run.stalls:
            return
        stalls, run.stalls = run.stalls, []
        for seconds, state in stalls:
            run.enter(state)
            await asyncio.sleep(seconds)
            if run.state in ENDED:
                return
        run.enter(State.WORKS)

    def _run_at(self, replica: str) -> Run | None:
        found = [r for r in self.runs if r.replica == replica and r.state not in ENDED]
        return found[-1] if found else None

    async def report(self, replica: Replica) -> LoadReport:
        self._check(replica)
        at = now() - self.report_age_s
        waiting = [r for r in self.runs if r.replica == replica.name and r.waits_at(at)]
        return LoadReport(running=1, waiting=len(waiting) + self.others_waiting)

    async def move(
        self, replica: Replica, request_id: str, target: Replica, last: bool
    ) -> MoveResult:
        self._check(replica)
        self.moves.append((replica.name, target.name, last))
        if last:
            self.last_orders.append((now(), replica.name))
        if last and self.hanging_orders:
            self.hanging_orders -= 1
            await asyncio.Event().wait()
        await asyncio.sleep(self.order_s)
        run = self._run_at(replica.name)
        if run is None or run.state not in (State.WORKS, State.STALLED):
            return MoveResult(failure=MoveFailure.NOT_RUNNING)
        if replica.name in self.transferring:
            return MoveResult(failure=MoveFailure.MOVE_IN_PROGRESS)
        if self.refuses_copies and not last:
            return MoveResult(failure=MoveFailure.NO_ROOM)
        if last:
            run.enter(State.STOPPED)
        # The engine carries an order out even if nobody waits for its answer.
        return await asyncio.shield(asyncio.ensure_future(self._transfer(replica, target, run)))

    async def _transfer(self, replica: Replica, target: Replica, run: Run) -> MoveResult:
        made = run.made
        self.transferring.add(replica.name)
        await asyncio.sleep(self.transfer_s)
        self.transferring.discard(replica.name)
        held = next((h for name, h in self.copies if name == target.name), "")
        handle = held or f"h{next(self._handles)}"
        self.copies[target.name, handle] = Copy(made, now())
        return MoveResult(MovedMemory(replica.address, handle), True)

    async def release(self, memory: MovedMemory) -> None:
        self.released.append(memory)
        for key in [key for key in self.copies if key[1] == memory.handle]:
            del self.copies[key]

    def _check(self, replica: Replica) -> None:
        if replica.name in self.unreachable:
            raise UpstreamUnreachableError("no answer")


class _Refusal(RelayAnswer):
    """Answer of an engine that has no copy."""

    @property
    def head(self) -> AnswerHead:
        return AnswerHead(503, not_run=True)

    async def read(self) -> bytes:
        return b""

    def close(self) -> None:
        pass


def now() -> float:
    return asyncio.get_running_loop().time()


def engines_world(zones: str = "a a a", **engines: object) -> tuple[World, Engines]:
    """Return a world of engines whose clock is that of the loop."""
    names = {f"m{i}": zone for i, zone in enumerate(zones.split(), 1)}
    adapter = Engines(**engines)  # type: ignore[arg-type]
    setup = World(names, adapter, engine=ENGINE)
    setup.parts.clock = now
    return setup, adapter


async def run_stream(setup: World) -> FakeSink:
    """Run one long generation with enough time."""
    request = setup.request(RequestKind.STREAM, output_tokens=2000)
    request.route = replace(request.route, timeout_s=DEADLINE_S)
    request.caller_timeout_s = DEADLINE_S
    sink = FakeSink()
    await setup.runner.run(request, sink)
    return sink


def longest_overlap_s(runs: list[Run], end: float) -> float:
    """Return for how long a run worked while a later one did, from 0.4 s after its begin."""
    longest = 0.0
    for later in runs:
        began, ended = later.states[0][0] + 0.4, min(later.states[-1][0], end)
        for earlier in runs[: runs.index(later)]:
            steps = [began + n * 0.01 for n in range(round((ended - began) / 0.01))]
            longest = max(longest, sum(0.01 for at in steps if earlier.works_at(at)))
    return longest
