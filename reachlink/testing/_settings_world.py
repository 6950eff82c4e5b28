"""Control instances, small links and followers of settings, on virtual time."""

import asyncio
from collections.abc import Sequence
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec

from reachlink.agreement import Member, NotLeaderError
from reachlink.control import ControlMachine, PublishCommand
from reachlink.control._protocol import Answer, Request
from reachlink.control._server import ControlServer
from reachlink.entry._follower import SettingsFollower
from reachlink.entry._settings_confirmation import SettingsConfirmation
from reachlink.membership import InstanceRecord, SettingsHolder
from reachlink.messaging import CallTimeoutError, PeerUnreachableError, decode, encode
from reachlink.routing import (
    NATIVE_FORMAT,
    Backend,
    PublishedTable,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    Workspace,
)
from reachlink.settings import SettingsTree

MBIT = 125_000.0
DELAY_S = 0.001
# Over how long instances begin to ask, in seconds: as long as one waits for news.
ASK_SPREAD_S = 0.7
# How often an answer that is held back looks whether its control instance speaks again.
SILENCE_LOOK_S = 0.1
CONTROLS = [Member(f"c{i}", f"c{i}:7200", zone, True) for i, zone in enumerate("abc")]
LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"


class Names:
    """Names without a pattern, as random as those that operators' tools make."""

    def __init__(self, seed: int = 1) -> None:
        self._random = Random(seed)

    def name(self, length: int = 8) -> str:
        return "".join(self._random.choices(LETTERS, k=length))


def routes(count: int, names: Names) -> tuple[Route, ...]:
    """Return routes of one service, each of its own host."""
    return tuple(
        Route(
            name=f"r-{names.name()}",
            host=f"{names.name(6)}.example",
            path_prefix=f"/{names.name()}/",
            kind=RequestKind.REPEATABLE,
            backends=(Backend("app", 1.0),),
            timeout_s=6.0,
            objective_s=1.5,
        )
        for _ in range(count)
    )


def published(
    number: int, table_routes: tuple[Route, ...], workspaces: tuple[Workspace, ...] = ()
) -> PublishedTable:
    """Return a table as an operator publishes it."""
    services = (Service("app", "/health", 100),)
    table = RoutingTable(number, table_routes, services, workspaces)
    return PublishedTable(number, NATIVE_FORMAT, msgspec.json.encode(table).decode())


class Link:
    """What an instance receives comes one after the other, at a rate in bytes a second."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0
        self.carried = 0

    async def carry(self, size: int) -> None:
        """Return once that many bytes have come."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._rate
        self.carried += size
        await asyncio.sleep(self._free_at - now + DELAY_S)


class LoopClock:
    """The loop's time as a clock."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.monotonic()


async def _confirm_applied(index: int, timeout_s: float) -> bool:
    """Confirm at once: what was accepted is applied here."""
    return True


class ControlInstance:
    """One control instance's server over a state machine of its own."""

    def __init__(self) -> None:
        state = SimpleNamespace(members=CONTROLS, node_id="c0", leader="c0")
        service: Any = SimpleNamespace(
            has_leader_contact=True,
            core=SimpleNamespace(is_leader=True, state=state),
            barrier=self._confirm_index,
            wait_applied=_confirm_applied,
        )
        nothing: Any = None
        self.machine = ControlMachine()
        self.server = ControlServer(service, self.machine, nothing, nothing, LoopClock())
        self.silent = False
        self._applied = 0
        self._service = service

    @property
    def has_leader(self) -> bool:
        """Whether it has contact with a leader; it leads itself."""
        return bool(self._service.has_leader_contact)

    @has_leader.setter
    def has_leader(self, value: bool) -> None:
        self._service.has_leader_contact = value

    async def _confirm_index(self, timeout_s: float) -> int:
        """Tell what is committed."""
        if not self.has_leader:
            raise NotLeaderError("")
        return 1

    def publish(self, table: PublishedTable) -> None:
        """Apply a table that was accepted."""
        self._applied += 1
        command = PublishCommand(table, "operator", "here", 1.0)
        self.machine.apply(self._applied, 1, encode(command))
        self.server.on_applied()

    def forget(self) -> None:
        """Have applied nothing, as a replica that was just added to the log."""
        self._applied = 0
        self.machine = ControlMachine()
        nothing: Any = None
        self.server = ControlServer(self._service, self.machine, nothing, nothing, LoopClock())


