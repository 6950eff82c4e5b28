"""Connections to replicas through peers."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from reachlink.kernel import steady_time
from reachlink.messaging import Bus, MessagingError, decode, encode
from reachlink.reachability._messages import (
    CHANNEL_RELAY,
    CLAIMED,
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from reachlink.reachability._peers import RelayPeer, RelayPeers
from reachlink.reachability._sockets import ReplicaSocket, connect_socket
from reachlink.reachability.exceptions import NotReachedError
from reachlink.telemetry import get_logger

# Timeout in seconds of a request to one peer, and of claiming the connection that it has made.
REPLY_TIMEOUT_S = 0.25
CLAIM_TIMEOUT_S = 0.15
# Time in seconds after which the next peer is asked as well.
NEXT_PEER_AFTER_S = 0.05
# Maximum number of peers that are asked for one connection, and time in seconds for all of them:
# where a zone is cut off, requests must not wait long for peers that do not answer either.
MAX_PEERS_ASKED = 8
TIMEOUT_S = 0.35
# Time in seconds for which no peer is asked for a replica that none of those asked reaches.
NOBODY_RETRY_S = 0.3
# Maximum number of such replicas that are remembered.
MAX_REMEMBERED_REPLICAS = 1000


@dataclass(slots=True, frozen=True)
class RelayTarget:
    """Replica that is to be reached through a peer: its name and availability zone."""

    name: str
    availability_zone: str


@dataclass(slots=True, frozen=True)
class _Settled:
    """That no peer reached a replica, valid until a monotonic time in seconds."""

    until: float
    replica_away: bool


class _ReplicaAwayError(Exception):
    """A peer in the replica's zone that reaches other replicas does not reach that one."""


class RelayClient:
    """Asks peers to relay connections to replicas.

    Parameters
    ----------
    bus : Bus
        Message bus to the peers.
    peers : RelayPeers
        The peers.
    target_at : callable
        Returns the replica at an address; None if it is unknown.
    count : callable
        Called with the outcome of each request to a peer.
    """

    def __init__(
        self,
        bus: Bus,
        peers: RelayPeers,
        target_at: Callable[[str], RelayTarget | None],
        count: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self._bus = bus
        self._peers = peers
        self._target_at = target_at
        self._count = count
        # What the last peers said of replicas that none of them reached, by address.
        self._settled: dict[str, _Settled] = {}
        self._log: Any = get_logger()

    async def connect(self, address: str) -> ReplicaSocket:
        """Return a connection through the first of several peers that reaches a replica.

        Raises
        ------
        NotReachedError
            If none of them does; nothing was sent to the replica.
        """
        now = steady_time()
        target = self._target_at(address)
        if target is None:
            raise NotReachedError(f"there is no replica at {address}")
        settled = self._settled.get(address)
        if settled is not None and settled.until > now:
            raise NotReachedError(f"no peer reached {address} lately", settled.replica_away)
        peers = self._peers.by_preference(target.availability_zone, now)[:MAX_PEERS_ASKED]
        try:
            connected = await self._first(peers, target, now + TIMEOUT_S)
        except _ReplicaAwayError as error:
            self._remember(address, replica_away=True)
            raise NotReachedError(f"{error} does not reach {address}", replica_away=True) from None
        if connected is None:
            self._remember(address, replica_away=False)
            raise NotReachedError(f"no peer reaches {address}")
        return connected

    def avoid(self, peer: str) -> None:
        """Ask a peer last for some time: what was sent through it was not answered."""
        self._peers.avoid(peer, steady_time())

    async def _first(
        self, peers: list[RelayPeer], target: RelayTarget, deadline: float
    ) -> ReplicaSocket | None:
        """Ask peers one after the other, without awaiting a slow one; return the first success.

        Raises
        ------
        _ReplicaAwayError
            If a peer in the replica's zone that reaches others does not reach this one.
        """
        running: set[asyncio.Task[ReplicaSocket | None]] = set()
        waiting = list(peers)
        try:
            while waiting or running:
                if waiting:
                    running.add(asyncio.create_task(self._through(waiting.pop(0), target)))
                left_s = deadline - steady_time()
                if left_s <= 0.0:
                    return None
                timeout_s = min(left_s, NEXT_PEER_AFTER_S) if waiting else left_s
                done, running = await asyncio.wait(
                    running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                found = [result for task in done if (result := task.result()) is not None]
                for surplus in found[1:]:
                    surplus.close()
                if found:
                    return found[0]
            return None
        finally:
            for task in running:
                discard(task)

    async def _through(self, peer: RelayPeer, target: RelayTarget) -> ReplicaSocket | None:
        """Return a connection through one peer; None if it is no help.

        Raises
        ------
        _ReplicaAwayError
            If the peer is in the replica's zone and reaches other replicas, but not this one.
            What a peer of another zone does not reach may be behind a cut between zones.
        """
        try:
            reply = await self._ask(peer, target)
            self._count(reply.outcome.value)
            if reply.outcome is RelayOutcome.OPENED:
                claimed = await self._claim(peer, reply)
                self._peers.prefer(peer.name, steady_time())
                return claimed
            is_near = peer.availability_zone == target.availability_zone
            if reply.outcome is RelayOutcome.UNREACHABLE and is_near:
                raise _ReplicaAwayError(peer.name)
            reason = reply.outcome.value
        except (MessagingError, OSError) as error:
            self._count("unanswered")
            reason = str(error) or type(error).__name__
        self._peers.avoid(peer.name, steady_time())
        self._log.info("relay_refused", peer=peer.name, replica=target.name, reason=reason)
        return None

    async def _ask(self, peer: RelayPeer, target: RelayTarget) -> RelayReply:
        body = encode(RelayRequest(target.name))
        raw = await self._bus.call(peer.address, CHANNEL_RELAY, body, REPLY_TIMEOUT_S)
        return decode(raw, RelayReply)

    async def _claim(self, peer: RelayPeer, reply: RelayReply) -> ReplicaSocket:
        """Connect to the peer and take the connection that it has made.

        Raises
        ------
        OSError
            If the peer does not hand it over.
        """
        loop = asyncio.get_running_loop()
        claimed = await connect_socket(f"{peer.host}:{reply.port}", CLAIM_TIMEOUT_S)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                await loop.sock_sendall(claimed, reply.token)
                if await loop.sock_recv(claimed, len(CLAIMED)) != CLAIMED:
                    raise ConnectionResetError("the peer has dropped the connection")
        except BaseException:
            claimed.close()
            raise
        return ReplicaSocket(claimed, relayed=True, peer=peer.name)

    def _remember(self, address: str, replica_away: bool) -> None:
        now = steady_time()
        if len(self._settled) >= MAX_REMEMBERED_REPLICAS:
            self._settled = {a: one for a, one in self._settled.items() if one.until > now}
        self._settled[address] = _Settled(now + NOBODY_RETRY_S, replica_away)


def discard(task: asyncio.Task[Any]) -> None:
    """Cancel an attempt whose connection is not needed, and close it if it is made."""
    task.add_done_callback(_close_result)
    task.cancel()


def _close_result(task: asyncio.Task[Any]) -> None:
    with contextlib.suppress(asyncio.CancelledError, NotReachedError, _ReplicaAwayError, OSError):
        result = task.result()
        if result is not None:
            result.close()
