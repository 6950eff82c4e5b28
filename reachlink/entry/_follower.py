"""Keeps an entry instance's settings the newest that can be had, and judges readiness.

An instance is ready once its settings cover everything that was accepted
before it started, as a control instance with a living leader confirms; or,
where no such one can be reached, once the peers of its own availability zone
have been asked and one that serves has answered. From then on it stays
ready: settings never go back.
"""

import asyncio
import contextlib
from typing import Any, Protocol

from reachlink.control import ControlClient, WatchRequest
from reachlink.membership import InstanceRecord, SettingsAnswer, SettingsHolder
from reachlink.messaging import Bus, MessagingError, decode, encode
from reachlink.settings import SettingsTree

CHANNEL_SETTINGS = "settings"
# How much longer than asked for an answer may take before another is asked, in seconds.
WATCH_MARGIN_S = 0.5
# Pause before the next control instance is asked, in seconds.
PAUSE_S = 0.2
# The same before this instance is ready: where all have restarted, each should
# ask soon after there is a leader. With 0.2 s, up to half of the instances had
# their table 0.2 s after the others (logs of three restarts).
START_PAUSE_S = 0.1
# How long control instances are waited for before this zone's peers will do, in seconds.
ZONE_PATIENCE_S = 3.0
# How long a peer may take to answer, in seconds.
PEER_TIMEOUT_S = 1.0


class FollowingNode(Protocol):
    """What `SettingsFollower` needs of the instance whose settings it keeps."""

    settings: SettingsHolder
    bus: Bus
    control: ControlClient
    ready: bool
    not_ready_reason: str
    log: Any

    @property
    def name(self) -> str:
        """Name of the instance."""

    @property
    def address(self) -> str:
        """Address of its bus."""

    @property
    def zone(self) -> str:
        """Its availability zone."""

    @property
    def tree(self) -> SettingsTree:
        """Settings in force here."""

    @property
    def watch_wait_s(self) -> float:
        """How long a control instance may hold the question for news, in seconds."""

    @property
    def accepts_stale(self) -> bool:
        """Whether settings of a control instance without a leader will do at last."""

    def zone_peers(self) -> list[str]:
        """Return the addresses of the other entry instances of the zone."""

    def on_controls(self, controls: list[InstanceRecord]) -> None:
        """Take the control instances that exist now."""

    def on_roster(self, coordinators: list[InstanceRecord], instances: int) -> None:
        """Take the entry instances that coordinate placement, and the number of all."""

    def on_settings(self) -> None:
        """Newer settings are in force."""


class SettingsFollower:
    """Watches control instances and, where needed, peers.

    Parameters
    ----------
    node : FollowingNode
        The entry instance.
    """

    def __init__(self, node: FollowingNode) -> None:
        self._node = node
        self._started = asyncio.get_running_loop().time()
        self._unanswered = 0
        self._unanswered_since = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            answered = await self._watch_once()
            if not self._node.ready and not answered:
                await self._try_zone()
            if not answered:
                self._node.control.rotate()
                await asyncio.sleep(PAUSE_S if self._node.ready else START_PAUSE_S)

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
        wait = node.watch_wait_s if node.ready else 0.0
        request = WatchRequest(
            node.name, node.tree.revision, wait, not node.ready, node.address, node.zone
        )
        asked = node.control.addresses[0]
        try:
            answer = await node.control.ask(asked, request, wait + WATCH_MARGIN_S)
        except MessagingError as error:
            self._note_unanswered(asked, str(error))
            return False
        self._note_answered(asked)
        if not isinstance(answer, SettingsAnswer):
            return False
        self._take(answer)
        if answer.controls:
            node.on_controls(answer.controls)
            node.on_roster(answer.coordinators, answer.instances)
        if answer.fresh and node.tree.revision >= answer.revision:
            self._become_ready("confirmed by the control instances")
        elif answer.stale:
            self._accept_stale()
        return node.ready and not answer.stale

    def _note_unanswered(self, asked: str, reason: str) -> None:
        """Log the first of a row of questions that came to nothing."""
        now = asyncio.get_running_loop().time()
        if not self._unanswered:
            self._unanswered_since = now
            revision = self._node.tree.revision
            self._node.log.info(
                "settings_unanswered", control=asked, revision=revision, reason=reason
            )
        self._unanswered += 1

    def _note_answered(self, asked: str) -> None:
        """Log the end of a row of questions that came to nothing."""
        if not self._unanswered:
            return
        silent = asyncio.get_running_loop().time() - self._unanswered_since
        self._node.log.info(
            "settings_answered",
            control=asked,
            questions=self._unanswered,
            silent_s=round(silent, 3),
        )
        self._unanswered = 0

    def _accept_stale(self) -> None:
        """Where the newest cannot be confirmed for long, serve what a control instance has."""
        waited = asyncio.get_running_loop().time() - self._started
        patient = waited < ZONE_PATIENCE_S
        if self._node.accepts_stale and self._node.tree.revision and not patient:
            self._become_ready("unconfirmed: the control instances in reach have no leader")

    async def _try_zone(self) -> None:
        node = self._node
        waited = asyncio.get_running_loop().time() - self._started
        node.not_ready_reason = "no control instance can confirm the newest settings"
        if waited < ZONE_PATIENCE_S:
            return
        answers = await asyncio.gather(*(self._ask_quietly(a) for a in node.zone_peers()))
        found = [a for a in answers if a is not None]
        for answer in found:
            self._take(answer)
        if any(a.fresh for a in found):
            self._become_ready("the newest of this availability zone, which is cut off")
            return
        node.not_ready_reason += ", and no instance of this availability zone serves"

    async def _ask_quietly(self, address: str) -> SettingsAnswer | None:
        try:
            return await self._ask_peer(address)
        except MessagingError:
            return None

    async def _ask_peer(self, address: str) -> SettingsAnswer:
        node = self._node
        request = WatchRequest(node.name, node.tree.revision, 0.0)
        raw = await node.bus.call(address, CHANNEL_SETTINGS, encode(request), PEER_TIMEOUT_S)
        return decode(raw, SettingsAnswer)

    def _take(self, answer: SettingsAnswer) -> None:
        if self._node.settings.take(answer):
            self._node.log.info("settings_in_force", revision=answer.revision)
            self._node.on_settings()

    def _become_ready(self, how: str) -> None:
        if self._node.ready:
            return
        self._node.ready = True
        self._node.not_ready_reason = ""
        self._node.log.info("ready", revision=self._node.tree.revision, how=how)
