"""Settings from one entry instance to another, where control instances do not do."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from reachlink.control import WatchRequest
from reachlink.membership import (
    Inbox,
    Outbox,
    Progress,
    SettingsAnswer,
    SettingsHolder,
    pack_answer,
)
from reachlink.messaging import Bus, MessagingError, decode, encode

CHANNEL_SETTINGS = "settings"
# How long a peer may take to answer, with one piece at most, in seconds: a piece of 16
# KiB takes 26 ms at 5 Mbit/s.
PEER_TIMEOUT_S = 1.0

Take = Callable[[SettingsAnswer, Inbox], Awaitable[None]]
"""Puts what an answer brings in force, once all of it has come."""


class PeerNode(Protocol):
    """What `PeerSettings` needs of its instance."""

    settings: SettingsHolder
    bus: Bus
    ready: bool
    log: Any

    @property
    def name(self) -> str:
        """Name of the instance."""


class PeerSettings:
    """Answers peers and fetches from them.

    Parameters
    ----------
    node : PeerNode
        The entry instance.
    take : callable
        Takes what a peer answers.
    """

    def __init__(self, node: PeerNode, take: Take) -> None:
        self._node = node
        self._take = take
        self._outbox = Outbox()

    async def answer(self, sender: str, body: bytes) -> bytes:
        """Answer a peer that asks for settings newer than its revision."""
        request = decode(body, WatchRequest)
        settings = self._node.settings
        # Only an instance that serves speaks for what the zone has had in force.
        head = SettingsAnswer(settings.tree.revision, self._node.ready)
        return encode(pack_answer(self._outbox, head, request.holding, settings.since))

    async def fetch_from(self, address: str) -> None:
        """Fetch newer settings from a peer that has told of them."""
        answer = await self._ask(address, Progress())
        if answer is not None:
            await self._fetch(address, answer)

    async def fetch_newest(self, addresses: list[str]) -> bool:
        """Fetch the newest that any of some peers has; return whether one that serves answered.

        Only one sends all of it: the others would send the same over the same link.
        """
        answers = await asyncio.gather(*(self._ask(a, Progress()) for a in addresses))
        found = {a: answer for a, answer in zip(addresses, answers, strict=True) if answer}
        if not found:
            return False
        newest = max(found, key=lambda address: found[address].revision)
        await self._fetch(newest, found[newest])
        held = self._node.settings.tree.revision
        return held >= found[newest].revision and any(a.fresh for a in found.values())

    async def _fetch(self, address: str, answer: SettingsAnswer) -> None:
        """Take an answer, with the pieces that follow its first one."""
        inbox = Inbox()
        await self._take(answer, inbox)
        progress = inbox.progress
        while progress.content:
            following = await self._ask(address, progress)
            if following is None:
                return
            await self._take(following, inbox)
            if inbox.progress == progress:
                return
            progress = inbox.progress

    async def _ask(self, address: str, progress: Progress) -> SettingsAnswer | None:
        node = self._node
        revision, whole = node.settings.tree.revision, bool(node.settings.patch_error)
        request = WatchRequest(node.name, revision, 0.0, whole=whole, progress=progress)
        try:
            raw = await node.bus.call(address, CHANNEL_SETTINGS, encode(request), PEER_TIMEOUT_S)
        except MessagingError as error:
            node.log.info("peer_unanswered", peer=address, reason=str(error))
            return None
        return decode(raw, SettingsAnswer)
