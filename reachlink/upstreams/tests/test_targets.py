"""A request's target reaches the replica just as the caller sent it."""

import asyncio

import pytest

from reachlink.upstreams import HttpClient

TARGETS = ["/a", "/a?", "/a?x=1&y", "/a??", "/a%2fb/%41?q=%20+", "/", "/?", "/a/../b", "/a?b#c"]
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def received_target(send, target: str) -> str:
    """Return the target that a server receives."""
    lines: list[bytes] = []

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines.append(await reader.readline())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = HttpClient()
    try:
        response = await send(client, f"http://{host}:{port}{target}")
        response.release()
    finally:
        await client.close()
        server.close()
    return lines[0].decode().split(" ")[1]


async def relay(client: HttpClient, url: str):
    return await client.relay("POST", url, [], b"body")


async def dispatch(client: HttpClient, url: str):
    return await client.dispatch("POST", url, {}, b"body")


@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("send", [relay, dispatch])
def test_the_target_is_sent_unchanged(send, target):
    assert asyncio.run(received_target(send, target)) == target
