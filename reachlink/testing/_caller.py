"""A caller that reads streams event by event and checks what it gets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from reachlink.testing._wire import token_text

_decode = msgspec.json.decode


@dataclass(slots=True)
class ReceivedEvent:
    """One event as a caller got it."""

    event_id: str
    generation: str
    offset: int
    text: str
    finish_reason: str | None


@dataclass(slots=True)
class ReceivedAnswer:
    """What a caller has of an answer, over one or more connections."""

    status: int = 0
    request_id: str = ""
    events: list[ReceivedEvent] = field(default_factory=list)
    done: bool = False
    broken: bool = False
    error: dict[str, Any] | None = None

    @property
    def tokens(self) -> int:
        """Tokens received; the final event holds none."""
        return sum(1 for event in self.events if event.finish_reason is None)

    @property
    def last_event_id(self) -> str:
        """Id to resume after."""
        return self.events[-1].event_id if self.events else ""

    def problems(self) -> list[str]:
        """Return every way in which the events are not one dense, unmixed answer."""
        found: list[str] = []
        generations = {event.generation for event in self.events}
        if len(generations) > 1:
            found.append(f"tokens of {len(generations)} generations")
        for expected, event in enumerate(self.events):
            if event.offset != expected:
                found.append(f"offset {event.offset} where {expected} was due")
            if event.finish_reason is None:
                wanted = token_text(event.generation, event.offset)
                if event.text != wanted:
                    found.append(f"token {event.offset} is {event.text!r}, not {wanted!r}")
        finals = [i for i, e in enumerate(self.events) if e.finish_reason is not None]
        if finals and finals != [len(self.events) - 1]:
            found.append("a final event that is not the last")
        if self.done and not finals:
            found.append("done without a final event")
        return found


class Caller:
    """Sends requests of one workspace.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client.
    headers : dict
        With the workspace's key.
    """

    def __init__(self, session: aiohttp.ClientSession, headers: dict[str, str]) -> None:
        self._session = session
        self._headers = headers

    async def stream(
        self,
        url: str,
        body: dict[str, Any],
        answer: ReceivedAnswer | None = None,
        on_event: Callable[[ReceivedAnswer], None] | None = None,
        headers: dict[str, str] | None = None,
        pause_s: Callable[[], float] | None = None,
    ) -> ReceivedAnswer:
        """Stream an answer, or the rest of one that was received in part.

        With `pause_s` it is read slowly: a pause after each record, in seconds.
        """
        answer = answer or ReceivedAnswer()
        sent = {**self._headers, **(headers or {})}
        if answer.last_event_id:
            sent["Last-Event-ID"] = answer.last_event_id
        answer.broken = False
        try:
            async with self._session.post(
                url, json={**body, "stream": True}, headers=sent
            ) as response:
                answer.status = response.status
                answer.request_id = response.headers.get("X-Request-Id", "")
                if response.status != 200:
                    answer.error = (await response.json())["error"]
                    return answer
                async for record in _records(response):
                    _take(answer, record)
                    if on_event is not None:
                        on_event(answer)
                    if pause_s is not None:
                        await asyncio.sleep(pause_s())
        except (aiohttp.ClientError, OSError):
            answer.broken = True
        if not answer.done and answer.error is None:
            answer.broken = True
        return answer


async def _records(response: aiohttp.ClientResponse) -> AsyncIterator[dict[str, str]]:
    rest = b""
    async for piece in response.content.iter_any():
        *whole, rest = (rest + piece).split(b"\n\n")
        for raw in whole:
            yield dict(line.split(": ", 1) for line in raw.decode().split("\n") if ": " in line)


def _take(answer: ReceivedAnswer, record: dict[str, str]) -> None:
    data = record.get("data", "")
    if data == "[DONE]":
        answer.done = True
        return
    decoded = _decode(data)
    if record.get("event") == "error":
        answer.error = decoded["error"]
        return
    choice = decoded["choices"][0]
    answer.events.append(
        ReceivedEvent(
            record.get("id", ""),
            decoded["generation"],
            decoded["offset"],
            choice["delta"].get("content", "") if "delta" in choice else choice["text"],
            choice["finish_reason"],
        )
    )


async def cancel_quietly(task: "asyncio.Task[Any]") -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
