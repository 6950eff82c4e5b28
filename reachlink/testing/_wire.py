"""Bodies of the engine stand-in's published protocol."""

import hashlib

import msgspec


class Message(msgspec.Struct):
    """One chat message."""

    role: str = "user"
    content: str = ""


class GenerateBody(msgspec.Struct):
    """Body of ``POST /v1/chat/completions`` and ``/v1/completions``."""

    model: str = ""
    messages: list[Message] = []
    prompt: str = ""
    max_tokens: int = 4096
    max_completion_tokens: int | None = None
    priority: int = 0
    seed: int | None = None


class OrderBody(msgspec.Struct):
    """Body of ``POST /v1/orders``."""

    order_id: str
    fence: int
    issuer: str
    action: str
    target: str = ""


class FaultBody(msgspec.Struct, forbid_unknown_fields=True):
    """Probabilities of faults on the wire, and what else an engine does wrong.

    Attributes
    ----------
    repeat, skip, cross, reset : float
        Probabilities for each event, from 0 to 1.
    frozen_reports : bool
        Whether load reports stand still.
    slow_factor : float
        Factor on the time of a step.
    exit_on : str
        Text in a prompt under which the engine's process ends; empty for none.
    wait_s : float
        Backoff that an engine or service asks for as it turns all work away, in seconds; 0
        while it takes work.
    limit_per_s : float
        Requests a second that it names to take from all together; 0 for no limit.
    unread_s : float
        How long it leaves a request's body unread, in seconds.
    """

    repeat: float = 0.0
    skip: float = 0.0
    cross: float = 0.0
    reset: float = 0.0
    frozen_reports: bool = False
    slow_factor: float = 1.0
    exit_on: str = ""
    wait_s: float = 0.0
    limit_per_s: float = 0.0
    unread_s: float = 0.0


def prompt_text(body: GenerateBody) -> str:
    """Return the whole prompt of a request."""
    return body.prompt or "\n".join(f"{m.role}: {m.content}" for m in body.messages)


def count_tokens(text: str) -> int:
    """Return the number of prompt tokens: one for every four characters."""
    return max(1, (len(text) + 3) // 4)


def block_hashes(text: str, block_tokens: int) -> tuple[int, ...]:
    """Return a chained hash for each whole block of the prompt."""
    size = block_tokens * 4
    hashes: list[int] = []
    chain = b""
    for start in range(0, len(text) - size + 1, size):
        block = text[start : start + size].encode()
        chain = hashlib.blake2b(chain + block, digest_size=6).digest()
        hashes.append(int.from_bytes(chain, "big"))
    return tuple(hashes)


def token_text(generation_id: str, offset: int) -> str:
    """Return the text of one token, a function of its generation and offset."""
    digest = hashlib.blake2b(f"{generation_id}:{offset}".encode(), digest_size=3).hexdigest()
    return f"{digest} "
