"""No crowd at the own interface fills the memory or takes the descriptors of a process."""

import asyncio
import json

import aiohttp
import pytest

from reachlink.testing._crowd import CrowdCaller, crowd_at, open_descriptors, peak_memory_mb
from reachlink.testing._fleet import Fleet
from reachlink.testing._scenario import Scenario, WorkspaceScenario

KB, MB = 1 << 10, 1 << 20
MEMORY_MB = 128
MAX_DESCRIPTORS = 1_000
KEPT_BACK_BYTES = 1_000
CALLER = "caller"


def scenario() -> Scenario:
    return Scenario(
        name="crowd",
        availability_zones=["a"],
        entries=1,
        controls=1,
        model_replicas=1,
        plain_replicas=1,
        workspaces=[WorkspaceScenario(name=CALLER)],
        proxied_upstreams=False,
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
        settings={"defaults.limits.body_bytes": 8 * MB},
    )


class Doors:
    """Requests of a caller and of the operator, with their keys."""

    def __init__(self, fleet: Fleet) -> None:
        self._keys = {
            "caller": fleet.workspace_headers(CALLER)["Authorization"],
            "operator": fleet.operator_headers()["Authorization"],
        }

    def head(self, target: str, *fields: str, who: str = "caller") -> bytes:
        lines = [f"{target} HTTP/1.1", "Host: e", f"Authorization: {self._keys[who]}", *fields]
        return "\r\n".join([*lines, "", ""]).encode()

    def short_of_end(self, target: str, size: int, who: str = "caller") -> CrowdCaller:
        head = self.head(target, f"Content-Length: {size}", who=who)
        return CrowdCaller((head, b"x" * (size - KEPT_BACK_BYTES)))

    def whole(self, target: str, body: bytes) -> CrowdCaller:
        fields = (f"Content-Length: {len(body)}", "Content-Type: application/json")
        return CrowdCaller((self.head(target, *fields), body))

    def long_head(self) -> CrowdCaller:
        return CrowdCaller((self.head("GET /healthz", "X-Long: " + "a" * (15 * KB))[:-4],))

    def in_chunks(self, target: str) -> CrowdCaller:
        chunks = (b"10\r\n" + b"x" * 16 + b"\r\n") * (256 * KB // 16)
        return CrowdCaller((self.head(target, "Transfer-Encoding: chunked"), chunks))


CHAT, CALL, EDIT = "POST /v1/chat/completions", "POST /readings/submit", "PATCH /v1/settings"
LONG_CHAT = json.dumps(
    {"model": "explain", "max_tokens": 5, "messages": [{"role": "user", "content": "x" * (2 * MB)}]}
).encode()


def chat_of(message: bytes, more: bytes = b"") -> bytes:
    return b'{"model":"explain","max_tokens":5,"messages":[%b]%b}' % (message, more)


def many(value: bytes) -> bytes:
    return value * (7 * MB // len(value))


MESSAGE = b'{"role":"user","content":"x"}'
CHAT_OF_MANY_PARTS = chat_of(b'{"role":"user","content":[%b{}]}' % many(b"{},"))
CHAT_OF_MANY_MESSAGES = chat_of(many(MESSAGE + b",") + MESSAGE)
CHAT_OF_MANY_UNREAD_VALUES = chat_of(MESSAGE, b',"more":[%b[]]' % many(b"[],"))
CHAT_OF_MANY_FIELDS = chat_of(MESSAGE, b"".join(b',"%x":1' % n for n in range(600_000)))
CHAT_OF_SOME_VALUES = chat_of(b'{"role":"user","content":[%b{}]}' % (b"{}," * 5_000))
# What each caller sends to which instance, and how many there are.
CROWDS = {
    "chats_short_of_their_end": ("entry", lambda d: d.short_of_end(CHAT, 8 * MB), 20),
    "calls_short_of_their_end": ("entry", lambda d: d.short_of_end(CALL, 8 * MB), 20),
    "whole_chats_at_once": ("entry", lambda d: d.whole(CHAT, LONG_CHAT), 40),
    "chats_of_many_parts": ("entry", lambda d: d.whole(CHAT, CHAT_OF_MANY_PARTS), 20),
    "chats_of_many_messages": ("entry", lambda d: d.whole(CHAT, CHAT_OF_MANY_MESSAGES), 20),
    "chats_of_many_unread_values": (
        "entry",
        lambda d: d.whole(CHAT, CHAT_OF_MANY_UNREAD_VALUES),
        20,
    ),
    "chats_of_many_fields": ("entry", lambda d: d.whole(CHAT, CHAT_OF_MANY_FIELDS), 20),
    "chats_of_some_values_each": ("entry", lambda d: d.whole(CHAT, CHAT_OF_SOME_VALUES), 600),
    "answers_that_nobody_reads": ("entry", lambda d: d.whole(CALL, b"x" * (3 * MB)), 60),
    "calls_in_chunks_of_16_bytes": ("entry", lambda d: d.in_chunks(CALL), 200),
    "heads_without_their_end": ("entry", lambda d: d.long_head(), 3_000),
    "connections_without_a_byte": ("entry", lambda d: CrowdCaller(), 3_000),
    "edits_short_of_their_end": ("entry", lambda d: d.short_of_end(EDIT, 7 * MB, "operator"), 40),
    "edits_at_control": ("control", lambda d: d.short_of_end(EDIT, 7 * MB, "operator"), 40),
    "heads_at_control": ("control", lambda d: d.long_head(), 3_000),
}


async def is_served(fleet: Fleet, entry: str, size: int) -> bool:
    url = f"http://{fleet.plan(entry).address}/readings/submit"
    headers = fleet.workspace_headers(CALLER)
    try:
        async with fleet.session.post(url, data=b"x" * size, headers=headers) as response:
            await response.read()
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        # Its connection may be closed for want of room; it comes again.
        return False


def check_processes(fleet: Fleet) -> None:
    for plan in [*fleet.layout.entries, *fleet.layout.controls]:
        assert fleet.alive(plan.name), plan.name
        pid = fleet.pid(plan.name)
        assert peak_memory_mb(pid) <= MEMORY_MB, plan.name
        assert open_descriptors(pid) <= MAX_DESCRIPTORS, plan.name


@pytest.mark.parametrize("role,make,count", CROWDS.values(), ids=CROWDS)
def test_a_crowd_fills_no_memory_and_others_are_served(tmp_path, role, make, count):
    async def work() -> None:
        async with Fleet(scenario(), tmp_path) as fleet:
            entry = fleet.layout.entries[0].name
            plan = fleet.layout.entries[0] if role == "entry" else fleet.layout.controls[0]
            async with crowd_at(("127.0.0.1", plan.port), make(Doors(fleet)), count):
                await fleet.wait_for(lambda: is_served(fleet, entry, 5), 30.0, "a small call")
                await fleet.wait_for(lambda: is_served(fleet, entry, MB), 30.0, "a long call")
                check_processes(fleet)

    asyncio.run(work())


# Messages of 3 MB without their end, from callers that do not know the cluster's secret.
GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(16) + bytes(32)
UNFINISHED = b"\x02" + (3 * MB).to_bytes(8, "big") + b"x" * (3 * MB - KEPT_BACK_BYTES)


@pytest.mark.parametrize("role", ["entry", "control"])
def test_messages_of_strangers_at_the_bus_fill_no_memory(tmp_path, role):
    async def work() -> None:
        async with Fleet(scenario(), tmp_path) as fleet:
            entry = fleet.layout.entries[0].name
            plan = fleet.layout.entries[0] if role == "entry" else fleet.layout.controls[0]
            caller = CrowdCaller((GREETING, UNFINISHED), reply_before_last=True)
            async with crowd_at(("127.0.0.1", plan.bus_port), caller, 200):
                await fleet.wait_for(lambda: is_served(fleet, entry, 5), 30.0, "a small call")
                check_processes(fleet)

    asyncio.run(work())
