"""The example adapter in ``docs/extending.md`` works as written."""

import asyncio
import re
from pathlib import Path

from reachlink.upstreams import ADAPTERS, CallRequest, HttpClient, Replica

PAGE = Path(__file__).parents[3] / "docs" / "extending.md"


def test_documented_example_registers_and_answers():
    (code,) = re.findall(r"```python\n(.*?)```", PAGE.read_text(), flags=re.DOTALL)
    exec(compile(code, str(PAGE), "exec"), {"__name__": "example"})
    adapter = ADAPTERS.get("echo-service")(HttpClient())
    replica = Replica("echo-1", "echo", "z", "127.0.0.1:1")
    request = CallRequest("req-1", "POST", "/echo", {}, b"{}")
    assert asyncio.run(adapter.call(replica, request)).body == b"{}"