class LinkedControls:
    """An entry instance's way to the control instances, over its own link.

    As over real connections, an answer that nobody waits for any more still comes.
    """

    def __init__(
        self, instances: dict[str, ControlInstance], link: Link, gone: Sequence[str] = ()
    ) -> None:
        self._instances = instances
        self._link = link
        first, *others = instances
        self._addresses = [first, *gone, *others]
        self._underway: set[asyncio.Task[bytes]] = set()
        self.questions = 0

    @property
    def addresses(self) -> list[str]:
        return list(self._addresses)

    def reorder(self, addresses: list[str]) -> None:
        self._addresses = list(addresses)

    def rotate(self) -> None:
        self._addresses.append(self._addresses.pop(0))

    async def ask(self, address: str, request: Request, timeout_s: float) -> Answer:
        self.questions += 1
        instance = self._instances.get(address)
        if instance is None or instance.silent:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachableError(address)
        task = asyncio.create_task(self._answer(instance, encode(request)))
        self._underway.add(task)
        task.add_done_callback(self._underway.discard)
        try:
            raw = await asyncio.wait_for(asyncio.shield(task), timeout_s)
        except TimeoutError as error:
            raise CallTimeoutError(f"control at {address}") from error
        return decode(raw, Answer)  # type: ignore[arg-type]

    async def _answer(self, instance: ControlInstance, body: bytes) -> bytes:
        raw = await instance.server.handle("entry", body)
        while instance.silent:
            await asyncio.sleep(SILENCE_LOOK_S)
        await self._link.carry(len(raw))
        return raw


class Lines:
    """Takes log lines."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **values: Any) -> None:
        self.events.append((event, values))

    error = warning = info


class EntryInstance:
    """What a follower needs of its instance; notes when each table was in force."""

    def __init__(
        self, name: str, controls: dict[str, ControlInstance], rate: float, gone: Sequence[str] = ()
    ) -> None:
        self.name = name
        self.address = f"{name}:7200"
        self.zone = "a"
        self.link = Link(rate)
        self.control: Any = LinkedControls(controls, self.link, gone)
        self.bus: Any = None
        self.settings = SettingsHolder()
        self.confirmation = SettingsConfirmation()
        self.log: Any = Lines()
        self.ready = True
        self.not_ready_reason = ""
        self.watch_wait_s = 0.7
        self.accepts_stale = True
        self.asks_from = 0.0
        self.in_force: dict[int, float] = {}
        self.follower = SettingsFollower(self)

    @property
    def tree(self) -> SettingsTree:
        return self.settings.tree

    @property
    def table(self) -> PublishedTable | None:
        return self.tree.routing

    def zone_peers(self) -> list[str]:
        return []

    def on_controls(self, controls: list[InstanceRecord]) -> None:
        """Know them already."""

    def on_roster(self, coordinators: list[InstanceRecord], instances: int) -> None:
        """Need no coordinators."""

    async def on_settings(self) -> None:
        assert self.table is not None
        self.in_force[self.table.number] = asyncio.get_running_loop().time()


class Deployment:
    """Three control instances and some entry instances; made on a running loop.

    Parameters
    ----------
    entries : int
        Number of entry instances.
    rate : float
        What the link of each carries, in bytes a second.
    gone_seeds : int
        Addresses without anybody that stand behind the first control instance in the lists.
    """

    def __init__(self, entries: int, rate: float, gone_seeds: int = 0) -> None:
        self.controls = {member.address: ControlInstance() for member in CONTROLS}
        gone = [f"gone{i}:7200" for i in range(gone_seeds)]
        self.entries = [EntryInstance(f"e{i}", self.controls, rate, gone) for i in range(entries)]
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Deployment":
        for position, entry in enumerate(self.entries):
            self._tasks.append(asyncio.create_task(self._follow(position, entry)))
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def publish(self, table: PublishedTable) -> None:
        """Have a table accepted and applied at every control instance."""
        for instance in self.controls.values():
            instance.publish(table)

    async def _follow(self, position: int, entry: EntryInstance) -> None:
        # Instances ask at moments of their own.
        entry.asks_from = ASK_SPREAD_S * position / len(self.entries)
        await asyncio.sleep(entry.asks_from)
        await entry.follower.run()
