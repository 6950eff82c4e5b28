"""Keeps an entry instance's settings the newest that can be had, and judges readiness.

An instance is ready once its settings cover everything that was accepted
before it started, as a control instance with a living leader confirms; or,
where no such one can be reached, once the peers of its own availability zone
have been asked and one that serves has answered. From then on it stays
ready: settings never go back.
"""

import asyncio
from typing import Any, Protocol

from reachlink.control import ControlClient, WatchRequest
from reachlink.membership import (
    Inbox,
    InstanceRecord,
    Outbox,
    Progress,
    SettingsAnswer,
    SettingsHolder,
    pack_answer,
    unpack_answer,
)
from reachlink.messaging import Bus, MessagingError, decode, encode
from reachlink.settings import SettingsTree

CHANNEL_SETTINGS = "settings"
# How much longer than asked for an answer may take before another is asked, in seconds.
WATCH_MARGIN_S = 0.5
# The same at most, after questions that came to nothing, in seconds: a link on which a
# piece takes longer than the margin would else never carry one.
WATCH_MARGIN_MAX_S = 4.0
# The same at most before there is a first piece, in seconds: nothing tells a slow link
# from a control instance that is silent, which is asked for that long in vain.
FIRST_MARGIN_MAX_S = 1.0
# By how much the margin grows with each question that came to nothing.
MARGIN_GROWTH = 1.5
# The margin for a piece in times of what the piece before it took.
PIECE_MARGIN = 3.0
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

    async def on_settings(self) -> None:
        """Newer settings have come; nothing newer is asked for before this returns."""


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
        self._margin_s = WATCH_MARGIN_S
        self._inbox = Inbox()
        self._outbox = Outbox()

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
        try:
            await self._fetch(peer_address, await self._ask_peer(peer_address, Progress()))
        except MessagingError as error:
            self._node.log.info("peer_unanswered", peer=peer_address, reason=str(error))

    async def answer_peer(self, sender: str, body: bytes) -> bytes:
        """Answer a peer that asks for settings newer than its revision."""
        request = decode(body, WatchRequest)
        settings = self._node.settings
        # Only an instance that serves speaks for what the zone has had in force.
        head = SettingsAnswer(self._node.tree.revision, self._node.ready)
        return encode(pack_answer(self._outbox, head, request.holding, settings.since))

    async def _watch_once(self) -> bool:
        """Ask once; return whether to ask on without a pause."""
        node = self._node
        asked = node.control.addresses[0]
        request = self._watch_request()
        started = asyncio.get_running_loop().time()
        try:
            answer = await node.control.ask(asked, request, request.wait_s + self._margin_s)
        except MessagingError as error:
            most = WATCH_MARGIN_MAX_S if request.progress.content else FIRST_MARGIN_MAX_S
            self._margin_s = min(self._margin_s * MARGIN_GROWTH, most)
            self._note_unanswered(asked, str(error))
            return False
        self._note_answered(asked)
        if not isinstance(answer, SettingsAnswer):
            return False
        took_s = asyncio.get_running_loop().time() - started
        self._margin_s = _margin_after(took_s - request.wait_s)
        await self._take(answer, self._inbox)
        if answer.controls:
            node.on_controls(answer.controls)
            node.on_roster(answer.coordinators, answer.instances)
        if self._inbox.progress != request.progress:
            return True
        if request.progress.content:
            # Who was asked is behind: it has nothing of what is being fetched.
            return False
        if answer.fresh and node.tree.revision >= answer.revision:
            self._become_ready("confirmed by the control instances")
        elif answer.stale:
            self._accept_stale()
        return node.ready and not answer.stale

    def _watch_request(self) -> WatchRequest:
        """Return the next question: for the next piece, or for news."""
        node = self._node
        progress = self._inbox.progress
        fetching = bool(progress.content)
        return WatchRequest(
            node.name,
            node.tree.revision,
            node.watch_wait_s if node.ready and not fetching else 0.0,
            not node.ready and not fetching,
            node.address,
            node.zone,
            node.settings.needs_whole,
            progress,
        )

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
        peers = node.zone_peers()
        answers = await asyncio.gather(*(self._ask_quietly(a) for a in peers))
        found = [(p, a) for p, a in zip(peers, answers, strict=True) if a is not None]
        if not found:
            node.not_ready_reason += ", and no instance of this availability zone serves"
            return
        # One of them is enough: each would else send the same over this one's link.
        newest = max((answer.revision, peer) for peer, answer in found)
        await self._fetch_quietly(newest[1], dict(found)[newest[1]])
        if any(a.fresh for _, a in found) and node.tree.revision >= newest[0]:
            self._become_ready("the newest of this availability zone, which is cut off")
            return
        node.not_ready_reason += ", and no instance of this availability zone serves"

    async def _ask_quietly(self, address: str) -> SettingsAnswer | None:
        try:
            return await self._ask_peer(address, Progress())
        except MessagingError as error:
            self._node.log.info("peer_unanswered", peer=address, reason=str(error))
            return None

    async def _fetch_quietly(self, address: str, answer: SettingsAnswer) -> None:
        try:
            await self._fetch(address, answer)
        except MessagingError as error:
            self._node.log.info("peer_unanswered", peer=address, reason=str(error))

    async def _fetch(self, address: str, answer: SettingsAnswer) -> None:
        """Take an answer of a peer, with the pieces that follow its first one."""
        inbox = Inbox()
        await self._take(answer, inbox)
        while inbox.progress.content:
            await self._take(await self._ask_peer(address, inbox.progress), inbox)

    async def _ask_peer(self, address: str, progress: Progress) -> SettingsAnswer:
        node = self._node
        whole = node.settings.needs_whole
        request = WatchRequest(node.name, node.tree.revision, 0.0, whole=whole, progress=progress)
        raw = await node.bus.call(address, CHANNEL_SETTINGS, encode(request), PEER_TIMEOUT_S)
        return decode(raw, SettingsAnswer)

    async def _take(self, answer: SettingsAnswer, inbox: Inbox) -> None:
        """Put what an answer brings in force, once all of it has come."""
        node = self._node
        content = unpack_answer(inbox, answer)
        if content is None:
            return
        if node.settings.take(content):
            node.log.info(
                "settings_in_force",
                revision=content.revision,
                deltas=len(content.deltas),
                bytes=answer.piece.size if answer.piece else 0,
            )
            await node.on_settings()
        elif node.settings.needs_whole:
            node.log.warning("settings_misfit", held=node.tree.revision, offered=content.revision)

    def _become_ready(self, how: str) -> None:
        if self._node.ready:
            return
        self._node.ready = True
        self._node.not_ready_reason = ""
        self._node.log.info("ready", revision=self._node.tree.revision, how=how)


def _margin_after(took_s: float) -> float:
    """Return the margin for the next answer, by what the last one took beyond the wait."""
    return min(max(WATCH_MARGIN_S, PIECE_MARGIN * took_s), WATCH_MARGIN_MAX_S)
