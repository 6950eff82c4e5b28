"""Claims of non-repeatable requests: who may dispatch, and what came of it."""

import msgspec

from reachlink.control._commands import (
    ClaimCommand,
    ClaimResult,
    ClaimStatus,
    CompleteCommand,
    StoredAnswer,
)

MAX_ANSWER_BYTES = 64 << 10


class Claim(msgspec.Struct):
    """One claimed key."""

    body_hash: str
    request_id: str
    instance: str
    expires_at: float
    status: ClaimStatus
    answer: StoredAnswer | None = None


class ClaimBook:
    """All claims, by workspace and key.

    Parameters
    ----------
    claims : dict, optional
        Claims held so far. Keys are ``workspace`` and ``key`` joined by a NUL.
    """

    def __init__(self, claims: dict[str, Claim] | None = None) -> None:
        self._claims = claims if claims is not None else {}

    @property
    def claims(self) -> dict[str, Claim]:
        """Everything that is held."""
        return self._claims

    def claim(self, command: ClaimCommand, now: float) -> ClaimResult:
        """Grant a claim once; tell every later arrival what became of it.

        A claim sent again by the same request is granted again: its first
        answer was lost, and only that request dispatches on it.
        """
        name = _name(command.workspace, command.key)
        held = self._claims.get(name)
        if held is not None and held.expires_at <= now:
            held = None
        if held is None:
            self._claims[name] = Claim(
                command.body_hash,
                command.request_id,
                command.instance,
                now + command.keep_s,
                ClaimStatus.RUNNING,
            )
            return ClaimResult(ClaimStatus.GRANTED, command.instance, command.request_id)
        if held.body_hash != command.body_hash:
            return ClaimResult(ClaimStatus.MISMATCH, held.instance, held.request_id)
        if held.request_id == command.request_id and held.status is ClaimStatus.RUNNING:
            return ClaimResult(ClaimStatus.GRANTED, held.instance, held.request_id)
        return ClaimResult(held.status, held.instance, held.request_id, held.answer)

    def complete(self, command: CompleteCommand) -> ClaimResult:
        """Record how a claimed request ended."""
        name = _name(command.workspace, command.key)
        held = self._claims.get(name)
        if held is None or held.request_id != command.request_id:
            return ClaimResult(ClaimStatus.UNKNOWN)
        if command.outcome == "not_run":
            del self._claims[name]
            return ClaimResult(ClaimStatus.DONE)
        answer = command.answer
        if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = None
        held.answer = answer
        held.status = ClaimStatus.DONE if answer is not None else ClaimStatus.UNKNOWN
        return ClaimResult(held.status, held.instance, held.request_id, held.answer)

    def drop_expired(self, now: float) -> None:
        """Forget claims whose time is over."""
        expired = [name for name, claim in self._claims.items() if claim.expires_at <= now]
        for name in expired:
            del self._claims[name]


def _name(workspace: str, key: str) -> str:
    return f"{workspace}\0{key}"
