"""Bodies that callers of models send, and answers put together for them."""

import json
from collections.abc import Sequence
from typing import Annotated, Any

import msgspec

from reachlink.delivery import Outcome
from reachlink.entry.exceptions import RequestError
from reachlink.placement import UNLIMITED
from reachlink.upstreams import TokenEvent

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


TokenCount = Annotated[int, msgspec.Meta(ge=1)]


class TextPart(msgspec.Struct):
    """One part of a message with several."""

    type: str = "text"
    text: str = ""


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str | list[TextPart] | None = None

    def text(self) -> str:
        """Return the message's text."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class GenerationBody(msgspec.Struct):
    """The fields that reachlink reads; the others pass on unread."""

    model: str
    messages: list[ChatMessage] = []
    prompt: str | list[str] = ""
    stream: bool = False
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    n: int = 1

    def longest(self) -> int:
        """Return the longest output that the caller allows, in tokens."""
        return self.max_completion_tokens or self.max_tokens or UNLIMITED

    def prompt_text(self) -> str:
        """Return the whole prompt."""
        if self.messages:
            return "\n".join(f"{m.role}: {m.text()}" for m in self.messages)
        return self.prompt if isinstance(self.prompt, str) else "".join(self.prompt)


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    text: str = ""
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: dict[str, int] | None = None


_decode_body = msgspec.json.Decoder(GenerationBody).decode
_decode_event = msgspec.json.Decoder(_Event).decode


def parse_body(raw: bytes, path: str) -> GenerationBody:
    """Read a request body.

    Raises
    ------
    RequestError
        Naming the field that is wrong.
    """
    try:
        body = _decode_body(raw)
    except msgspec.ValidationError as error:
        message, _, where = str(error).partition(" - at ")
        param = where.strip("`").removeprefix("$.") or None
        raise RequestError(400, "invalid_body", message, param=param) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise _invalid_json(error) from error
    if path == CHAT_PATH and not body.messages:
        raise RequestError(400, "invalid_body", "messages is empty", param="messages")
    if path == TEXT_PATH and not body.prompt:
        raise RequestError(400, "invalid_body", "prompt is empty", param="prompt")
    if body.n != 1:
        raise RequestError(400, "unsupported", "only one answer a request is offered", param="n")
    return body


def upstream_body(raw: bytes, model: str, priority: int) -> bytes:
    """Return the body for the engine: always streamed, with model and priority set.

    Raises
    ------
    RequestError
        If fields that reachlink does not read cannot be passed on.
    """
    try:
        document = json.loads(raw)
        document["stream"] = True
        document["model"] = model
        document["priority"] = priority
        return msgspec.json.encode(document)
    except (ValueError, RecursionError) as error:
        raise _invalid_json(error) from error


def _invalid_json(error: Exception) -> RequestError:
    return RequestError(400, "invalid_json", str(error), param="body")


def _read_event(event: TokenEvent) -> _Event:
    try:
        return _decode_event(event.data)
    except (msgspec.DecodeError, RecursionError) as error:
        reason = f"an event of the engine cannot be read: {error}"
        raise RequestError(502, "upstream_broken", reason, Outcome.RAN) from error


def whole_answer(request_id: str, model: str, path: str, events: Sequence[TokenEvent]) -> Any:
    """Return the answer of a request that was not streamed.

    Raises
    ------
    RequestError
        If an event of the engine has no text where one belongs.
    """
    texts: list[str] = []
    finish_reason: str | None = None
    usage: dict[str, int] | None = None
    for event in events:
        decoded = _read_event(event)
        if decoded.choices:
            choice = decoded.choices[0]
            texts.append(choice.delta.content or choice.text)
            finish_reason = choice.finish_reason or finish_reason
        usage = decoded.usage or usage
    text = "".join(texts)
    choice_body: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if path == CHAT_PATH:
        choice_body["message"] = {"role": "assistant", "content": text}
    else:
        choice_body["text"] = text
    kind = "chat.completion" if path == CHAT_PATH else "text_completion"
    return {
        "id": request_id,
        "object": kind,
        "model": model,
        "choices": [choice_body],
        "usage": usage,
    }
