"""Keeps an entry instance's settings the newest that can be had, and judges readiness.

An instance is ready once its settings cover everything that was accepted
before it started, as a control instance with a living leader confirms; or,
where no such one can be reached, once the peers of its own availability zone
have been asked and one that serves has answered. From then on it stays
ready: settings never go back.
"""

import asyncio
import contextlib

from reachlink.control import WatchRequest
from reachlink.entry._config import PeerConfig
from reachlink.entry._node import EntryNode
from reachlink.membership import SettingsAnswer
from reachlink.messaging import MessagingError, decode, encode

CHANNEL_SETTINGS = "settings"
WATCH_WAIT_S = 2.0
WATCH_MARGIN_S = 1.0
PAUSE_S = 0.2
ZONE_PATIENCE_S = 3.0
PEER_TIMEOUT_S = 1.0


class SettingsFollower:
    """Watches control instances and, where needed, peers.

    Parameters
    ----------
    node : EntryNode
        The entry instance.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node
        self._started = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            answered = await self._watch_once()
            if not self._node.ready and not answered:
                await self._try_zone()
            if not answered:
                self._node.control.rotate()
                await asyncio.sleep(PAUSE_S)

    async def catch_up_from(self, peer_address: str) -> None:
        """Fetch newer settings from a peer that has told of them."""
        with contextlib.suppress(MessagingError):
            self._take(await self._ask_peer(peer_address))

    async def answer_peer(self, sender: str, body: bytes) -> bytes:
        """Answer a peer that asks for settings newer than its revision."""
        request = decode(body, WatchRequest)
        # Only an instance that serves speaks for what the zone has had in force.
        fresh = self._node.ready
        return encode(self._node.settings.since(request.revision, fresh))

    async def _watch_once(self) -> bool:
        node = self._node
        wait = WATCH_WAIT_S if node.ready else 0.0
        request = WatchRequest(node.config.name, node.tree.revision, wait, not node.ready)
        try:
            answer = await node.control.ask(
                node.control.addresses[0], request, wait + WATCH_MARGIN_S
            )
        except MessagingError:
            return False
        if not isinstance(answer, SettingsAnswer):
            return False
        self._take(answer)
        if answer.fresh and node.tree.revision >= answer.revision:
            self._become_ready("confirmed by the control instances")
        return node.ready

    async def _try_zone(self) -> None:
        node = self._node
        waited = asyncio.get_running_loop().time() - self._started
        node.not_ready_reason = "no control instance can confirm the newest settings"
        if waited < ZONE_PATIENCE_S:
            return
        peers = [p for p in node.config.peers if p.availability_zone == node.zone]
        answers = await asyncio.gather(*(self._ask_quietly(p) for p in peers))
        found = [a for a in answers if a is not None]
        for answer in found:
            self._take(answer)
        if any(a.fresh for a in found):
            self._become_ready("the newest of this availability zone, which is cut off")
            return
        node.not_ready_reason += ", and no instance of this availability zone serves"

    async def _ask_quietly(self, peer: PeerConfig) -> SettingsAnswer | None:
        try:
            return await self._ask_peer(peer.address)
        except MessagingError:
            return None

    async def _ask_peer(self, address: str) -> SettingsAnswer:
        node = self._node
        request = WatchRequest(node.config.name, node.tree.revision, 0.0)
        raw = await node.bus.call(address, CHANNEL_SETTINGS, encode(request), PEER_TIMEOUT_S)
        return decode(raw, SettingsAnswer)

    def _take(self, answer: SettingsAnswer) -> None:
        if self._node.settings.take(answer):
            self._node.log.info("settings_in_force", revision=answer.revision)
            self._node.pump()

    def _become_ready(self, how: str) -> None:
        if self._node.ready:
            return
        self._node.ready = True
        self._node.not_ready_reason = ""
        self._node.log.info("ready", revision=self._node.tree.revision, how=how)
