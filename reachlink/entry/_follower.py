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
from reachlink.entry._answer_timeout import AnswerTimeout
from reachlink.entry._control_questions import Answered, ControlQuestions
from reachlink.entry._peer_settings import PeerSettings
from reachlink.entry._settings_confirmation import SettingsConfirmation
from reachlink.membership import (
    Inbox,
    InstanceRecord,
    SettingsAnswer,
    SettingsHolder,
    unpack_answer,
)
from reachlink.messaging import Bus
from reachlink.settings import SettingsTree

# Pause before the next control instance is asked, in seconds.
PAUSE_S = 0.2
# The same before this instance is ready: where all have restarted, each should
# ask soon after there is a leader.
START_PAUSE_S = 0.1
# How long control instances are waited for before this zone's peers will do, in seconds.
ZONE_PATIENCE_S = 3.0


class FollowingNode(Protocol):
    """What `SettingsFollower` needs of the instance whose settings it keeps."""

    settings: SettingsHolder
    confirmation: SettingsConfirmation
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
        self._timeout = AnswerTimeout(node.log)
        self._questions = ControlQuestions(node.control, self._timeout, node.log)
        self._inbox = Inbox()
        # The newest revision that any control instance has told of.
        self._newest_told = 0
        # Whether a control instance without confirmation has answered before this one was ready.
        self._unconfirmed = False
        # Whether the last answer was of a control instance that has not caught up.
        self._behind = False
        # Control instances asked in a row that had nothing of what is being fetched.
        self._lacking = 0
        self.peers = PeerSettings(node, self._take)

    @property
    def unanswered_s(self) -> float:
        """Time since a control instance has answered, in seconds."""
        return self._timeout.unanswered_s

    @property
    def fetching(self) -> bool:
        """Whether pieces of a content have come and others are missing."""
        return bool(self._inbox.progress.content)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            answered = await self._watch_once()
            if not self._node.ready and not answered:
                await self._try_zone()
            if not answered:
                self._node.control.rotate()
                await asyncio.sleep(PAUSE_S if self._node.ready else START_PAUSE_S)

    async def _watch_once(self) -> bool:
        """Ask once; return whether to ask on without a pause."""
        # Where newer settings are known to exist, the answer brings them.
        known_newer = self._newest_told > self._node.tree.revision
        hedged = not self.fetching and not known_newer
        answered = await self._questions.ask(self._watch_request(), self.fetching, hedged)
        if answered is None:
            self._node.confirmation.note_unanswered()
            return False
        await self._take_answer(answered)
        return self._asks_on(answered)

    async def _take_answer(self, answered: Answered) -> None:
        """Take all that an answer tells."""
        node, request, answer = self._node, answered.request, answered.answer
        self._newest_told = max(self._newest_told, answer.revision)
        await self._take(answer, self._inbox)
        if node.tree.revision >= answer.revision:
            node.confirmation.note(request, answer, answered.asked_at)
        self._note_behind(request, answer)
        if answer.controls:
            node.on_controls(answer.controls)
            node.on_roster(answer.coordinators, answer.instances)

    def _asks_on(self, answered: Answered) -> bool:
        """Judge readiness by an answer; return whether to ask on without a pause."""
        node, request, answer = self._node, answered.request, answered.answer
        if request.head_only and node.tree.revision < answer.revision:
            # Who told of newer settings is asked for them next.
            return True
        if self._inbox.progress != request.progress:
            self._lacking = 0
            return True
        if request.progress.content and not request.head_only:
            self._note_lacking()
            return False
        if answer.fresh and node.tree.revision >= answer.revision:
            self._become_ready("confirmed by the control instances")
        else:
            self._note_unconfirmed(answer)
            if answer.stale:
                self._accept_stale()
        # Who was asked may be behind another one: there is newer to be had elsewhere.
        behind = answer.revision < max(self._newest_told, node.tree.revision)
        return node.ready and not answer.stale and not behind

    def _note_unconfirmed(self, answer: SettingsAnswer) -> None:
        """Log the first answer before the start is complete that may not be the newest."""
        if self._unconfirmed or self._node.ready:
            return
        self._unconfirmed = True
        self._node.log.info(
            "settings_unconfirmed",
            control=self._node.control.addresses[0],
            revision=answer.revision,
            has_leader=not answer.stale,
        )

    def _note_behind(self, request: WatchRequest, answer: SettingsAnswer) -> None:
        """Log the first of a row of answers of control instances that have not caught up."""
        was_behind, self._behind = self._behind, answer.revision < request.revision
        if self._behind and not was_behind:
            self._node.log.info(
                "control_behind",
                control=self._node.control.addresses[0],
                revision=answer.revision,
                held=request.revision,
                has_leader=not answer.stale,
            )

    def _note_lacking(self) -> None:
        """Who was asked has nothing of what is being fetched; drop it if that is so of all."""
        self._lacking += 1
        if self._lacking >= len(self._node.control.addresses):
            self._lacking = 0
            self._inbox.drop()

    def _watch_request(self) -> WatchRequest:
        """Return the next question: for the next piece, or for news."""
        node = self._node
        fetching = self.fetching
        known_newer = self._newest_told > node.tree.revision
        waits = node.ready and not fetching and not known_newer
        return WatchRequest(
            instance=node.name,
            revision=node.tree.revision,
            wait_s=node.watch_wait_s if waits else 0.0,
            fresh=not node.ready and not fetching,
            address=node.address,
            availability_zone=node.zone,
            whole=bool(node.settings.patch_error),
            progress=self._inbox.progress,
        )

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
        if await self.peers.fetch_newest(node.zone_peers()):
            self._become_ready("the newest of this availability zone, which is cut off")
            return
        node.not_ready_reason += ", and no instance of this availability zone serves"

    async def _take(self, answer: SettingsAnswer, inbox: Inbox) -> None:
        """Put what an answer brings in force, once all of it has come."""
        node = self._node
        content = unpack_answer(inbox, answer)
        if content is None:
            return
        if node.settings.take(content):
            # What was being fetched besides leads on from what is not held any more.
            inbox.drop()
            node.log.info(
                "settings_in_force",
                revision=content.revision,
                deltas=len(content.deltas),
                bytes=answer.piece.size if answer.piece else 0,
            )
            await node.on_settings()
        elif node.settings.patch_error:
            node.log.warning(
                "settings_misfit",
                held=node.tree.revision,
                offered=content.revision,
                reason=node.settings.patch_error,
            )

    def _become_ready(self, how: str) -> None:
        if self._node.ready:
            return
        self._node.ready = True
        self._node.not_ready_reason = ""
        self._node.log.info("ready", revision=self._node.tree.revision, how=how)
