"""HTTP requests of the command line."""

import asyncio
import uuid
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from reachlink.cli.exceptions import CliError, ConflictError, RefusedError, UnreachableError
from reachlink.settings import Change

TIMEOUT_S = 15.0
RESENDS = 5
RESEND_PAUSE_S = 0.5
_UNSURE = (502, 503, 504)


@dataclass(slots=True, frozen=True)
class Target:
    """Where requests go, in order of preference, and the operator's key."""

    addresses: tuple[str, ...]
    key: str


@dataclass(slots=True, frozen=True)
class Reply:
    """An answer."""

    status: int
    body: Any


async def request(target: Target, method: str, path: str, **options: Any) -> Reply:
    """Send a request to the first address that answers.

    Raises
    ------
    UnreachableError
        If none does.
    """
    headers = {"Authorization": f"Bearer {target.key}"}
    reasons: list[str] = []
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        for address in target.addresses:
            url = f"http://{address}{path}"
            try:
                async with session.request(method, url, **options) as response:
                    return Reply(response.status, msgspec.json.decode(await response.read()))
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                reasons.append(f"{address}: {error or type(error).__name__}")
            except msgspec.DecodeError:
                reasons.append(f"{address}: does not answer as reachlink does")
    raise UnreachableError("; ".join(reasons) or "no address is given")


def checked(reply: Reply) -> Any:
    """Return the body of a successful reply.

    Raises
    ------
    CliError
        What the error says.
    """
    if reply.status < 300:
        return reply.body
    detail = reply.body.get("error", {})
    message = f"{detail.get('code', reply.status)}: {detail.get('message', reply.body)}"
    if reply.status in _UNSURE:
        raise UnreachableError(message)
    raise RefusedError(message)


async def get(target: Target, path: str, **options: Any) -> Any:
    """Return what a path answers."""
    return checked(await request(target, "GET", path, **options))


async def edit(target: Target, changes: list[Change], base: int | None, edit_id: str) -> Any:
    """Have an edit accepted; one whose outcome is unknown is sent again.

    Parameters
    ----------
    target : Target
        Where to send it.
    changes : list of Change
        What to change.
    base : int or None
        Revision that the edit is made on; None for the newest.
    edit_id : str
        Identifier; empty for a new one. The same id never takes effect twice.

    Raises
    ------
    ConflictError
        Another edit won; the message shows it.
    RefusedError
        The edit is invalid; the message shows every problem.
    UnreachableError
        The outcome is unknown; the message says how to resolve it.
    """
    if base is None:
        base = (await get(target, "/v1/settings"))["revision"]
    edit_id = edit_id or uuid.uuid4().hex
    body = {
        "edit_id": edit_id,
        "base_revision": base,
        "changes": msgspec.to_builtins(changes),
    }
    last = ""
    for _ in range(RESENDS):
        try:
            reply = await request(target, "PATCH", "/v1/settings", json=body)
        except UnreachableError as error:
            last = str(error)
        else:
            if reply.status not in _UNSURE:
                return _judge(reply)
            last = str(reply.body)
        await asyncio.sleep(RESEND_PAUSE_S)
    raise UnreachableError(
        f"it is unknown whether the edit was accepted ({last}); "
        f"send it again with --edit-id {edit_id} --base {base}: it takes effect once at most"
    )


def _judge(reply: Reply) -> Any:
    body = reply.body
    status = body.get("status")
    if status == "accepted":
        return body
    if status == "conflict":
        won = "".join(f"\n  {c['path']} = {c['new']!r}" for c in body["winner"])
        raise ConflictError(f"the settings are at revision {body['revision']} by now:{won}")
    if status == "invalid":
        wrong = "".join(f"\n  {p['path']}: {p['message']}" for p in body["problems"])
        raise RefusedError(f"the edit is invalid:{wrong}")
    checked(reply)
    raise CliError(f"unexpected answer: {body}")
