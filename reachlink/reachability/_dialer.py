"""Connections to replicas: directly, or through a peer if the direct path is lost."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine, Iterable

from reachlink.kernel import steady_time
from reachlink.reachability._exchange import ProbeRequest, exchange, no_probe_request
from reachlink.reachability._paths import ConnectFailure, DirectPath, PathTracker, failure_of
from reachlink.reachability._relay_client import RelayClient, discard
from reachlink.reachability._sockets import ReplicaSocket, connect_socket
from reachlink.reachability.exceptions import NotReachedError

# Time in seconds after which a peer is asked while a direct connection is not answered.
# Connections between zones take some milliseconds.
RELAY_AFTER_S = 0.08
# Time in seconds between two direct attempts while a path is lost or suspected.
PROBE_INTERVAL_S = 0.4
# Maximum number of peers through which a replica that does not answer is asked. Peers whose own
# links are cut say so soon.
MAX_PEERS_EXAMINED = 3
# Time in seconds after the last request for a replica from which its path is no longer probed.
PROBE_WHILE_USED_S = 5.0


class Dialer(ABC):
    """Makes connections to replicas."""

    @abstractmethod
    async def dial(self, address: str) -> ReplicaSocket:
        """Return a connection to the replica at ``host:port``.

        Raises
        ------
        NotReachedError
            If none could be made; nothing was sent.
        """

    def suspect(self, path: DirectPath) -> None:  # noqa: B027
        """Examine a path on which answers are overdue; nothing to do without peers."""

    def avoid(self, peer: str) -> None:  # noqa: B027
        """Ask a peer last whose relayed connection ended without a byte."""

    async def settle(self, address: str) -> None:  # noqa: B027
        """Wait until it is known whose fault it is that a replica does not answer."""

    def close(self) -> None:  # noqa: B027
        """End work in the background; there is none without peers."""


class DirectDialer(Dialer):
    """Makes direct connections.

    Parameters
    ----------
    paths : PathTracker
        Is told how connections are made or fail.
    timeout_s : float
        Timeout of an attempt, in seconds.
    """

    def __init__(self, paths: PathTracker, timeout_s: float) -> None:
        self._paths = paths
        self._timeout_s = timeout_s

    async def dial(self, address: str) -> ReplicaSocket:
        """Return a direct connection."""
        begun = steady_time()
        path = self._paths.path(address, begun)
        try:
            connected = await connect_socket(address, self._timeout_s)
        except OSError as error:
            now = steady_time()
            self._paths.note_connect_failed(path, failure_of(error), now - begun, now)
            reason = str(error) or type(error).__name__
            raise NotReachedError(f"cannot connect to {address}: {reason}") from error
        path.connected_at = self._paths.connected_at = steady_time()
        return ReplicaSocket(connected)


class RelayingDialer(Dialer):
    """Makes direct connections, and asks peers where these fail.

    Parameters
    ----------
    direct : Dialer
        Makes direct connections.
    relays : RelayClient
        Makes connections through peers.
    paths : PathTracker
        Direct paths to the replicas.
    on_lost : callable
        Called with a path that has gone silent although a peer reaches the replica.
    probe_request : callable
        Returns what is sent to a replica to see whether it answers.
    """

    def __init__(
        self,
        direct: Dialer,
        relays: RelayClient,
        paths: PathTracker,
        on_lost: Callable[[DirectPath], None] = lambda path: None,
        probe_request: ProbeRequest = no_probe_request,
    ) -> None:
        self._direct = direct
        self._relays = relays
        self._paths = paths
        self.on_lost = on_lost
        self._probe_request = probe_request
        # Suspected paths of which nothing is known yet, by address.
        self._unsettled: dict[str, asyncio.Event] = {}
        self._examinations: dict[str, asyncio.Task[None]] = {}

    async def dial(self, address: str) -> ReplicaSocket:
        """Return a connection, through a peer if a direct one fails or is not answered soon."""
        now = steady_time()
        path = self._paths.path(address, now)
        path.dialed_at = now
        if path.is_lost:
            self._examine(path, self._watch_lost)
            try:
                return await self._relays.connect(address)
            except NotReachedError:
                return await self._direct.dial(address)
        return await self._dial_both(path)

    def suspect(self, path: DirectPath) -> None:
        """Examine a path on which answers are overdue."""
        now = steady_time()
        path.dialed_at = now
        if path.is_lost:
            # Requests that were sent shortly before the loss were not overdue then.
            self._abort_silent(path)
            return
        if path.suspected_at is None:
            self._unsettled.setdefault(path.address, asyncio.Event())
        path.suspect(now)
        self._examine(path, self._check_suspected)

    def avoid(self, peer: str) -> None:
        """Ask a peer last whose relayed connection ended without a byte."""
        self._relays.avoid(peer)

    async def settle(self, address: str) -> None:
        """Wait until a suspected path works, is lost, or nobody can tell."""
        unsettled = self._unsettled.get(address)
        if unsettled is not None:
            await unsettled.wait()

    def close(self) -> None:
        """End work in the background."""
        for task in self._examinations.values():
            task.cancel()

    async def _dial_both(self, path: DirectPath) -> ReplicaSocket:
        """Return a direct connection, or one through a peer if that is made first."""
        attempts = [asyncio.create_task(self._direct.dial(path.address))]
        try:
            await asyncio.wait(attempts, timeout=RELAY_AFTER_S)
            if not _succeeded(attempts[0]):
                attempts.append(asyncio.create_task(self._relays.connect(path.address)))
            found = await _first_success(attempts)
        except BaseException:
            for attempt in attempts:
                discard(attempt)
            raise
        for attempt in attempts:
            if attempt is not found:
                discard(attempt)
        if found is not attempts[0]:
            self._examine(path, self._watch_lost)
        return found.result()

    def _examine(
        self, path: DirectPath, how: Callable[[DirectPath], Coroutine[None, None, None]]
    ) -> None:
        """Run an examination of a path in the background, one at a time."""
        running = self._examinations.get(path.address)
        if running is not None and not running.done():
            return
        task = asyncio.create_task(how(path))
        self._examinations[path.address] = task
        task.add_done_callback(lambda done: self._forget(path.address, done))

    def _forget(self, address: str, done: "asyncio.Task[None]") -> None:
        if self._examinations.get(address) is done:
            del self._examinations[address]
            self._end_doubt(address)

    def _end_doubt(self, address: str) -> None:
        unsettled = self._unsettled.pop(address, None)
        if unsettled is not None:
            unsettled.set()

    async def _check_suspected(self, path: DirectPath) -> None:
        """Find out whether a silent path is lost, or its replica is silent to all."""
        while path.suspected_at is not None:
            if path.heard_at > path.suspected_at or await self._works(path):
                self._paths.note_working(path, steady_time())
            elif await self._peers_reach(path):
                await self._watch_lost(path)
            else:
                self._end_doubt(path.address)
                await self._pause(path)

    async def _watch_lost(self, path: DirectPath) -> None:
        """Confirm that a path is lost that a peer has, and probe it until it works again."""
        while not await self._works(path):
            if not path.is_lost:
                self._note_lost(path)
            if not await self._pause(path):
                return
        self._paths.note_working(path, steady_time())

    async def _pause(self, path: DirectPath) -> bool:
        """Wait until the next probe; return whether a request still needs the path."""
        await asyncio.sleep(PROBE_INTERVAL_S)
        now = steady_time()
        if now - path.dialed_at <= PROBE_WHILE_USED_S:
            return True
        self._paths.note_unused(path, now)
        return False

    def _note_lost(self, path: DirectPath) -> None:
        self._paths.note_lost(path, steady_time())
        self._end_doubt(path.address)
        self._abort_silent(path)

    def _abort_silent(self, path: DirectPath) -> None:
        if path.failure is ConnectFailure.SILENT:
            self.on_lost(path)

    async def _works(self, path: DirectPath) -> bool:
        """Return whether the replica answers on a new direct connection."""
        try:
            connected = await self._direct.dial(path.address)
        except NotReachedError:
            return False
        failure = await self._exchange(path, connected)
        if failure is not None:
            self._paths.note_unanswered(path, failure, steady_time())
        return failure is None

    async def _peers_reach(self, path: DirectPath) -> bool:
        """Return whether the replica answers through a peer."""
        for _ in range(MAX_PEERS_EXAMINED):
            try:
                connected = await self._relays.connect(path.address)
            except NotReachedError:
                return False
            if await self._exchange(path, connected) is None:
                return True
            self._relays.avoid(connected.peer)
        return False

    async def _exchange(self, path: DirectPath, connected: ReplicaSocket) -> ConnectFailure | None:
        """Return why a connection is not answered; None if it is, or nothing may be sent."""
        request = await self._probe_request(path.address)
        if not request:
            connected.close()
            return None
        failure = await exchange(connected, request)
        if failure is None and not connected.relayed:
            path.heard_at = steady_time()
        return failure


def _succeeded(attempt: "asyncio.Task[ReplicaSocket]") -> bool:
    return attempt.done() and not attempt.cancelled() and attempt.exception() is None


async def _first_success(
    attempts: Iterable["asyncio.Task[ReplicaSocket]"],
) -> "asyncio.Task[ReplicaSocket]":
    """Return the first attempt that succeeds; raise the error of the first one if none does."""
    attempts = list(attempts)
    running = set(attempts)
    while running:
        _, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        found = next((attempt for attempt in attempts if _succeeded(attempt)), None)
        if found is not None:
            return found
    raise _combined_error([attempt.exception() for attempt in attempts])


def _combined_error(errors: list[BaseException | None]) -> BaseException:
    """Return the error of the direct attempt, which comes first, with what a peer said."""
    direct = errors[0]
    if isinstance(direct, NotReachedError):
        said = (error for error in errors if isinstance(error, NotReachedError))
        direct.replica_away = any(error.replica_away for error in said)
    return direct or NotReachedError("no connection was made")
