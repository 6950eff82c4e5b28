"""Claims of a caller's idempotency key around a non-repeatable request."""

import asyncio
import hashlib
import time

from aiohttp import web

from reachlink.control import (
    ClaimCommand,
    ClaimResult,
    ClaimStatus,
    CompleteCommand,
    ControlUnavailableError,
    OutcomeUnknownError,
    StoredAnswer,
)
from reachlink.delivery import Outcome
from reachlink.entry._http import REQUEST_HEADER
from reachlink.entry._node import EntryNode
from reachlink.entry.exceptions import RequestError
from reachlink.settings import ServicePolicy
from reachlink.upstreams import NOT_RUN_STATUSES

KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 255
# Shortest time in seconds for which a claim is kept, longer than any request runs: once it is
# forgotten, its key may be claimed again.
MIN_KEEP_S = 3600.0
CLAIM_TIMEOUT_S = 3.0
COMPLETE_TIMEOUT_S = 30.0


class ClaimedKey:
    """One claim, made by quorum before anything is dispatched.

    Parameters
    ----------
    node : EntryNode
        The entry instance.
    command : ClaimCommand
        The claim.
    """

    def __init__(self, node: EntryNode, command: ClaimCommand) -> None:
        self._node = node
        self._command = command

    @classmethod
    def from_request(
        cls,
        node: EntryNode,
        request: web.Request,
        repeatable: bool,
        workspace: str,
        body: bytes,
        policy: ServicePolicy,
    ) -> "ClaimedKey | None":
        """Return the claim that a request needs, or None."""
        key = request.headers.get(KEY_HEADER, "")
        if repeatable or not key:
            return None
        if len(key) > MAX_KEY_CHARACTERS:
            raise RequestError(400, "invalid_header", "the key is too long", param=KEY_HEADER)
        if not key.isprintable():
            raise RequestError(400, "invalid_header", "the key is not text", param=KEY_HEADER)
        content = f"{request.method} {request.path_qs}\n".encode() + body
        command = ClaimCommand(
            workspace=workspace,
            key=key,
            body_hash=hashlib.sha256(content).hexdigest(),
            request_id=request["request_id"],
            instance=node.config.name,
            keep_s=max(policy.keep_s, MIN_KEEP_S),
            at=time.time(),
        )
        return cls(node, command)

    async def claim(self) -> web.Response | None:
        """Claim the key; return the stored answer of an earlier arrival, if any.

        Raises
        ------
        RequestError
            If the key cannot be claimed; nothing was dispatched.
        """
        try:
            result = await self._node.control.propose(self._command, CLAIM_TIMEOUT_S)
        except (ControlUnavailableError, OutcomeUnknownError) as error:
            # Even if the claim was made, this request never dispatches on it.
            self.complete_later(Outcome.NOT_RUN, None)
            raise RequestError(
                503,
                "claim_unavailable",
                f"the request cannot be recorded now: {error}",
                Outcome.NOT_RUN,
                2.0,
            ) from error
        except (asyncio.CancelledError, Exception):
            # The caller has left, for instance: a claim that was made must not stay open.
            self.complete_later(Outcome.NOT_RUN, None)
            raise
        assert isinstance(result, ClaimResult)
        if result.status is ClaimStatus.GRANTED:
            return None
        return _earlier(result)

    def complete_later(self, outcome: Outcome, answer: StoredAnswer | None) -> None:
        """Record the end of the request in the background."""
        self._node.spawn(self.complete(outcome, answer, COMPLETE_TIMEOUT_S))

    async def complete(
        self, outcome: Outcome, answer: StoredAnswer | None, timeout_s: float
    ) -> None:
        """Record how the request ended."""
        command = CompleteCommand(
            workspace=self._command.workspace,
            key=self._command.key,
            request_id=self._command.request_id,
            outcome=outcome.value,
            answer=answer,
            at=time.time(),
        )
        try:
            await self._node.control.propose(command, timeout_s)
        except (ControlUnavailableError, OutcomeUnknownError) as error:
            self._node.log.warning(
                "claim_not_completed", request_id=command.request_id, reason=str(error)
            )


def _earlier(result: ClaimResult) -> web.Response:
    """Return the stored answer, unless its status would tell that the request has not run."""
    if result.status is ClaimStatus.MISMATCH:
        raise RequestError(
            422, "key_reused", "the key was used with another request", param=KEY_HEADER
        )
    if result.answer is not None and result.answer.status not in NOT_RUN_STATUSES:
        headers = {REQUEST_HEADER: result.request_id, "Reachlink-Replayed": "yes"}
        answer = result.answer
        return web.Response(
            body=answer.body,
            status=answer.status,
            headers={**headers, "Content-Type": answer.content_type},
        )
    if result.status is ClaimStatus.RUNNING:
        message = f"the first request with this key runs at {result.instance}"
        raise RequestError(409, "in_progress", message, Outcome.UNKNOWN, 1.0)
    raise RequestError(
        409, "outcome_unknown", "what became of the first request is unknown", Outcome.UNKNOWN
    )
